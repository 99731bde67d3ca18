"""Hands large answers to the machine's link no faster than it carries them.

The shell of ``LinkRoom`` and ``LinkPace``: it runs the timer and counts what this node
sends beside.  All large answers that leave by this node's link go through here, to
callers and to other nodes.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from peppershore.connection.traffic import TRAFFIC
from peppershore.request.back_ends.link_room import (
    LINK_QUEUE_SECONDS,
    LinkPace,
    LinkRoom,
    Transfer,
)
from peppershore.request.outcome import LINK_FULL, STATUS_UNAVAILABLE, NotRun

MILLISECONDS = 1_000
HELD_SECONDS = 1.0
"""Answers are held here for as much as the link carries in this time; beyond it back ends
are read no further."""

LEAST_HELD_BYTES = 32 * 1024
"""Each answer may hold so much here, whatever the others hold."""

LEAST_WINDOW_BYTES = 4 * 1024
LEAST_RETRY_AFTER_MILLISECONDS = 100
LOOK_SECONDS = 0.1
"""The rate of small messages is looked at so often at most."""


class Timer(Protocol):
    """What is due later."""

    def cancel(self) -> None:
        """Let it not happen."""


class Timers(Protocol):
    """The part of a loop that is used here."""

    def time(self) -> float:
        """Give monotonic seconds."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call back after so many seconds."""


class LargeSender(Protocol):
    """One large answer that waits for its turn."""

    def send_some(self, octets: int) -> None:
        """Put up to so many bytes of it on the link."""

    def read_on(self) -> None:
        """There is room to hold more of it."""


class LargeAnswers:
    """All large answers that leave by this node's link."""

    def __init__(
        self,
        link_megabits: float,
        octets_sent: Callable[[], int] | None = None,
        timers: Timers | None = None,
    ) -> None:
        """``octets_sent`` gives all bytes that this node ever sent."""
        self._loop = timers or asyncio.get_running_loop()
        self._octets_sent = octets_sent or _all_octets_sent
        now = self._loop.time()
        self._room = LinkRoom(link_megabits)
        self._pace = LinkPace(self._room.rate, now)
        self._most_held = int(self._room.rate * HELD_SECONDS)
        self._senders: dict[int, LargeSender] = {}
        self._held_back: set[LargeSender] = set()
        self._timer: Timer | None = None
        self._is_sending = False
        self._seen = self._octets_sent()
        self._large = 0
        self._small = 0
        self._looked_at = now

    @property
    def room(self) -> LinkRoom:
        """What is promised to the link."""
        return self._room

    @property
    def wait_milliseconds(self) -> int:
        """For how long one more would wait for the link; 0 while none is promised."""
        if not self._room.transfers:
            return 0
        now = self._loop.time()
        self._look(now)
        return math.ceil(self._room.wait(now) * MILLISECONDS)

    @property
    def window_bytes(self) -> int:
        """Bytes of one more answer that may be on their way to this node."""
        window = self._room.rate * LINK_QUEUE_SECONDS / (self._room.transfers + 1)
        return max(LEAST_WINDOW_BYTES, int(window))

    def offer(
        self, route: str, due: float, work: float, sender: LargeSender
    ) -> Transfer | NotRun:
        """Take one more, or refuse it: it would not be through in time."""
        now = self._loop.time()
        self._look(now)
        offered = self._room.offer(route, due, work, now)
        if not isinstance(offered, Transfer):
            return link_full(offered)
        self._senders[offered.number] = sender
        return offered

    def came(self, transfer: Transfer, octets: int) -> None:
        """More of an answer is here."""
        self._room.came(transfer, octets, self._loop.time())

    def went(self, transfer: Transfer, octets: int) -> None:
        """So many bytes of an answer go to the link now."""
        self._room.went(transfer, octets)
        self._large += octets

    def may_hold_more(self, transfer: Transfer) -> bool:
        """Whether more of an answer may be read from its back end."""
        return self._room.held <= self._most_held or transfer.held <= LEAST_HELD_BYTES

    def hold_back(self, sender: LargeSender) -> None:
        """Tell ``sender`` when more may be read."""
        self._held_back.add(sender)

    def kick(self) -> None:
        """Some answer has bytes to go, or its receiver takes more."""
        if self._timer is None and not self._is_sending:
            self._send()

    def over(self, transfer: Transfer, is_whole: bool) -> None:
        """An answer is through, or given up."""
        sender = self._senders.pop(transfer.number, None)
        if sender is not None:
            self._held_back.discard(sender)
        self._room.over(transfer, is_whole)

    def close(self) -> None:
        """Send nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    # --- inside

    def _send(self) -> None:
        """Hand over what the link takes now; look again while there is more."""
        self._timer = None
        self._is_sending = True
        now = self._loop.time()
        self._look(now)
        transfer = self._room.next(now)
        while transfer is not None and self._pace.may_send(now):
            self._senders[transfer.number].send_some(self._pace.piece)
            self._look(now)
            transfer = self._room.next(now)
        self._read_on()
        self._is_sending = False
        if self._room.next(now) is not None:
            self._timer = self._loop.call_later(self._pace.pause, self._send)

    def _read_on(self) -> None:
        for sender in list(self._held_back):
            if self._room.held <= self._most_held:
                self._held_back.discard(sender)
                sender.read_on()

    def _look(self, now: float) -> None:
        """Count what was sent since the last look."""
        octets = self._octets_sent()
        sent = octets - self._seen
        self._seen = octets
        self._pace.sent(sent)
        self._small += sent
        elapsed = now - self._looked_at
        if elapsed >= LOOK_SECONDS:
            self._room.small_sent(max(0, self._small - self._large), elapsed)
            self._looked_at = now
            self._small = 0
            self._large = 0


def link_full(seconds_late: float) -> NotRun:
    """Give the refusal of a call whose answer would be through so much too late."""
    advice = max(LEAST_RETRY_AFTER_MILLISECONDS, math.ceil(seconds_late * MILLISECONDS))
    return NotRun(STATUS_UNAVAILABLE, LINK_FULL, advice, retryable=True)


def _all_octets_sent() -> int:
    return TRAFFIC.octets_sent
