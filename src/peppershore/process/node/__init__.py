"""The node: a proxy next to a back end; holds one snapshot and the live endpoints."""
