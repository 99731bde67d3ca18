"""Retries as a share of calls, with full jitter, only where time remains."""

from __future__ import annotations

from peppershore.request.picker import RandomSource

FIRST_DELAY_SECONDS = 0.005
MAX_DELAY_SECONDS = 0.25
RESERVE_TOKENS = 3.0
"""Retries a quiet service may make before its calls have earned any."""

MAX_TOKENS = 50.0
"""Most retries saved up, so that a long good time does not feed a storm."""


class RetryBudget:
    """Retries of one service: each call earns a share, each retry costs one."""

    def __init__(self) -> None:
        """Start with the reserve."""
        self._tokens = RESERVE_TOKENS

    @property
    def tokens(self) -> float:
        """Retries that could be made now."""
        return self._tokens

    def earn(self, percent: int) -> None:
        """A first attempt was made."""
        self._tokens = min(MAX_TOKENS, self._tokens + percent / 100)

    def spend(self) -> bool:
        """Take one retry; false if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_delay(attempts_made: int, random: RandomSource) -> float:
    """Give the seconds to wait before the next attempt: full jitter."""
    ceiling = min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2 ** (attempts_made - 1))
    return random.below(ceiling)
