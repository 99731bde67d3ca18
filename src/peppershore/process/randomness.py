"""Seeded random choices for the cores.

Cores draw random numbers only through this module. The same seed produces the same
choices, so that every run of a core can be reproduced.
"""

from __future__ import annotations

import random


class Randomness:
    """A stream of pseudo-random numbers determined by its seed."""

    def __init__(self, seed: int) -> None:
        """Start the stream of random numbers determined by ``seed``."""
        self._generator = random.Random(seed)

    def below(self, limit: float) -> float:
        """Return a uniform random number of at least 0 and below ``limit``."""
        return self._generator.random() * limit

    def between(self, low: float, high: float) -> float:
        """Return a uniform random number between ``low`` and ``high``."""
        return low + self._generator.random() * (high - low)

    def backoff_seconds(self, attempt: int, base: float, ceiling: float) -> float:
        """Return a back-off in seconds with full jitter: uniform from 0 to its bound.

        The bound is ``base * 2**attempt`` seconds, at most ``ceiling`` seconds; ``attempt``
        counts from 0.
        """
        bound = min(ceiling, base * 2.0 ** min(attempt, MAX_EXPONENT))
        return self.below(bound)


MAX_EXPONENT = 32
