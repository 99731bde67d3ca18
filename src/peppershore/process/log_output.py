"""A bounded way out for log lines: a reader that stands still holds nothing up.

Lines wait in memory up to a bound.  Beyond it, lines of single calls go first, then
the oldest of the others; a line says later how many were dropped.  A write is made
only when it can't block: a pipe that polls as writable takes PIPE_BUF bytes.
"""

from __future__ import annotations

import asyncio
import os
import select
from collections import deque

import msgspec

MAX_WAITING_BYTES = 512 * 1024
CHUNK_BYTES = 4_096
"""PIPE_BUF on Linux: so much goes into a pipe that polls as writable."""

RETRY_SECONDS = 0.05
CALL_LINES_PER_SECOND = 100
CALL_LINES_BURST = 300
"""Bound on the lines of single calls, whatever the load."""


class Dropped(msgspec.Struct):
    """Lines that were not written since the last word of it."""

    calls: int = 0
    others: int = 0


class LineBudget:
    """How many lines of single calls may be written: a token bucket."""

    def __init__(self, per_second: float, burst: float) -> None:
        """Begin with a full bucket."""
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._at = 0.0

    def take(self, now: float) -> bool:
        """Take one line; false if there have been too many."""
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._tokens = min(self._burst, self._tokens + elapsed * self._per_second)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Line(msgspec.Struct, frozen=True):
    data: bytes
    is_call: bool


class BoundedOutput:
    """Writes lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        """Write to ``descriptor``, which stays in blocking mode."""
        self.dropped = Dropped()
        self._descriptor = descriptor
        self._max_waiting_bytes = max_waiting_bytes
        self._lines: deque[_Line] = deque()
        self._waiting_bytes = 0
        self._begun = b""
        self._timer: asyncio.TimerHandle | None = None
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return self._waiting_bytes + len(self._begun)

    def write(self, line: str, is_call: bool) -> None:
        """Queue a line, without its line feed, and write what can be written."""
        data = line.encode() + b"\n"
        self._lines.append(_Line(data, is_call))
        self._waiting_bytes += len(data)
        self._keep_bound()
        self.pump()

    def drop_call(self) -> None:
        """A line of a call is left out, for there are too many."""
        self.dropped.calls += 1

    def pump(self) -> None:
        """Write as much as the reader takes; come back later for the rest."""
        while (self._begun or self._lines) and self._poll.poll(0):
            if not self._begun:
                self._begin_line()
            try:
                written = os.write(self._descriptor, self._begun[:CHUNK_BYTES])
            except OSError:
                self._give_up()
                return
            self._begun = self._begun[written:]
        if self._begun or self._lines:
            self._pump_later()

    def _begin_line(self) -> None:
        if self.dropped.calls or self.dropped.others:
            self._begun = (
                b'{"event":"log_lines_dropped","level":"warning","calls":%d,"others":%d}\n'
                % (self.dropped.calls, self.dropped.others)
            )
            self.dropped = Dropped()
            return
        line = self._lines.popleft()
        self._waiting_bytes -= len(line.data)
        self._begun = line.data

    def _keep_bound(self) -> None:
        if self._waiting_bytes <= self._max_waiting_bytes:
            return
        kept: deque[_Line] = deque()
        for line in self._lines:
            if line.is_call and self._waiting_bytes > self._max_waiting_bytes // 2:
                self._waiting_bytes -= len(line.data)
                self.dropped.calls += 1
            else:
                kept.append(line)
        while kept and self._waiting_bytes > self._max_waiting_bytes:
            self._waiting_bytes -= len(kept.popleft().data)
            self.dropped.others += 1
        self._lines = kept

    def _pump_later(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._timer = loop.call_later(RETRY_SECONDS, self._pump_again)

    def _pump_again(self) -> None:
        self._timer = None
        self.pump()

    def _give_up(self) -> None:
        """Nobody will read any more: keep nothing."""
        self.dropped.others += len(self._lines)
        self._lines.clear()
        self._waiting_bytes = 0
        self._begun = b""
