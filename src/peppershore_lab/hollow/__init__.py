"""Hollow nodes: many node cores in one process, over real links, without a data plane."""
