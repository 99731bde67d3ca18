"""Processes: the core and shell of each role, settings, logging and metrics."""
