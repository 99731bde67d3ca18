"""What lives for one call: classification, admission, routing, retries, outcomes."""
