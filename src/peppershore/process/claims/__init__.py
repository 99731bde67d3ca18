"""Claims groups: a replicated table of idempotency keys, so a call runs at most once."""
