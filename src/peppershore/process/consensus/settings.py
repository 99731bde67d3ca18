"""Settings of the consensus core and of replicas in general."""

from __future__ import annotations

import msgspec

from peppershore.process.settings import ClaimsSettings, ControlSettings, PeerReplica

MILLISECONDS_PER_SECOND = 1_000


class ConsensusSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and intervals of the consensus core.

    ``kept_entries`` is the number of entries before a snapshot that stay in the log,
    for peers that lag slightly.
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
    """Settings of a replica, independent of the state that its group replicates.

    If ``wanted_voters`` is above 0, the group manages its own membership: it adds
    every replica that contacts it, has ``wanted_voters`` voters, and is found through
    ``seeds``.
    """

    cluster: str
    consensus: ConsensusSettings
    replicas: tuple[PeerReplica, ...]
    join: bool = False
    snapshot_entries: int = 2_000
    seeds: tuple[str, ...] = ()
    wanted_voters: int = 0


def replica_settings(settings: ControlSettings | ClaimsSettings) -> ReplicaSettings:
    """Return the replica's part of a role's settings, with times in seconds."""
    consensus = ConsensusSettings(
        replica=settings.replica,
        heartbeat_seconds=settings.heartbeat_milliseconds / MILLISECONDS_PER_SECOND,
        election_seconds=settings.election_milliseconds / MILLISECONDS_PER_SECOND,
        kept_entries=settings.snapshot_entries,
    )
    return ReplicaSettings(
        cluster=settings.cluster,
        consensus=consensus,
        replicas=settings.replicas,
        join=settings.join,
        snapshot_entries=settings.snapshot_entries,
        seeds=getattr(settings, "seeds", ()),
        wanted_voters=getattr(settings, "wanted_voters", 0),
    )
