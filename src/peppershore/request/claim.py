"""Interface of claims, by which a call runs at most once even if it is sent again.

Before a call runs, an attempt claims the idempotency key of the call. Only the attempt that
gets the claim may run it.
"""

from __future__ import annotations

from hashlib import sha256
from typing import Protocol

import msgspec
from returns.result import Result

from peppershore.connection.http_head import RequestHead
from peppershore.connection.messages.claims import DEFAULT_HORIZON_SECONDS, KeptAnswer
from peppershore.request.outcome import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
)

DIGEST_DIGITS = 16
CLAIM_KEY_PARTS = 3
CLAIM_RETRY_AFTER_MILLISECONDS = 1_000
"""Retry advice if no claim could be recorded; an election in the claims group takes no
longer than this."""

MAX_KEPT_BODY_BYTES = 64 * 1024
"""A longer answer is not stored; if the call is sent again, its outcome is reported as
unknown."""


class ClaimGranted(msgspec.Struct, frozen=True):
    """This attempt alone may run the call with that key.

    The claim is retained for at least ``horizon_seconds``.
    """

    horizon_seconds: int = DEFAULT_HORIZON_SECONDS


class ClaimTaken(msgspec.Struct, frozen=True):
    """The key was claimed before; ``answer`` is the stored answer, if there is one."""

    answer: KeptAnswer | None = None


class ClaimUnavailable(msgspec.Struct, frozen=True):
    """No claim could be recorded in time; the call must not run."""

    reason: str


class ClaimKeyRefused(msgspec.Struct, frozen=True):
    """The key is not accepted, for instance because it is too old; nothing was recorded."""

    reason: str


ClaimDenied = ClaimTaken | ClaimUnavailable | ClaimKeyRefused


class ClaimsClient(Protocol):
    """Records claims in storage that survives the failures it is specified for."""

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim ``key`` for ``attempt`` before anything is sent to a back end."""

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Store the answer for later requests with this key (None: too long to store)."""

    def release(self, key: str, attempt: str) -> None:
        """Release the claim: this attempt is proven not to have run."""


def denied_as(denied: ClaimDenied) -> Failed | KeptAnswer:
    """Return what the caller gets if a claim is denied: a failure or the stored answer."""
    if isinstance(denied, ClaimKeyRefused):
        return NotRun(STATUS_BAD_REQUEST, "idempotency-key-refused")
    if isinstance(denied, ClaimUnavailable):
        advice = CLAIM_RETRY_AFTER_MILLISECONDS
        return NotRun(STATUS_UNAVAILABLE, "claim-unavailable", advice)
    if denied.answer is None:
        return Unknown(STATUS_BAD_GATEWAY, "claimed-before")
    return denied.answer


def callers_key(key: str) -> str:
    """Return the part of a claim's key that the caller chose."""
    return key.split("/", CLAIM_KEY_PARTS - 1)[-1]


def claim_key(head: RequestHead, key: str, caller: str) -> str:
    """Return the key that identifies a call; two callers never share one.

    A call that is sent again has the same method and path. Its route and service are left
    out of the key, because an edit of the routing tree may change them and must not turn it
    into another call.
    """
    path = head.target.partition(b"?")[0]
    owner = _digest(caller.encode()) if caller else "-"
    return "/".join((_digest(head.method + b" " + path), owner, key))


def _digest(data: bytes) -> str:
    return sha256(data).hexdigest()[:DIGEST_DIGITS]
