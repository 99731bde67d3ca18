"""Bounded, non-blocking output of log lines: a stalled reader never blocks the process.

Lines that the reader has not taken yet are queued in memory up to a bound. Beyond the
bound, lines about single calls are dropped first, then the oldest of the others; a later
line reports how many were dropped. Data is written only when the write can't block: a
pipe that polls as writable accepts PIPE_BUF bytes.
"""

from __future__ import annotations

import asyncio
import os
import select
from collections import deque

import msgspec

MAX_WAITING_BYTES = 512 * 1024
CHUNK_BYTES = 4_096
"""PIPE_BUF on Linux: bytes that a pipe accepts without blocking if it polls as writable."""

RETRY_SECONDS = 0.05
CALL_LINES_PER_SECOND = 100
CALL_LINES_BURST = 300
"""Token-bucket capacity, in lines, for log lines about single calls.

Together with ``CALL_LINES_PER_SECOND`` it bounds these lines at any load.
"""


class Dropped(msgspec.Struct):
    """Numbers of lines dropped since the last line that reported them."""

    calls: int = 0
    others: int = 0


class LineBudget:
    """Token bucket that limits the rate of log lines about single calls."""

    def __init__(self, per_second: float, burst: float) -> None:
        """Start with a full bucket of ``burst`` lines."""
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def take(self, now: float) -> bool:
        """Return whether a line may be written at ``now`` (seconds); if so, count it."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed * self._per_second)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Line(msgspec.Struct, frozen=True):
    data: bytes
    is_call: bool


class BoundedOutput:
    """Writes lines to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        """Write to ``descriptor``, which stays in blocking mode.

        At most ``max_waiting_bytes`` of lines are queued.
        """
        self.dropped = Dropped()
        self._descriptor = descriptor
        self._max_waiting_bytes = max_waiting_bytes
        self._lines: deque[_Line] = deque()
        self._queued_bytes = 0
        self._current_line = b""
        self._timer: asyncio.TimerHandle | None = None
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes not yet written: of the queued lines and of the current line."""
        return self._queued_bytes + len(self._current_line)

    def write(self, line: str, is_call: bool) -> None:
        """Queue a line (given without line feed) and write as much as is possible now."""
        data = line.encode() + b"\n"
        self._lines.append(_Line(data, is_call))
        self._queued_bytes += len(data)
        self._enforce_bound()
        self.pump()

    def drop_call(self) -> None:
        """Count a call's log line as dropped because of the rate limit."""
        self.dropped.calls += 1

    def pump(self) -> None:
        """Write as much as the reader accepts now; schedule a retry for the rest."""
        while (self._current_line or self._lines) and self._poll.poll(0):
            if not self._current_line:
                self._start_next_line()
            try:
                written = os.write(self._descriptor, self._current_line[:CHUNK_BYTES])
            except OSError:
                self._discard_queue()
                return
            self._current_line = self._current_line[written:]
        if self._current_line or self._lines:
            self._schedule_pump()

    def _start_next_line(self) -> None:
        if self.dropped.calls or self.dropped.others:
            self._current_line = (
                b'{"event":"log_lines_dropped","level":"warning","calls":%d,"others":%d}\n'
                % (self.dropped.calls, self.dropped.others)
            )
            self.dropped = Dropped()
            return
        line = self._lines.popleft()
        self._queued_bytes -= len(line.data)
        self._current_line = line.data

    def _enforce_bound(self) -> None:
        if self._queued_bytes <= self._max_waiting_bytes:
            return
        retained: deque[_Line] = deque()
        for line in self._lines:
            if line.is_call and self._queued_bytes > self._max_waiting_bytes // 2:
                self._queued_bytes -= len(line.data)
                self.dropped.calls += 1
            else:
                retained.append(line)
        while retained and self._queued_bytes > self._max_waiting_bytes:
            self._queued_bytes -= len(retained.popleft().data)
            self.dropped.others += 1
        self._lines = retained

    def _schedule_pump(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._timer = loop.call_later(RETRY_SECONDS, self._retry_pump)

    def _retry_pump(self) -> None:
        self._timer = None
        self.pump()

    def _discard_queue(self) -> None:
        """Discard all queued lines because a write failed: the output has no reader."""
        self.dropped.others += len(self._lines)
        self._lines.clear()
        self._queued_bytes = 0
        self._current_line = b""
