"""Notices of the endpoint exchange between relays."""

from __future__ import annotations

from peppershore.process.commands import Notice


class RelayPeerConnected(Notice, frozen=True):
    """The link to another relay is established."""

    relay: str


class RelayPeerLost(Notice, frozen=True):
    """The link to another relay was lost."""

    relay: str
    reason: str


class EndpointsExpired(Notice, frozen=True):
    """The lease of a relay's endpoints ended without being renewed.

    ``count`` is the number of endpoints hidden from nodes as a result.
    """

    relay: str
    count: int
