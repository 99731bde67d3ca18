"""Idempotency keys: their bounds, and refusing a key older than the records.

A claims group forgets a record after its horizon, so a key resent later could
run again.  Keys that are UUID version 7 (RFC 9562, section 5.7) carry the time
they were made; such a key is refused once it is older than the horizon less a
margin for clocks that differ (an hour, at most a quarter of the horizon).  Other
keys are taken as they are, and callers must not resend them past the horizon.
"""

from __future__ import annotations

import uuid

import msgspec
from returns.result import Failure, Result, Success

MAX_KEY_LENGTH = 200
MIN_KEY_LENGTH = 8
CLOCK_MARGIN_MILLISECONDS = 3_600_000
MARGIN_SHARE = 4
"""The margin is at most this part (a quarter) of the horizon."""

_UUID_TIME_SHIFT = 80
_TIMED_UUID_VERSION = 7


class KeyRefused(msgspec.Struct, frozen=True):
    """The key can't name a call; ``reason`` tells the caller why."""

    reason: str


def check_key(
    key: str, unix_milliseconds: int, horizon_milliseconds: int
) -> Result[str, KeyRefused]:
    """Give the key if a claim under it can be trusted, else why not."""
    if not MIN_KEY_LENGTH <= len(key) <= MAX_KEY_LENGTH:
        return Failure(
            KeyRefused(f"key must have {MIN_KEY_LENGTH} to {MAX_KEY_LENGTH} characters")
        )
    if not key.isascii() or not key.isprintable():
        return Failure(KeyRefused("key must be printable ASCII"))
    made_at = _made_at(key)
    if made_at is None:
        return Success(key)
    margin = min(CLOCK_MARGIN_MILLISECONDS, horizon_milliseconds // MARGIN_SHARE)
    if made_at < unix_milliseconds - horizon_milliseconds + margin:
        return Failure(KeyRefused("key is older than the horizon of claims"))
    if made_at > unix_milliseconds + margin:
        return Failure(KeyRefused("key was made in the future"))
    return Success(key)


def _made_at(key: str) -> int | None:
    """Unix milliseconds in a UUID version 7, None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMED_UUID_VERSION:
        return None
    return parsed.int >> _UUID_TIME_SHIFT
