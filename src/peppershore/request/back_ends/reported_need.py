"""Parsing of the answer fields by which a back end reports that it is in need.

One field names the calls a second that it takes from all nodes together, a decimal number;
another says that it is leaving. A malformed value counts neither as a limit nor as its end.
"""

from __future__ import annotations

import re

import msgspec

from peppershore.connection.http_head import HeaderList
from peppershore.request.wire_names import WireNames

LEAVING_VALUE = b"1"
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
    is_leaving = False
    for name, value in headers:
        if name == names.rate_limit:
            limits.append(value)
        elif name == names.leaving:
            is_leaving = is_leaving or value.strip(b" \t") == LEAVING_VALUE
    if not limits and not is_leaving:
        return NO_NEED
    rates = [rate for rate in map(_rate, limits) if rate is not None]
    return ReportedNeed(min(rates, default=None), bool(limits), is_leaving)


def _rate(value: bytes) -> float | None:
    text = value.strip(b" \t")
    if not _DECIMAL.fullmatch(text):
        return None
    return min(float(text), MAX_RATE)
