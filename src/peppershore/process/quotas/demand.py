"""Smoothed rate of the calls of one tenant, to forecast its next calls."""

from __future__ import annotations

import math

DECAY_SECONDS = 0.5
"""Time constant of the exponential decay. It is long against the gaps between calls of a
tenant whose demand is worth forecasting, and short against the time in which a tenant's
load rises to many times its usual."""


class Demand:
    """Call rate with exponential decay."""

    __slots__ = ("_counted", "_updated_at")

    def __init__(self) -> None:
        """Start without calls."""
        self._counted = 0.0
        self._updated_at = 0.0

    def add(self, calls: int, now: float) -> None:
        """Count ``calls`` that arrived at ``now``."""
        self._decay(now)
        self._counted += calls

    def expected(self, seconds: float, now: float) -> int:
        """Return the number of calls expected in the next ``seconds``, rounded down."""
        self._decay(now)
        return int(self._counted / DECAY_SECONDS * seconds)

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._counted *= math.exp((self._updated_at - now) / DECAY_SECONDS)
            self._updated_at = now
