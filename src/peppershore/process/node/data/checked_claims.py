"""Claims whose keys are looked at first: bounds, and age against the horizon."""

from __future__ import annotations

import time

from returns.result import Failure, Result

from peppershore.connection.messages import KeptAnswer
from peppershore.process.claims.keys import check_key
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimKeyRefused,
    ClaimsClient,
    callers_key,
)

MILLISECONDS = 1_000
HORIZON_SECONDS = 86_400
"""For how long the claims group keeps records (its setting's default)."""


class CheckedClaims:
    """A ``ClaimsClient`` that refuses a key before the group is asked."""

    def __init__(self, claims: ClaimsClient) -> None:
        """Ask ``claims`` for all else."""
        self._claims = claims

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim ``key`` for ``attempt``."""
        unix_milliseconds = int(time.time() * MILLISECONDS)
        horizon = HORIZON_SECONDS * MILLISECONDS
        checked = check_key(callers_key(key), unix_milliseconds, horizon)
        if isinstance(checked, Failure):
            return Failure(ClaimKeyRefused(checked.failure().reason))
        return await self._claims.claim(key, attempt, seconds)

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Keep the answer for resends."""
        self._claims.complete(key, attempt, answer)

    def release(self, key: str, attempt: str) -> None:
        """Give the claim back."""
        self._claims.release(key, attempt)
