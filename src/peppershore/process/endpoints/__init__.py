"""Live endpoint table of a relay: leases, ordering and anti-entropy."""
