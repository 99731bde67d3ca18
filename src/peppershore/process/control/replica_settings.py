"""What the replica below a control core needs, taken from the control settings."""

from __future__ import annotations

from peppershore.process.consensus.settings import ConsensusSettings, ReplicaSettings
from peppershore.process.settings import ControlSettings

MILLISECONDS_PER_SECOND = 1_000


def replica_settings(settings: ControlSettings) -> ReplicaSettings:
    """Give the replica's settings; times in seconds."""
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
    )
