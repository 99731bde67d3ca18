"""When callers who were refused over a limit should come back to one node."""

from __future__ import annotations

import math

FADE_SECONDS = 2.0
"""Time over which the rate of a node's grants is known."""

LEAST_ADVICE_SECONDS = 0.1
"""A caller that is back sooner is over the limit again, as all the others are."""

MOST_ADVICE_SECONDS = 5.0

SPREAD = 0.5
"""Part of its wait by which a caller may be told to come later, drawn anew for each, so
that those told by several nodes don't come together."""


class Turns:
    """Books each refused caller a turn, at the rate at which calls were granted here."""

    __slots__ = ("_granted", "_next", "_seen_at")

    def __init__(self) -> None:
        """Begin without grants, so without a rate."""
        self._granted = 0.0
        self._seen_at = 0.0
        self._next = 0.0

    def granted(self, now: float) -> None:
        """A call was granted."""
        self._fade(now)
        self._granted += 1.0

    def book(self, wait: float, drawn: float, now: float) -> float:
        """Give the seconds after which a caller should come back.

        ``wait``: seconds until the limit gives one more; ``drawn``: from 0 to 1.
        """
        self._fade(now)
        self._next = max(self._next, now + max(wait, LEAST_ADVICE_SECONDS))
        advice = self._next - now
        if advice < MOST_ADVICE_SECONDS:
            self._next += self._spacing_seconds(wait)
        return min(advice * (1.0 + SPREAD * drawn), MOST_ADVICE_SECONDS)

    def _spacing_seconds(self, wait: float) -> float:
        rate = self._granted / FADE_SECONDS
        return 1.0 / rate if rate > 0.0 else wait

    def _fade(self, now: float) -> None:
        if now > self._seen_at:
            self._granted *= math.exp((self._seen_at - now) / FADE_SECONDS)
            self._seen_at = now
