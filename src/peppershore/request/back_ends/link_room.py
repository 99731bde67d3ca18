"""One model of a machine's link: what is promised to it, and what goes over it next.

Large transfers that share a narrow link are all late together.  So one more is taken only
if it can still be through in time behind those that were, and they go one after the
other: what has begun is ended, then what can still be in time, the soonest due first.
"""

from __future__ import annotations

import itertools

import msgspec

BYTES_PER_MEGABIT = 125_000
USABLE_SHARE = 0.95
"""What is left of the link's rate for payload: packet heads take 3 to 5 %."""

LEAST_SHARE = 0.25
"""Small messages are taken to leave large transfers so much of the link at least."""

TYPICAL_BYTES = 64 * 1024
"""Size that a large transfer is taken to have until some of its route were seen."""

MIN_WEIGHT = 0.05
"""The newest size counts at least so much in a route's mean."""

MAX_ROUTES = 1_000
RATE_SECONDS = 1.0
"""The rate of small messages is a mean over about so long."""

LINK_QUEUE_SECONDS = 0.03
"""A small message waits behind so much of the link's work in large ones at most."""

PIECE_SECONDS = 0.01
"""A large transfer is handed over in pieces that take the link so long."""

MIN_PIECE_BYTES = 1_024
MARGIN_SECONDS = 0.02
"""Kept of the time left for the ways between the machines."""


class Transfer(msgspec.Struct, eq=False):
    """One large transfer that was taken; times are monotonic seconds.

    ``due``: when it should be through; ``ready_at``: when its first bytes are expected.
    ``left``: bytes still to go over the link, as far as is known; ``held``: those that are
    here.  ``blocked``: whoever it goes to takes no more for now.
    """

    number: int
    route: str
    due: float
    ready_at: float
    left: float
    held: int = 0
    sent: int = 0
    begun: bool = False
    blocked: bool = False
    length: int = -1


class MeanSize(msgspec.Struct):
    """A mean of bytes that follows changes."""

    octets: float = TYPICAL_BYTES
    count: int = 0

    def observe(self, octets: int) -> None:
        """Take one size."""
        self.count += 1
        self.octets += (octets - self.octets) * max(MIN_WEIGHT, 1.0 / self.count)


class LinkRoom:
    """One direction of one link; ``rate`` is what it carries, bytes a second."""

    def __init__(self, link_megabits: float) -> None:
        """Begin with nothing promised on a link of that rate, above 0."""
        self.rate = link_megabits * BYTES_PER_MEGABIT * USABLE_SHARE
        self._transfers: dict[int, Transfer] = {}
        self._numbers = itertools.count(1)
        self._sizes: dict[str, MeanSize] = {}
        self._all = MeanSize()
        self._small_rate = 0.0
        self._held = 0

    @property
    def transfers(self) -> int:
        """Transfers taken that are not through."""
        return len(self._transfers)

    @property
    def held(self) -> int:
        """Bytes of large transfers that wait here."""
        return self._held

    @property
    def left_rate(self) -> float:
        """What small messages leave of the link, bytes a second."""
        return max(self.rate * LEAST_SHARE, self.rate - self._small_rate)

    def size_of(self, route: str) -> float:
        """Give the mean bytes of a route's large transfers."""
        return self._sizes.get(route, self._all).octets

    def offer(self, route: str, due: float, work: float, now: float) -> Transfer | float:
        """Take one more, or give how many seconds too late it would be through.

        ``work``: seconds until its first bytes are expected.
        """
        size = self.size_of(route)
        late = self._completion_time(size, now + work, now) + MARGIN_SECONDS - due
        if late > 0.0:
            return late
        transfer = Transfer(next(self._numbers), route, due, now + work, size)
        self._transfers[transfer.number] = transfer
        return transfer

    def wait(self, now: float) -> float:
        """Give in how many seconds one more would be through, work aside."""
        return self._completion_time(self._all.octets, now, now) - now

    def sized(self, transfer: Transfer, length: int) -> None:
        """Its length is known now."""
        transfer.length = length
        transfer.left = max(0.0, float(length - transfer.sent))

    def came(self, transfer: Transfer, octets: int, now: float) -> None:
        """More of its bytes are here."""
        transfer.held += octets
        transfer.ready_at = min(transfer.ready_at, now)
        transfer.left = max(transfer.left, float(transfer.held))
        self._held += octets

    def next(self, now: float) -> Transfer | None:
        """Give the transfer that goes now; None if none has bytes that can."""
        sendable = [
            each for each in self._transfers.values() if each.held and not each.blocked
        ]
        if not sendable:
            return None
        return min(sendable, key=lambda each: self._rank(each, now))

    def went(self, transfer: Transfer, octets: int) -> None:
        """So many of its bytes were handed to the link."""
        transfer.begun = True
        transfer.sent += octets
        transfer.held -= octets
        transfer.left = max(transfer.left - octets, float(transfer.held))
        self._held -= octets

    def over(self, transfer: Transfer, is_whole: bool) -> None:
        """It is through, or given up: its room is free."""
        if self._transfers.pop(transfer.number, None) is None:
            return
        self._held -= transfer.held
        transfer.held = 0
        if is_whole:
            self._learn(transfer.route, transfer.sent)

    def small_sent(self, octets: int, elapsed: float) -> None:
        """Small messages took so many bytes in so many seconds."""
        if elapsed > 0.0:
            weight = min(1.0, elapsed / RATE_SECONDS)
            self._small_rate += (octets / elapsed - self._small_rate) * weight

    def _rank(self, transfer: Transfer, now: float) -> tuple[bool, bool, float, int]:
        is_late = now + transfer.left / self.left_rate > transfer.due
        return (not transfer.begun, is_late, transfer.due, transfer.number)

    def _completion_time(self, size: float, ready_at: float, now: float) -> float:
        """Give when one more would be through, behind those that are ready before it."""
        rate = self.left_rate
        free_at = now
        ahead = sorted(self._transfers.values(), key=lambda each: each.ready_at)
        for each in ahead:
            free_at = max(free_at, each.ready_at) + each.left / rate
        return max(free_at, ready_at) + size / rate

    def _learn(self, route: str, size: int) -> None:
        self._all.observe(size)
        if route not in self._sizes and len(self._sizes) >= MAX_ROUTES:
            self._sizes.clear()
        self._sizes.setdefault(route, MeanSize()).observe(size)


class LinkPace:
    """A token bucket: how many bytes of large transfers may be handed to the link now.

    All bytes that this node sends are counted, those of small messages as well, so that
    what waits in the system's buffers is bounded whoever sent it.
    """

    def __init__(self, rate: float, now: float) -> None:
        """Begin with a full bucket; ``rate`` in bytes a second."""
        self.rate = rate
        self.piece = max(MIN_PIECE_BYTES, int(rate * PIECE_SECONDS))
        self._most = max(1.0, rate * (LINK_QUEUE_SECONDS - PIECE_SECONDS))
        self._tokens = self._most
        self._at = now

    def sent(self, octets: int) -> None:
        """Count bytes that went to the link; small ones may go beyond the bound."""
        self._tokens -= octets

    def may_send(self, now: float) -> bool:
        """Whether one more piece may go."""
        elapsed = max(0.0, now - self._at)
        self._at = now
        tokens = self._tokens + elapsed * self.rate
        self._tokens = min(self._most, max(-self._most, tokens))
        return self._tokens > 0.0

    @property
    def pause(self) -> float:
        """Seconds until one more piece may go; at least what a piece takes."""
        return max(PIECE_SECONDS, -self._tokens / self.rate)
