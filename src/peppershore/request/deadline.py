"""Deadlines are sent as remaining milliseconds, which shrink at every hop."""

from __future__ import annotations

HOP_MARGIN_SECONDS = 0.002
"""Subtracted at each hop, so that the inner hop gives up before the outer one."""

MAX_DEADLINE_DIGITS = 9


def parse_remaining(value: bytes) -> float | None:
    """Return the seconds in a deadline header; None if it is absent or not a number."""
    if not value or len(value) > MAX_DEADLINE_DIGITS or not value.isdigit():
        return None
    return int(value) / 1_000


def call_deadline(now: float, timeout_milliseconds: int, remaining: float | None) -> float:
    """Return the monotonic time by which a call must be over.

    This is after the route's time-out, or after the ``remaining`` seconds that the caller
    allows if these are fewer.
    """
    timeout = timeout_milliseconds / 1_000
    if remaining is not None:
        timeout = min(timeout, remaining)
    return now + timeout


def remaining_milliseconds(now: float, deadline: float) -> int:
    """Return the milliseconds left for the next hop, at least 0."""
    remaining = deadline - now - HOP_MARGIN_SECONDS
    return max(0, int(remaining * 1_000))
