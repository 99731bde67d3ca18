"""What the endpoint exchange between relays reports to logs and metrics."""

from __future__ import annotations

from peppershore.process.commands import Notice


class RelayPeerConnected(Notice, frozen=True):
    """The link to another relay is up."""

    relay: str


class RelayPeerLost(Notice, frozen=True):
    """The link to another relay is down."""

    relay: str
    reason: str


class EndpointsExpired(Notice, frozen=True):
    """Nobody vouched for this relay's endpoints for a whole lease."""

    relay: str
    count: int
