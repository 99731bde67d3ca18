"""Bounds and times of the consensus core, and what every replica needs besides."""

from __future__ import annotations

import msgspec

from peppershore.process.settings import PeerReplica


class ConsensusSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds and times of the consensus core.

    ``kept_entries`` stay in the log behind a snapshot, for peers slightly behind.
    """

    replica: str
    heartbeat_seconds: float = 0.05
    election_seconds: float = 0.4
    kept_entries: int = 2_000
    max_unanswered_messages: int = 64
    max_message_entries: int = 512
    max_message_bytes: int = 1_048_576
    snapshot_chunk_bytes: int = 1_048_576


class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What every replica needs, whatever its group replicates."""

    cluster: str
    consensus: ConsensusSettings
    replicas: tuple[PeerReplica, ...]
    join: bool = False
    snapshot_entries: int = 2_000
