"""Replication of an ordered log over a group of replicas (of the Raft family)."""
