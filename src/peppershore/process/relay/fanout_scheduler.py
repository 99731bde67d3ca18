"""Schedule when endpoint changes are sent to nodes.

A few changes are sent soon, a burst of changes is batched, and urgent changes are sent
first. Without batching, a burst would send each node nearly one message per endpoint.
Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math

WINDOW_SECONDS = 0.05
"""Changes within this time are sent together. An urgent change is sent at once, but not
sooner than this after the previous message."""

BURST_WINDOW_SECONDS = 0.5
BURST_ENDPOINTS = 10
"""This many waiting changes count as a burst. Without an urgent change, a burst is sent
no sooner than ``BURST_WINDOW_SECONDS`` after the previous message."""


class FanoutScheduler:
    """Decides when the next message with changed endpoints is due."""

    def __init__(self) -> None:
        """Start with nothing sent and nothing planned."""
        self._sent_at = -math.inf
        self._due_at = math.inf

    def plan(self, is_urgent: bool, now: float) -> float | None:
        """Plan a message for waiting changes; return the seconds until it is due.

        Return 0 to send now, or None if the time planned earlier still applies.
        """
        is_planned = self._due_at < math.inf
        if is_planned and not is_urgent:
            return None
        due_at = now + WINDOW_SECONDS
        if is_urgent:
            due_at = max(now, self._sent_at + WINDOW_SECONDS)
        if due_at >= self._due_at:
            return None
        self._due_at = due_at
        return due_at - now

    def postpone(self, waiting: int, is_urgent: bool, now: float) -> float:
        """Return the seconds by which to delay a due message, or 0 to send it now.

        ``waiting`` is the number of changes that wait for it.
        """
        burst_ends_at = self._sent_at + BURST_WINDOW_SECONDS
        if is_urgent or waiting < BURST_ENDPOINTS or now >= burst_ends_at:
            return 0.0
        self._due_at = burst_ends_at
        return burst_ends_at - now

    def sent(self, now: float) -> None:
        """Record that all waiting changes were sent."""
        self._sent_at = now
        self._due_at = math.inf
