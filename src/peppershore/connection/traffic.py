"""Byte counts of the links of this process, by direction and kind of message.

A kind is the tag of a message, or a name for bytes that are not counted under a tag:
those of callers' connections, and the body bytes inside messages.
Counting is cheap: it reads the first bytes of a payload and makes two additions.
"""

from __future__ import annotations

import msgspec

CALLERS = "callers"
"""Kind: bytes of HTTP connections with callers."""

BODIES = "bodies"
"""Kind: body bytes inside messages of calls; the rest counts under the message's tag."""

UNKNOWN = "unknown"
"""Kind: a payload whose first bytes are not those of a message."""

Kind = int | str

SHORT_ARRAYS = range(0x90, 0xA0)
ARRAY_16 = 0xDC
SHORT_TAGS = range(0x80)
TAG_8 = 0xCC
"""The four constants above are MessagePack markers: a message begins with that of its
array, and its integer tag follows, in one byte or, after ``TAG_8``, in the next."""


class Tally(msgspec.Struct):
    """Number of messages of one kind, and of their bytes."""

    messages: int = 0
    octets: int = 0


Tallies = dict[Kind, Tally]


class RoundTrips(msgspec.Struct):
    """Number of round trips without waiting at the peer, and the longest in seconds."""

    count: int = 0
    longest: float = 0.0


class Traffic:
    """Counts of all links of one process since its start."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.sent: Tallies = {}
        self.received: Tallies = {}
        self.octets_sent = 0
        self._round_trips = RoundTrips()

    def note_round_trip(self, seconds: float) -> None:
        """Record the time from a request to a reply that the peer sent without waiting."""
        self._round_trips.count += 1
        self._round_trips.longest = max(self._round_trips.longest, seconds)

    def take_round_trips(self) -> RoundTrips:
        """Return the round trips recorded since the previous call, and reset them."""
        taken = self._round_trips
        self._round_trips = RoundTrips()
        return taken

    def note_sent(self, kind: Kind, octets: int) -> None:
        """Count one message, or data of a caller's connection, that was sent.

        Data counts as sent once it is passed to the operating system.
        """
        self.octets_sent += octets
        _note(self.sent, kind, octets)

    def note_received(self, kind: Kind, octets: int) -> None:
        """Count one received message, or received data of a caller's connection."""
        _note(self.received, kind, octets)

    def note_body_sent(self, tag: int, octets: int) -> None:
        """Move body bytes of a sent message from its tag to ``BODIES``."""
        _move_to_bodies(self.sent, tag, octets)

    def note_body_received(self, tag: int, octets: int) -> None:
        """Move body bytes of a received message from its tag to ``BODIES``."""
        _move_to_bodies(self.received, tag, octets)


TRAFFIC = Traffic()
"""Counts of this process, shared by all of its links."""


def message_tag(payload: bytes) -> Kind:
    """Return the tag of an encoded message (the first item of its array), or UNKNOWN."""
    position = 1
    if payload[:1] and payload[0] == ARRAY_16:
        position = 3
    elif not payload or payload[0] not in SHORT_ARRAYS:
        return UNKNOWN
    if len(payload) <= position:
        return UNKNOWN
    first = payload[position]
    if first in SHORT_TAGS:
        return first
    if first == TAG_8 and len(payload) > position + 1:
        return payload[position + 1]
    return UNKNOWN


def _note(tallies: Tallies, kind: Kind, octets: int) -> None:
    tally = tallies.get(kind)
    if tally is None:
        tally = tallies[kind] = Tally()
    tally.messages += 1
    tally.octets += octets


def _move_to_bodies(tallies: Tallies, tag: int, octets: int) -> None:
    _note(tallies, BODIES, octets)
    tally = tallies.get(tag)
    if tally is not None:
        tally.octets -= octets
