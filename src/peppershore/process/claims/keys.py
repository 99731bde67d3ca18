"""Validation of idempotency keys: length, characters and age.

A claims group drops a record after its horizon, so a call retried with an older key could
run again. A key that is a UUID of version 7 (RFC 9562, section 5.7) contains its creation
time. Such a key is refused once it is older than the horizon less a margin for clocks
that differ (an hour, but at most a quarter of the horizon). Other keys are accepted
without a check of their age, so callers must not retry with them past the horizon.
"""

from __future__ import annotations

import uuid

import msgspec
from returns.result import Failure, Result, Success

MAX_KEY_LENGTH = 200
MIN_KEY_LENGTH = 8
CLOCK_MARGIN_MILLISECONDS = 3_600_000
MARGIN_DIVISOR = 4
"""The margin for clocks that differ is at most a quarter of the time for which claim
records are stored (the horizon)."""

_UUID_TIME_SHIFT = 80
_TIMED_UUID_VERSION = 7


class KeyRefused(msgspec.Struct, frozen=True):
    """The idempotency key is not accepted; ``reason`` is sent to the caller."""

    reason: str


def check_key(
    key: str, unix_milliseconds: int, horizon_milliseconds: int
) -> Result[str, KeyRefused]:
    """Return the key if it is valid and not too old, else the reason for its refusal.

    ``unix_milliseconds`` is the current time.
    """
    if not MIN_KEY_LENGTH <= len(key) <= MAX_KEY_LENGTH:
        return Failure(
            KeyRefused(f"key must have {MIN_KEY_LENGTH} to {MAX_KEY_LENGTH} characters")
        )
    if not key.isascii() or not key.isprintable():
        return Failure(KeyRefused("key must be printable ASCII"))
    created_at = _created_at(key)
    if created_at is None:
        return Success(key)
    margin = min(CLOCK_MARGIN_MILLISECONDS, horizon_milliseconds // MARGIN_DIVISOR)
    if created_at < unix_milliseconds - horizon_milliseconds + margin:
        return Failure(KeyRefused("key is older than the horizon of claims"))
    if created_at > unix_milliseconds + margin:
        return Failure(KeyRefused("key was made in the future"))
    return Success(key)


def _created_at(key: str) -> int | None:
    """Return the Unix milliseconds in a UUID of version 7, None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMED_UUID_VERSION:
        return None
    return parsed.int >> _UUID_TIME_SHIFT
