"""What a relay tells its replica of how far its nodes are."""

from __future__ import annotations

from itertools import islice

from peppershore.connection.messages import LaggingNode, ProgressReported
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.session import NodeSession
from peppershore.process.settings import RelaySettings
from peppershore.version.model import Version

PROGRESS_TIMER = "relay.progress"
PROGRESS_SECONDS = 0.01
"""Changes of progress within this time are reported together."""
PROGRESS_IDLE_SECONDS = 1.0
"""A report is sent at least this often."""
MAX_LAGGING_NODES = 20


def make_report(
    settings: RelaySettings, distributor: Distributor, control_bytes: int
) -> ProgressReported:
    """Give the report of this moment."""
    lagging = tuple(
        _lagging(session, distributor)
        for session in islice(distributor.behind.values(), MAX_LAGGING_NODES)
    )
    return ProgressReported(
        relay=settings.relay,
        zone=settings.zone,
        version=distributor.version,
        in_force=distributor.in_force(),
        nodes=len(distributor.sessions),
        lagging=lagging,
        control_bytes=control_bytes,
    )


def _lagging(session: NodeSession, distributor: Distributor) -> LaggingNode:
    return LaggingNode(
        node=session.node,
        service=session.scope.service,
        zone=session.scope.zone,
        version=session.version,
        reason=_reason(session, distributor.version),
    )


def _reason(session: NodeSession, version: Version) -> str:
    if session.outstanding_version:
        return f"version {session.outstanding_version} was sent and not yet answered"
    if session.needs_confirmation:
        return "holds nothing and waits for a confirmed version"
    if version < session.lowest_acceptable:
        return "the relay is behind the node"
    return "waits for its turn"
