"""The hook for calls that run at most once even when their caller resends them."""

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
"""Advice where no claim could be recorded: an election of the group takes no longer."""

MAX_KEPT_BODY_BYTES = 64 * 1024
"""A longer answer is not kept: a resend is told that the outcome is not known."""


class ClaimGranted(msgspec.Struct, frozen=True):
    """This attempt, and no other, may run the call of that key.

    The record is kept for ``horizon_seconds`` at least.
    """

    horizon_seconds: int = DEFAULT_HORIZON_SECONDS


class ClaimTaken(msgspec.Struct, frozen=True):
    """The key was claimed before; ``answer`` is there once it was answered and kept."""

    answer: KeptAnswer | None = None


class ClaimUnavailable(msgspec.Struct, frozen=True):
    """No claim could be recorded in time; the call must not run."""

    reason: str


class ClaimKeyRefused(msgspec.Struct, frozen=True):
    """No claim can be trusted under this key; nothing was recorded."""

    reason: str


ClaimDenied = ClaimTaken | ClaimUnavailable | ClaimKeyRefused


class ClaimsClient(Protocol):
    """Records claims in a place that survives the losses promised."""

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        """Claim ``key`` for ``attempt`` before anything is sent to a back end."""

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        """Keep the answer for resends (None: it is too long to keep)."""

    def release(self, key: str, attempt: str) -> None:
        """Give the claim back: this attempt was proven not to have run."""


def denied_as(denied: ClaimDenied) -> Failed | KeptAnswer:
    """Give what the caller of a call without a claim gets: a failure or a kept answer."""
    if isinstance(denied, ClaimKeyRefused):
        return NotRun(STATUS_BAD_REQUEST, "idempotency-key-refused")
    if isinstance(denied, ClaimUnavailable):
        advice = CLAIM_RETRY_AFTER_MILLISECONDS
        return NotRun(STATUS_UNAVAILABLE, "claim-unavailable", advice)
    if denied.answer is None:
        return Unknown(STATUS_BAD_GATEWAY, "claimed-before")
    return denied.answer


def callers_key(key: str) -> str:
    """Give the part of a claim's key that the caller chose."""
    return key.split("/", CLAIM_KEY_PARTS - 1)[-1]


def claim_key(head: RequestHead, key: str, caller: str) -> str:
    """Give the name of a call among all calls: two callers never share one.

    A resend has the method and path of the first send.  Its route and service may
    be others by then: an edit of the tree must not make it another call.
    """
    path = head.target.partition(b"?")[0]
    owner = _digest(caller.encode()) if caller else "-"
    return "/".join((_digest(head.method + b" " + path), owner, key))


def _digest(data: bytes) -> str:
    return sha256(data).hexdigest()[:DIGEST_DIGITS]
