"""Rate limits of tenants, counted over all nodes."""
