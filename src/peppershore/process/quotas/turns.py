"""Retry times for callers that one node refused because of a tenant's limit."""

from __future__ import annotations

import math

AVERAGING_SECONDS = 2.0
"""Time constant over which the rate of a node's grants is averaged."""

MIN_RETRY_SECONDS = 0.1
"""Minimum retry time. Callers that retry sooner exceed the limit again together."""

MAX_RETRY_SECONDS = 5.0

JITTER_SHARE = 0.5
"""Maximum share of its wait that is randomly added for each caller, so that callers
refused by several nodes don't retry at the same time."""


class Turns:
    """Assigns retry times to refused callers, spaced by the local rate of grants."""

    __slots__ = ("_granted", "_next", "_updated_at")

    def __init__(self) -> None:
        """Start without grants, so without a known rate of grants."""
        self._granted = 0.0
        self._updated_at = 0.0
        self._next = 0.0

    def granted(self, now: float) -> None:
        """Count a granted call."""
        self._decay(now)
        self._granted += 1.0

    def book(self, wait: float, random_share: float, now: float) -> float:
        """Return the seconds after which a refused caller should retry.

        ``wait`` is the time in seconds until the limit allows one more call.
        ``random_share`` is a random number from 0 to 1.
        """
        self._decay(now)
        self._next = max(self._next, now + max(wait, MIN_RETRY_SECONDS))
        retry_seconds = self._next - now
        if retry_seconds < MAX_RETRY_SECONDS:
            self._next += self._spacing_seconds(wait)
        return min(retry_seconds * (1.0 + JITTER_SHARE * random_share), MAX_RETRY_SECONDS)

    def _spacing_seconds(self, wait: float) -> float:
        rate = self._granted / AVERAGING_SECONDS
        return 1.0 / rate if rate > 0.0 else wait

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._granted *= math.exp((self._updated_at - now) / AVERAGING_SECONDS)
            self._updated_at = now
