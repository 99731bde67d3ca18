"""Fleets: real processes of the system on loopback, started and always stopped."""
