"""Decisions by the tenant of a call: keys and fair shares."""
