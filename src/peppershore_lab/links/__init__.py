"""Emulated links: delays, silent cuts and duplicates between processes."""
