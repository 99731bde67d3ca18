"""Model of one direction of a machine's link: admission and order of large transfers.

Large transfers that share a narrow link are all late together. So another one is accepted
only if it can still complete in time behind those accepted before, and they are sent one
after the other: a transfer that has begun is completed first, then those that can still be
in time, the earliest due time first.
"""

from __future__ import annotations

import itertools

import msgspec

BYTES_PER_MEGABIT = 125_000
USABLE_SHARE = 0.95
"""Share of the link's rate that is left for payload: packet headers take 3 to 5 %."""

LEAST_SHARE = 0.25
"""Minimum share of the link that small messages are assumed to leave to large transfers."""

TYPICAL_BYTES = 64 * 1024
"""Assumed size of a large transfer until some of its route have been observed."""

MIN_WEIGHT = 0.05
"""Minimum weight of the newest size in a route's mean."""

MAX_ROUTES = 1_000
RATE_SECONDS = 1.0
"""Averaging time of the rate of small messages."""

LINK_QUEUE_SECONDS = 0.03
"""Bound on the bytes of large transfers that a small message waits for, as the time that
the link needs to send them."""

PIECE_SECONDS = 0.01
"""A large transfer is handed to the link in chunks that take this long to send."""

MIN_PIECE_BYTES = 1_024
MARGIN_SECONDS = 0.02
"""Part of the time left that is reserved for the network paths between the machines."""


class Transfer(msgspec.Struct, eq=False):
    """One accepted large transfer; times are in monotonic seconds.

    - ``due``: when it should be complete; ``ready_at``: when its first bytes are expected.
    - ``left``: bytes still to be sent over the link, as far as is known; ``held``: bytes
      that have arrived here and are not yet sent.
    - ``blocked``: its receiver accepts no more bytes for now.
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
    """A moving mean of sizes in bytes."""

    octets: float = TYPICAL_BYTES
    count: int = 0

    def observe(self, octets: int) -> None:
        """Add one size."""
        self.count += 1
        self.octets += (octets - self.octets) * max(MIN_WEIGHT, 1.0 / self.count)


class LinkRoom:
    """One direction of one link; ``rate`` is its usable rate in bytes per second."""

    def __init__(self, link_megabits: float) -> None:
        """Start without transfers on a link of ``link_megabits`` Mbit/s, above 0."""
        self.rate = link_megabits * BYTES_PER_MEGABIT * USABLE_SHARE
        self._transfers: dict[int, Transfer] = {}
        self._numbers = itertools.count(1)
        self._sizes: dict[str, MeanSize] = {}
        self._all = MeanSize()
        self._small_rate = 0.0
        self._held = 0

    @property
    def transfers(self) -> int:
        """Number of accepted transfers that are not complete."""
        return len(self._transfers)

    @property
    def held(self) -> int:
        """Number of bytes of large transfers that wait here."""
        return self._held

    @property
    def left_rate(self) -> float:
        """Rate that small messages leave on the link, in bytes per second."""
        return max(self.rate * LEAST_SHARE, self.rate - self._small_rate)

    def size_of(self, route: str) -> float:
        """Return the mean size of a route's large transfers, in bytes."""
        return self._sizes.get(route, self._all).octets

    def offer(self, route: str, due: float, work: float, now: float) -> Transfer | float:
        """Accept one more transfer, or return by how many seconds it would be late.

        ``due`` is the monotonic time by which it should be complete, ``work`` is the number
        of seconds until its first bytes are expected.
        """
        size = self.size_of(route)
        late = self._completion_time(size, now + work, now) + MARGIN_SECONDS - due
        if late > 0.0:
            return late
        transfer = Transfer(next(self._numbers), route, due, now + work, size)
        self._transfers[transfer.number] = transfer
        return transfer

    def wait(self, now: float) -> float:
        """Return the seconds until one more transfer, ready now, would complete."""
        return self._completion_time(self._all.octets, now, now) - now

    def set_length(self, transfer: Transfer, length: int) -> None:
        """Record the length of a transfer, which is known now."""
        transfer.length = length
        transfer.left = max(0.0, float(length - transfer.sent))

    def received(self, transfer: Transfer, octets: int, now: float) -> None:
        """Record that more bytes of a transfer have arrived here."""
        transfer.held += octets
        transfer.ready_at = min(transfer.ready_at, now)
        transfer.left = max(transfer.left, float(transfer.held))
        self._held += octets

    def next(self, now: float) -> Transfer | None:
        """Return the transfer to send from now, or None if none has bytes to send."""
        sendable = [
            each for each in self._transfers.values() if each.held and not each.blocked
        ]
        if not sendable:
            return None
        return min(sendable, key=lambda each: self._rank(each, now))

    def forwarded(self, transfer: Transfer, octets: int) -> None:
        """Record that this many bytes of a transfer were handed to the link."""
        transfer.begun = True
        transfer.sent += octets
        transfer.held -= octets
        transfer.left = max(transfer.left - octets, float(transfer.held))
        self._held -= octets

    def over(self, transfer: Transfer, is_whole: bool) -> None:
        """Remove a transfer, complete (``is_whole``) or given up, and free its room."""
        if self._transfers.pop(transfer.number, None) is None:
            return
        self._held -= transfer.held
        transfer.held = 0
        if is_whole:
            self._learn(transfer.route, transfer.sent)

    def small_sent(self, octets: int, elapsed: float) -> None:
        """Record the bytes of small messages sent within ``elapsed`` seconds."""
        if elapsed > 0.0:
            weight = min(1.0, elapsed / RATE_SECONDS)
            self._small_rate += (octets / elapsed - self._small_rate) * weight

    def _rank(self, transfer: Transfer, now: float) -> tuple[bool, bool, float, int]:
        is_late = now + transfer.left / self.left_rate > transfer.due
        return (not transfer.begun, is_late, transfer.due, transfer.number)

    def _completion_time(self, size: float, ready_at: float, now: float) -> float:
        """Return when one more would be complete if sent after all accepted ones.

        These go one after the other, in the order in which their first bytes are expected.
        """
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
    """A token bucket that limits how many bytes of large transfers go to the link now.

    All bytes that this node sends are counted, including those of small messages, so that
    the bytes in the system's buffers are bounded whoever sent them.
    """

    def __init__(self, rate: float, now: float) -> None:
        """Start with a full bucket; ``rate`` is in bytes per second."""
        self.rate = rate
        self.piece = max(MIN_PIECE_BYTES, int(rate * PIECE_SECONDS))
        self._most = max(1.0, rate * (LINK_QUEUE_SECONDS - PIECE_SECONDS))
        self._tokens = self._most
        self._at = now

    def sent(self, octets: int) -> None:
        """Count bytes that went to the link; small messages may exceed the limit."""
        self._tokens -= octets

    def may_send(self, now: float) -> bool:
        """Report whether one more chunk may be sent."""
        elapsed = max(0.0, now - self._at)
        self._at = now
        tokens = self._tokens + elapsed * self.rate
        self._tokens = min(self._most, max(-self._most, tokens))
        return self._tokens > 0.0

    @property
    def pause(self) -> float:
        """Seconds until one more chunk may be sent; at least the duration of a chunk."""
        return max(PIECE_SECONDS, -self._tokens / self.rate)
