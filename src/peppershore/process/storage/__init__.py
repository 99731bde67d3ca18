"""Durable state of a replica: the log, the vote and the newest snapshot."""
