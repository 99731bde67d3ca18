"""Parsing and validation of the load field in a back end's answers.

The field holds integers separated by commas: running calls, waiting calls, slots, and
optionally the pace of the machine (time that work takes, 100 as usual, 200 twice as long).
A field that can't be parsed completely counts as missing, since nothing shows which of its
values are right. An implausible pace is ignored, and the other values are used.
"""

from __future__ import annotations

from typing import Final

import msgspec

PACE_NOT_REPORTED: Final = 0

MAX_FIELD_BYTES = 64
MAX_CALLS = 100_000
"""A larger number of calls or slots is implausible for a single back end."""

MIN_PERCENT = 10
MAX_PERCENT = 10_000
"""Bounds of a plausible pace: no machine is ten times as fast as usual, or a hundred times
as slow."""

VALUES_WITHOUT_PACE = 3
VALUES_WITH_PACE = 4


class ReportedLoad(msgspec.Struct, frozen=True):
    """Running and waiting calls of a back end, its slots, and its machine's pace.

    ``pace_percent`` is how long work takes now: 100 as usual, 0 if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int = PACE_NOT_REPORTED


def read_load(value: bytes) -> ReportedLoad | None:
    """Parse the field's value; return None if it is missing or malformed."""
    if not value or len(value) > MAX_FIELD_BYTES:
        return None
    parts = [part.strip(b" ") for part in value.split(b",")]
    if len(parts) not in {VALUES_WITHOUT_PACE, VALUES_WITH_PACE}:
        return None
    running, waiting, slots = (_count(part) for part in parts[:3])
    if running is None or waiting is None or not slots:
        return None
    pace = parts[3] if len(parts) == VALUES_WITH_PACE else b""
    return ReportedLoad(running, waiting, slots, _percent(pace))


def _count(part: bytes) -> int | None:
    """Return the number of calls or slots, or None if it is implausible or has a sign."""
    if not part.isdigit():
        return None
    count = int(part)
    return count if count <= MAX_CALLS else None


def _percent(part: bytes) -> int:
    """Return the pace without its fraction, or ``PACE_NOT_REPORTED`` if implausible."""
    whole, point, fraction = part.partition(b".")
    if point and not fraction.isdigit():
        return PACE_NOT_REPORTED
    percent = _count(whole)
    if percent is None or not MIN_PERCENT <= percent <= MAX_PERCENT:
        return PACE_NOT_REPORTED
    return percent
