"""Parsing of the answer fields by which a back end reports that it is in need.

One field names the calls a second that it takes from all nodes together, a decimal number.
A malformed value counts neither as a limit nor as its end.
"""

from __future__ import annotations

import re

import msgspec

from peppershore.connection.http_head import HeaderList
from peppershore.request.wire_names import WireNames

MAX_RATE = 1_000_000.0
"""A back end that names a higher limit has none in effect."""

_DECIMAL = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,12})?")


class ReportedNeed(msgspec.Struct, frozen=True):
    """What one answer reports.

    ``rate_limit`` is in calls a second, None if the answer names none that is valid.
    ``names_limit`` says whether the field was there at all.
    """

    rate_limit: float | None = None
    names_limit: bool = False
    is_leaving: bool = False


NO_NEED = ReportedNeed()


def read_need(headers: HeaderList, names: WireNames) -> ReportedNeed:
    """Read the fields of an answer; of several limits in it, the lowest counts."""
    limits: list[bytes] = []
    for name, value in headers:
        if name == names.rate_limit:
            limits.append(value)
    if not limits:
        return NO_NEED
    rates = [rate for rate in map(_rate, limits) if rate is not None]
    return ReportedNeed(min(rates, default=None), True)


def _rate(value: bytes) -> float | None:
    text = value.strip(b" \t")
    if not _DECIMAL.fullmatch(text):
        return None
    return min(float(text), MAX_RATE)
