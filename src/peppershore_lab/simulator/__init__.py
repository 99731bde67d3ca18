"""Runs the real cores under virtual time with seeded faults and checks promises."""
