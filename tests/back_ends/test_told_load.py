"""The load field of a back end's answers is parsed completely or ignored."""

from __future__ import annotations

import pytest

from peppershore.request.back_ends.reported_load import ReportedLoad, read_load


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,5", ReportedLoad(3, 1, 5)),
        (b"3, 1, 5, 250", ReportedLoad(3, 1, 5, 250)),
        (b"0,0,1,100", ReportedLoad(0, 0, 1, 100)),
        (b"3,1,5,187.5", ReportedLoad(3, 1, 5, 187)),
    ],
)
def test_three_or_four_values_are_parsed(value: bytes, expected: ReportedLoad) -> None:
    assert read_load(value) == expected


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b",",
        b"3",
        b"3,1",
        b"3,1,5,100,7",
        b"-3,1,5,100",
        b"+3,1,5",
        b"3,1,0,100",
        b"3,1,-5",
        b"1e3,1,5",
        b"3.5,1,5",
        b"3,1,five",
        b"100001,0,5",
        b"3,1,5" + b" " * 80,
        "٣,1,5".encode(),
        b"9" * 60 + b",1,5",
    ],
)
def test_a_malformed_field_counts_as_missing(value: bytes) -> None:
    assert read_load(value) is None


@pytest.mark.parametrize(
    "pace", [b"0", b"9", b"-100", b"10001", b"fast", b"100.", b"", b"."]
)
def test_an_implausible_pace_is_ignored_and_the_rest_counts(pace: bytes) -> None:
    assert read_load(b"3,1,5," + pace) == ReportedLoad(3, 1, 5, 0)
