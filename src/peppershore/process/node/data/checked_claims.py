"""Claims whose keys are checked as well: their length, their characters and their age.

A key that carries a time is refused before the claims group is asked if it is so old that
no group could still have a record of it. It is refused after the grant if this group
retains records for a shorter time: only the group knows its own horizon, the time for which
it retains records.
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
    """A ``ClaimsClient`` that refuses keys with which a claim would not be reliable."""

    def __init__(self, claims: ClaimsClient) -> None:
        """Delegate to ``claims`` what is not refused."""
        self._claims = claims
        self._longest_horizon = DEFAULT_HORIZON_SECONDS

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim ``key`` for ``attempt`` within ``seconds``, unless the key is refused."""
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
        """Store the answer for resends of the call; None if it is too long to store."""
        self._claims.complete(key, attempt, answer)

    def release(self, key: str, attempt: str) -> None:
        """Release the claim of an attempt that has not run."""
        self._claims.release(key, attempt)


def _refusal(key: str, horizon_seconds: int) -> ClaimKeyRefused | None:
    unix_milliseconds = int(time.time() * MILLISECONDS)
    checked = check_key(callers_key(key), unix_milliseconds, horizon_seconds * MILLISECONDS)
    if isinstance(checked, Failure):
        return ClaimKeyRefused(checked.failure().reason)
    return None
