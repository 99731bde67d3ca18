"""Notices that a relay reports to logs and metrics."""

from __future__ import annotations

from typing import ClassVar

from peppershore.process.commands import Notice
from peppershore.version.model import Version


class ReplicaFollowed(Notice, frozen=True):
    """The relay now follows this control replica."""

    replica: str
    after_version: Version


class ReplicaLost(Notice, frozen=True):
    """The relay lost or left this control replica and will try another."""

    replica: str
    reason: str


class TreeLoaded(Notice, frozen=True):
    """The relay loaded a complete tree from its replica."""

    version: Version


class TreeAdvanced(Notice, frozen=True):
    """The relay applied accepted edits.

    ``affected_scopes`` counts the pairs of service and zone that have nodes at this relay
    and whose configuration changed.
    """

    version: Version
    edits: int
    affected_scopes: int


class ConfirmationStale(Notice, frozen=True):
    """No quorum confirmed this relay's version within the stale limit.

    Heartbeats report the time of the last confirmation to nodes.
    """

    level: ClassVar[str] = "warning"
    age_milliseconds: int


class ConfirmationFresh(Notice, frozen=True):
    """A quorum confirms this relay's version again."""

    version: Version


class NodeConnected(Notice, frozen=True):
    """A node connected and its hello was accepted."""

    node: str
    service: str
    zone: str
    version: Version
    holds_nothing: bool


class NodeDisconnected(Notice, frozen=True):
    """A node's session ended."""

    node: str
    reason: str


class HelloRejected(Notice, frozen=True):
    """A peer's hello, or an unexpected message, was rejected and its link closed."""

    level: ClassVar[str] = "warning"
    peer: str
    reason: str


class HelloDeferred(Notice, frozen=True):
    """Admission control asked a node to reconnect later."""

    node: str
    retry_after_milliseconds: int


class UpdateRejected(Notice, frozen=True):
    """A node refused an update and retains its previous configuration.

    The relay sends it the full state next.
    """

    level: ClassVar[str] = "warning"
    node: str
    version: Version
    reason: str


class ScopeHeld(Notice, frozen=True):
    """A change is held because a route's target has no ready endpoint."""

    service: str
    zone: str
    route: str
    target: str
    version: Version


class ScopeReleased(Notice, frozen=True):
    """A held change is sent to nodes.

    ``ready`` is true if the targets became ready, false if the wait timed out.
    """

    service: str
    zone: str
    version: Version
    ready: bool
    waited_milliseconds: int


class ProcessPaused(Notice, frozen=True):
    """This relay was suspended.

    It advertises the endpoint of a node again only after a message from that node.
    """

    level: ClassVar[str] = "warning"
    milliseconds: int


class NodesSentAway(Notice, frozen=True):
    """This relay lacks confirmations that others have, so its nodes were redirected."""

    level: ClassVar[str] = "warning"
    nodes: int


class RelayStopping(Notice, frozen=True):
    """A planned stop began; ``nodes`` is the number of connected nodes."""

    nodes: int
