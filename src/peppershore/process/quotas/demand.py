"""How many calls of a tenant are asked for a second, smoothed."""

from __future__ import annotations

import math

DECAY_SECONDS = 0.5
"""Long against the gaps between calls of a tenant that is worth asking ahead for, short
against a tenant's turn from its usual to many times that."""


class Demand:
    """A rate that fades with time."""

    __slots__ = ("_counted", "_seen_at")

    def __init__(self) -> None:
        """Begin without calls."""
        self._counted = 0.0
        self._seen_at = 0.0

    def add(self, calls: int, now: float) -> None:
        """So many calls came."""
        self._fade(now)
        self._counted += calls

    def expected(self, seconds: float, now: float) -> int:
        """Give the whole calls to expect in the next ``seconds``."""
        self._fade(now)
        return int(self._counted / DECAY_SECONDS * seconds)

    def _fade(self, now: float) -> None:
        if now > self._seen_at:
            self._counted *= math.exp((self._seen_at - now) / DECAY_SECONDS)
            self._seen_at = now
