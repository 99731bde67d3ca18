"""Decisions by whom a call is made for: keys, fair shares."""
