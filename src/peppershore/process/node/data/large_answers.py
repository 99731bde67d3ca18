"""Sends large answers to the machine's network link no faster than the link carries them.

Runs the timer for ``LinkRoom`` and ``LinkPace``, which decide, and counts the other traffic
that this node sends. All large answers that leave over this node's link pass through here,
whether to callers or to other nodes.
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
BUFFER_SECONDS = 1.0
"""Large answers are buffered up to as many bytes as the link carries in this time; beyond
that, reading from the back ends pauses."""

MIN_BUFFERED_BYTES = 32 * 1024
"""Each answer may have this many bytes buffered, however many the others have."""

MIN_WINDOW_BYTES = 4 * 1024
MIN_RETRY_AFTER_MILLISECONDS = 100
MEASURE_INTERVAL_SECONDS = 0.1
"""Minimum time between two measurements of the rate of small messages."""


class Timer(Protocol):
    """A callback that is due later."""

    def cancel(self) -> None:
        """Cancel the callback."""


class EventLoop(Protocol):
    """The part of an event loop that is used here."""

    def time(self) -> float:
        """Return the monotonic time in seconds."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Run ``callback`` after ``delay`` seconds."""


class LargeSender(Protocol):
    """One large answer that waits for its turn on the link."""

    def send_up_to(self, octets: int) -> None:
        """Send up to ``octets`` bytes of the answer on the link."""

    def resume_reading(self) -> None:
        """Resume reading the answer, since there is room to buffer more of it."""


class LargeAnswers:
    """Schedules all large answers that leave over this node's link."""

    def __init__(
        self,
        link_megabits: float,
        octets_sent: Callable[[], int] | None = None,
        event_loop: EventLoop | None = None,
    ) -> None:
        """Start without answers on a link of ``link_megabits`` Mbit/s.

        ``octets_sent`` returns the total of bytes that this process has sent.
        """
        self._loop = event_loop or asyncio.get_running_loop()
        self._octets_sent = octets_sent or _all_octets_sent
        now = self._loop.time()
        self._room = LinkRoom(link_megabits)
        self._pace = LinkPace(self._room.rate, now)
        self._max_buffered = int(self._room.rate * BUFFER_SECONDS)
        self._senders: dict[int, LargeSender] = {}
        self._paused_senders: set[LargeSender] = set()
        self._timer: Timer | None = None
        self._is_sending = False
        self._octets_seen = self._octets_sent()
        self._large_octets = 0
        self._small_octets = 0
        self._measured_at = now

    @property
    def room(self) -> LinkRoom:
        """The transfers that were accepted for the link."""
        return self._room

    @property
    def wait_milliseconds(self) -> int:
        """Time until one more answer, ready now, would be sent; 0 if there is no other."""
        if not self._room.transfers:
            return 0
        now = self._loop.time()
        self._measure_traffic(now)
        return math.ceil(self._room.wait(now) * MILLISECONDS)

    @property
    def window_bytes(self) -> int:
        """Number of bytes of one more answer that may be in transit to this node."""
        window = self._room.rate * LINK_QUEUE_SECONDS / (self._room.transfers + 1)
        return max(MIN_WINDOW_BYTES, int(window))

    def offer(
        self, route: str, due: float, work: float, sender: LargeSender
    ) -> Transfer | NotRun:
        """Accept one more answer, or refuse it if it could not be sent completely in time.

        ``due``: when it should be sent completely (monotonic seconds); ``work``: seconds
        until its first bytes are expected.
        """
        now = self._loop.time()
        self._measure_traffic(now)
        offered = self._room.offer(route, due, work, now)
        if not isinstance(offered, Transfer):
            return link_full(offered)
        self._senders[offered.number] = sender
        return offered

    def received(self, transfer: Transfer, octets: int) -> None:
        """Record that ``octets`` more bytes of an answer were received and buffered."""
        self._room.received(transfer, octets, self._loop.time())

    def forwarded(self, transfer: Transfer, octets: int) -> None:
        """Record that ``octets`` bytes of an answer are sent on the link now."""
        self._room.forwarded(transfer, octets)
        self._large_octets += octets

    def may_buffer_more(self, transfer: Transfer) -> bool:
        """Return whether more of an answer may be read from its back end."""
        return self._room.held <= self._max_buffered or transfer.held <= MIN_BUFFERED_BYTES

    def pause_until_room(self, sender: LargeSender) -> None:
        """Register ``sender``: its ``resume_reading`` is called once more may be read."""
        self._paused_senders.add(sender)

    def send_due(self) -> None:
        """Send what is due, after an answer got bytes to send or its receiver resumed."""
        if self._timer is None and not self._is_sending:
            self._send()

    def finished(self, transfer: Transfer, is_complete: bool) -> None:
        """Remove an answer that is complete (``is_complete``) or was given up."""
        sender = self._senders.pop(transfer.number, None)
        if sender is not None:
            self._paused_senders.discard(sender)
        self._room.over(transfer, is_complete)

    def close(self) -> None:
        """Stop sending."""
        if self._timer is not None:
            self._timer.cancel()

    # --- internal

    def _send(self) -> None:
        """Send what the link accepts now; run again later while there is more."""
        self._timer = None
        self._is_sending = True
        now = self._loop.time()
        self._measure_traffic(now)
        transfer = self._room.next(now)
        while transfer is not None and self._pace.may_send(now):
            self._senders[transfer.number].send_up_to(self._pace.piece)
            self._measure_traffic(now)
            transfer = self._room.next(now)
        self._resume_paused()
        self._is_sending = False
        if self._room.next(now) is not None:
            self._timer = self._loop.call_later(self._pace.pause, self._send)

    def _resume_paused(self) -> None:
        for sender in list(self._paused_senders):
            if self._room.held <= self._max_buffered:
                self._paused_senders.discard(sender)
                sender.resume_reading()

    def _measure_traffic(self, now: float) -> None:
        """Count the bytes sent since the last call; update the rate of small messages."""
        octets = self._octets_sent()
        sent = octets - self._octets_seen
        self._octets_seen = octets
        self._pace.sent(sent)
        self._small_octets += sent
        elapsed = now - self._measured_at
        if elapsed >= MEASURE_INTERVAL_SECONDS:
            self._room.small_sent(max(0, self._small_octets - self._large_octets), elapsed)
            self._measured_at = now
            self._small_octets = 0
            self._large_octets = 0


def link_full(seconds_late: float) -> NotRun:
    """Return the refusal of a call whose answer would be ``seconds_late`` too late."""
    advice = max(MIN_RETRY_AFTER_MILLISECONDS, math.ceil(seconds_late * MILLISECONDS))
    return NotRun(STATUS_UNAVAILABLE, LINK_FULL, advice, retryable=True)


def _all_octets_sent() -> int:
    return TRAFFIC.octets_sent
