"""The live endpoint table: leases, order and anti-entropy."""
