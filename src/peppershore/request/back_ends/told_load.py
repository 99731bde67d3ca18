"""What a back end says of itself in a field of its answers, read and checked.

The field holds whole numbers with commas between them: running, waiting, slots, and with
some the pace of the machine.  A field that can't be read whole counts as missing: nothing
tells which of its figures is right.  A pace that can't be is left out, the rest counts.
"""

from __future__ import annotations

from typing import Final

import msgspec

PACE_NOT_REPORTED: Final = 0

MAX_FIELD_BYTES = 64
MAX_CALLS = 100_000
"""More calls or slots than that no one back end has."""

MIN_PERCENT = 10
MAX_PERCENT = 10_000
"""A machine that is ten times as quick as usual, or a hundred times as slow, is none."""

FIELDS_WITHOUT_PACE = 3
FIELDS_WITH_PACE = 4


class ToldLoad(msgspec.Struct, frozen=True):
    """Calls that run and wait at a back end, its slots, and its machine's pace.

    ``pace_percent`` is how long work takes now, 100 as usual, 0 where it is not told.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int = PACE_NOT_REPORTED


def read_load(value: bytes) -> ToldLoad | None:
    """Read the field's value; None if it is missing or can't be read whole."""
    if not value or len(value) > MAX_FIELD_BYTES:
        return None
    figures = [figure.strip(b" ") for figure in value.split(b",")]
    if len(figures) not in {FIELDS_WITHOUT_PACE, FIELDS_WITH_PACE}:
        return None
    running, waiting, slots = (_count(figure) for figure in figures[:3])
    if running is None or waiting is None or not slots:
        return None
    pace = figures[3] if len(figures) == FIELDS_WITH_PACE else b""
    return ToldLoad(running, waiting, slots, _percent(pace))


def _count(figure: bytes) -> int | None:
    """Give a whole number that may be, else None; a sign makes it none."""
    if not figure.isdigit():
        return None
    count = int(figure)
    return count if count <= MAX_CALLS else None


def _percent(figure: bytes) -> int:
    """Give a pace that may be, a fraction of it dropped, else ``PACE_NOT_TOLD``."""
    whole, point, fraction = figure.partition(b".")
    if point and not fraction.isdigit():
        return PACE_NOT_REPORTED
    percent = _count(whole)
    if percent is None or not MIN_PERCENT <= percent <= MAX_PERCENT:
        return PACE_NOT_REPORTED
    return percent
