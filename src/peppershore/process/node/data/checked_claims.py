"""Claims whose keys are looked at too: their bounds, and their age.

A key that carries its time is refused before the group is asked if no group
could know it any more, and after the grant if this group keeps records for a
shorter time: only the group knows its own horizon.
"""

from __future__ import annotations

import time

from returns.result import Failure, Result

from peppershore.connection.messages.claims import DEFAULT_HORIZON_SECONDS, KeptAnswer
from peppershore.process.claims.keys import check_key
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimKeyRefused,
    ClaimsClient,
    callers_key,
)

MILLISECONDS = 1_000


class CheckedClaims:
    """A ``ClaimsClient`` that refuses keys under which no claim can be trusted."""

    def __init__(self, claims: ClaimsClient) -> None:
        """Ask ``claims`` for all else."""
        self._claims = claims
        self._longest_horizon = DEFAULT_HORIZON_SECONDS

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim ``key`` for ``attempt``."""
        refused = _refusal(key, self._longest_horizon)
        if refused is not None:
            return Failure(refused)
        claimed = await self._claims.claim(key, attempt, seconds)
        if isinstance(claimed, Failure):
            return claimed
        horizon = claimed.unwrap().horizon_seconds
        self._longest_horizon = max(self._longest_horizon, horizon)
        refused = _refusal(key, horizon)
        if refused is not None:
            self._claims.release(key, attempt)
            return Failure(refused)
        return claimed

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Keep the answer for resends."""
        self._claims.complete(key, attempt, answer)

    def release(self, key: str, attempt: str) -> None:
        """Give the claim back."""
        self._claims.release(key, attempt)


def _refusal(key: str, horizon_seconds: int) -> ClaimKeyRefused | None:
    unix_milliseconds = int(time.time() * MILLISECONDS)
    checked = check_key(callers_key(key), unix_milliseconds, horizon_seconds * MILLISECONDS)
    if isinstance(checked, Failure):
        return ClaimKeyRefused(checked.failure().reason)
    return None
