"""How many bytes went over the links of this process, by direction and kind of message.

A kind is the tag of a message, or a name where the bytes are no message of a link:
those of callers, and body bytes that a message carries.
Counting costs a look at the first bytes of a payload and two additions.
"""

from __future__ import annotations

import msgspec

CALLERS = "callers"
"""Bytes of HTTP connections with callers."""

BODIES = "bodies"
"""Bytes of bodies inside messages of calls; the rest counts under the message's tag."""

UNKNOWN = "unknown"
"""A payload that begins like no message."""

Kind = int | str

SHORT_ARRAYS = range(0x90, 0xA0)
ARRAY_16 = 0xDC
SHORT_TAGS = range(0x80)
TAG_8 = 0xCC
"""First bytes of MessagePack arrays and of small whole numbers, by its specification."""


class Tally(msgspec.Struct):
    """Messages of one kind and their bytes."""

    messages: int = 0
    octets: int = 0


Tallies = dict[Kind, Tally]


class RoundTrips(msgspec.Struct):
    """Answers that the other end gave at once, and the longest that one took."""

    count: int = 0
    longest: float = 0.0


class Traffic:
    """Counts of all links of one process since its start."""

    def __init__(self) -> None:
        """Begin at nothing."""
        self.sent: Tallies = {}
        self.received: Tallies = {}
        self.octets_sent = 0
        self._round_trips = RoundTrips()

    def note_round_trip(self, seconds: float) -> None:
        """An answer that was decided at once came so long after its question."""
        self._round_trips.count += 1
        self._round_trips.longest = max(self._round_trips.longest, seconds)

    def take_round_trips(self) -> RoundTrips:
        """Give those since the last time this was asked."""
        taken = self._round_trips
        self._round_trips = RoundTrips()
        return taken

    def note_sent(self, kind: Kind, octets: int) -> None:
        """Count one message, or a piece of a stream, that was handed to the system."""
        self.octets_sent += octets
        _note(self.sent, kind, octets)

    def note_received(self, kind: Kind, octets: int) -> None:
        """Count one message, or a piece of a stream, that came in."""
        _note(self.received, kind, octets)

    def note_body_sent(self, tag: int, octets: int) -> None:
        """Count body bytes of a message under their own name instead."""
        _move(self.sent, tag, octets)

    def note_body_received(self, tag: int, octets: int) -> None:
        """Count body bytes of a message under their own name instead."""
        _move(self.received, tag, octets)


TRAFFIC = Traffic()
"""The counts of this process: every link of it adds to them."""


def message_tag(payload: bytes) -> Kind:
    """Give the tag of an encoded message: the first item of its array."""
    at = 1
    if payload[:1] and payload[0] == ARRAY_16:
        at = 3
    elif not payload or payload[0] not in SHORT_ARRAYS:
        return UNKNOWN
    if len(payload) <= at:
        return UNKNOWN
    first = payload[at]
    if first in SHORT_TAGS:
        return first
    if first == TAG_8 and len(payload) > at + 1:
        return payload[at + 1]
    return UNKNOWN


def _note(tallies: Tallies, kind: Kind, octets: int) -> None:
    tally = tallies.get(kind)
    if tally is None:
        tally = tallies[kind] = Tally()
    tally.messages += 1
    tally.octets += octets


def _move(tallies: Tallies, tag: int, octets: int) -> None:
    _note(tallies, BODIES, octets)
    tally = tallies.get(tag)
    if tally is not None:
        tally.octets -= octets
