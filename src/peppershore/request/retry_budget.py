"""Retry budget as a share of calls, and retry delays with full jitter.

Retries are made only while time remains, which the user of this module checks.
"""

from __future__ import annotations

from peppershore.request.picker import RandomSource

FIRST_DELAY_SECONDS = 0.005
MAX_DELAY_SECONDS = 0.25
RESERVE_TOKENS = 3.0
"""Retries that a service with few calls may make before its calls have earned any."""

MAX_TOKENS = 50.0
"""Maximum number of retries saved up, so that a long time without failures does not enable
a retry storm."""


class RetryBudget:
    """Retry budget of one service: each call earns a share, each retry costs one token."""

    def __init__(self) -> None:
        """Start with ``RESERVE_TOKENS`` retries."""
        self._tokens = RESERVE_TOKENS

    @property
    def tokens(self) -> float:
        """Number of retries available now."""
        return self._tokens

    def earn(self, percent: int) -> None:
        """Credit the share of a retry, in percent, that a first attempt earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + percent / 100)

    def spend(self) -> bool:
        """Spend one retry and return True, or return False if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_delay(attempts_made: int, random: RandomSource) -> float:
    """Return the seconds to wait before the next attempt: exponential, with full jitter."""
    ceiling = min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2 ** (attempts_made - 1))
    return random.below(ceiling)
