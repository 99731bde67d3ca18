"""Experiments: a fleet under load and faults, judged promise by promise."""
