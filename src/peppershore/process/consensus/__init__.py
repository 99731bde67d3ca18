"""Raft-based consensus: replicates an ordered log over a group of replicas."""
