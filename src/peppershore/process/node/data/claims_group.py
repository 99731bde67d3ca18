"""Claims from the claims group, as calls want them."""

from __future__ import annotations

import time

from returns.result import Failure, Result

from peppershore.connection.messages import KeptAnswer
from peppershore.process.claims.client import ClaimClientShell
from peppershore.process.claims.keys import check_key
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimKeyRefused,
    callers_key,
)

MILLISECONDS = 1_000
HORIZON_SECONDS = 86_400
"""For how long the group keeps records (its setting's default)."""


class ClaimsGroup:
    """A ``ClaimsClient`` that looks at the key before the group is asked."""

    def __init__(self, client: ClaimClientShell) -> None:
        """Use the shell that keeps the links."""
        self._client = client

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim ``key`` for ``attempt``."""
        unix_milliseconds = int(time.time() * MILLISECONDS)
        checked = check_key(
            callers_key(key), unix_milliseconds, HORIZON_SECONDS * MILLISECONDS
        )
        if isinstance(checked, Failure):
            return Failure(ClaimKeyRefused(checked.failure().reason))
        return await self._client.claim(key, attempt, seconds)

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Keep the answer for resends."""
        self._client.complete(key, attempt, answer)

    def release(self, key: str, attempt: str) -> None:
        """Give the claim back."""
        self._client.release(key, attempt)

    async def close(self) -> None:
        """Close the links."""
        await self._client.close()
