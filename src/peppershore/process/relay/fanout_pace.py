"""When changed endpoints go out to nodes: few soon, many together, urgent ones first.

In a storm each node would otherwise hear of nearly every endpoint in a message
of its own.  Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math

WINDOW_SECONDS = 0.05
"""Changes within this time go out together; urgent ones that follow others wait for it."""

STORM_WINDOW_SECONDS = 0.5
STORM_ENDPOINTS = 10
"""So many changes in one window are a storm: only urgent ones then go out sooner."""


class FanoutPace:
    """Decides when the next message of changed endpoints is due."""

    def __init__(self) -> None:
        """Start with nothing sent and nothing due."""
        self._sent_at = -math.inf
        self._due_at = math.inf

    def plan(self, is_urgent: bool, now: float) -> float | None:
        """Take note that endpoints wait; give the seconds until they are due.

        0 means now, None that the time planned before stands.
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

    def postponed(self, waiting: int, is_urgent: bool, now: float) -> float:
        """Give the seconds for which what is due waits longer; 0: it goes out now."""
        storm_ends_at = self._sent_at + STORM_WINDOW_SECONDS
        if is_urgent or waiting < STORM_ENDPOINTS or now >= storm_ends_at:
            return 0.0
        self._due_at = storm_ends_at
        return storm_ends_at - now

    def sent(self, now: float) -> None:
        """Take note that everything went out."""
        self._sent_at = now
        self._due_at = math.inf
