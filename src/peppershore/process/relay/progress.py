"""Reports of a relay to its control replica on the versions its nodes hold."""

from __future__ import annotations

from itertools import chain, islice

import msgspec

from peppershore.connection.messages.relay import LaggingNode, ProgressReported
from peppershore.process.relay.departures import Departure, Departures
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.hold import HoldTracker
from peppershore.process.relay.session import NodeSession
from peppershore.version.model import Scope, Version

PROGRESS_TIMER = "relay.progress"
PROGRESS_SECONDS = 0.01
"""Progress changes within this time are reported together."""
PROGRESS_IDLE_SECONDS = 1.0
"""Longest time between two reports."""
MAX_LAGGING_NODES = 20


class RelayStatus(msgspec.Struct, frozen=True):
    """State of the relay itself that goes into a ``ProgressReported`` message.

    ``at`` is the monotonic time of the report, in seconds.
    """

    relay: str
    zone: str
    incarnation: int
    reports: int
    settled: bool
    relays: tuple[str, ...]
    at: float


def make_report(
    status: RelayStatus,
    distributor: Distributor,
    departures: Departures,
    holds: HoldTracker,
    control_bytes: int,
) -> ProgressReported:
    """Return a progress report as of ``status.at``.

    ``control_bytes`` is the number of bytes that the relay has sent to nodes so far.
    """
    away = departures.lagging(status.at)
    lagging = _lagging_nodes(distributor, holds)
    lagging += [_away(each) for each in away[: MAX_LAGGING_NODES - len(lagging)]]
    lowest_away = min((each.version for each in away), default=distributor.version)
    return ProgressReported(
        relay=status.relay,
        zone=status.zone,
        version=distributor.version,
        in_force=min(distributor.in_force(), lowest_away),
        nodes=len(distributor.sessions),
        lagging=tuple(lagging),
        control_bytes=control_bytes,
        incarnation=status.incarnation,
        settled=status.settled,
        relays=status.relays,
        number=status.reports,
        silent=tuple(_away(each) for each in departures.silent()[:MAX_LAGGING_NODES]),
    )


def _lagging_nodes(distributor: Distributor, holds: HoldTracker) -> list[LaggingNode]:
    """Return a sample of at most ``MAX_LAGGING_NODES`` lagging nodes.

    It starts with one node of each held scope, so that held scopes are reported however
    many other nodes are slow. It is empty before the first version, when no node lacks
    anything.
    """
    if distributor.version == 0:
        return []
    held = (_first_behind(distributor, scope) for scope in holds.held)
    sessions = {each.link: each for each in chain.from_iterable(held)}
    behind = (each for link, each in distributor.behind.items() if link not in sessions)
    sample = islice(chain(sessions.values(), behind), MAX_LAGGING_NODES)
    return [_lagging(session, distributor, holds) for session in sample]


def _first_behind(distributor: Distributor, scope: Scope) -> list[NodeSession]:
    """Return the first session of the scope that is behind, or an empty list."""
    sessions = distributor.sessions_of(scope)
    return list(islice(filter(lambda each: each.link in distributor.behind, sessions), 1))


def _lagging(
    session: NodeSession, distributor: Distributor, holds: HoldTracker
) -> LaggingNode:
    return LaggingNode(
        node=session.node,
        service=session.scope.service,
        zone=session.scope.zone,
        version=session.version,
        reason=_reason(session, distributor.version, holds),
    )


def _away(departure: Departure) -> LaggingNode:
    return LaggingNode(
        node=departure.node,
        service=departure.scope.service,
        zone=departure.scope.zone,
        version=departure.version,
        reason="its session ended and it was not seen again yet",
    )


def _reason(session: NodeSession, version: Version, holds: HoldTracker) -> str:
    if session.outstanding_version:
        return f"version {session.outstanding_version} was sent and not yet answered"
    if session.needs_confirmation:
        return "holds nothing and waits for a confirmed version"
    if version < session.lowest_acceptable:
        return "the relay is behind the node"
    held = holds.held.get(session.scope)
    if held is not None:
        return held.reason
    return "waits for its turn"
