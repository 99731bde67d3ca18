"""Limits of tenants, counted over all nodes."""
