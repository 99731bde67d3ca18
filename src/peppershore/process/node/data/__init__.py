"""Data plane of a node: incoming calls, attempts at back ends, and draining."""
