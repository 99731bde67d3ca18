"""Fields by which back ends report a need; whatever they contain, nothing breaks."""

from __future__ import annotations

import pytest

from peppershore.request.back_ends.reported_need import NO_NEED, ReportedNeed, read_need
from peppershore.request.wire_names import WireNames

NAMES = WireNames(rate_limit=b"x-limit", leaving=b"x-leaving")


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"13.2", 13.2),
        (b"0", 0.0),
        (b" 7 ", 7.0),
        (b"0.25", 0.25),
        (b"999999999999", 1_000_000.0),
    ],
)
def test_a_limit_is_a_decimal_number(value: bytes, rate: float) -> None:
    assert read_need([(b"x-limit", value)], NAMES) == ReportedNeed(rate, True)


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e9", b"0x10", b"1,2", b"9" * 40, b"1.2.3"]
)
def test_a_malformed_limit_is_none_and_no_end_of_one(value: bytes) -> None:
    assert read_need([(b"x-limit", value)], NAMES) == ReportedNeed(None, True)


def test_the_lowest_of_several_limits_counts() -> None:
    twice = [(b"x-limit", b"9"), (b"x-limit", b"x"), (b"x-limit", b"4.5")]
    assert read_need(twice, NAMES) == ReportedNeed(4.5, True)


def test_only_the_value_one_says_that_it_leaves() -> None:
    assert read_need([(b"x-leaving", b"1")], NAMES).is_leaving
    assert not read_need([(b"x-leaving", b"0")], NAMES).is_leaving


def test_other_fields_and_unset_names_report_nothing() -> None:
    assert read_need([(b"date", b"now")], NAMES) == NO_NEED
    unset = WireNames(rate_limit=b"", leaving=b"")
    assert read_need([(b"x-limit", b"5"), (b"x-leaving", b"1")], unset) == NO_NEED
