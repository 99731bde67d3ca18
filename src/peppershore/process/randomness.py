"""Seeded random choices for the cores.

The one module through which a core draws random numbers; the same seed gives
the same choices, so every run of a core can be repeated.
"""

from __future__ import annotations

import random


class Randomness:
    """A stream of random numbers that its seed decides."""

    def __init__(self, seed: int) -> None:
        """Begin the stream of ``seed``."""
        self._generator = random.Random(seed)

    def below(self, limit: float) -> float:
        """Give a number from 0 up to ``limit``."""
        return self._generator.random() * limit

    def between(self, low: float, high: float) -> float:
        """Give a number from ``low`` up to ``high``."""
        return low + self._generator.random() * (high - low)

    def backoff_seconds(self, attempt: int, base: float, ceiling: float) -> float:
        """Give a wait with full jitter: uniform up to ``base * 2**attempt``.

        ``attempt`` counts from 0; the bound never passes ``ceiling``.
        """
        bound = min(ceiling, base * 2.0 ** min(attempt, MAX_EXPONENT))
        return self.below(bound)


MAX_EXPONENT = 32
