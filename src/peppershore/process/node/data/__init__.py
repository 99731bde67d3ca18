"""The data plane of a node: calls in, attempts out, drain."""
