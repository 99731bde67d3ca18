"""Handling of a single call: classification, admission, routing, retries, outcomes."""
