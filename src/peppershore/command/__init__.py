"""Command line of operators and processes."""
