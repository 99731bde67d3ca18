"""A call's wait time-out is divided among the back ends at which it waits."""

from __future__ import annotations

import math

import pytest

from peppershore.request.wait_division import (
    MIN_WAIT_SECONDS,
    may_wait_on,
    wait_until,
)


@pytest.mark.parametrize(
    ("now", "waits", "most", "expected"),
    [
        (10.0, 1, 1, 10.3),
        (10.0, 1, 3, 10.1),
        (10.1, 2, 3, 10.2),
        (10.2, 3, 3, 10.3),
        (10.0, 3, 3, 10.3),
        (10.299, 1, 3, 10.3),
        (10.4, 1, 3, 10.3),
    ],
)
def test_each_wait_gets_an_equal_part_and_the_last_one_the_rest(
    now: float, waits: int, most: int, expected: float
) -> None:
    assert wait_until(now, 10.3, waits, most) == pytest.approx(expected)


def test_without_a_time_out_waits_are_unbounded() -> None:
    assert wait_until(10.0, math.inf, 1, 3) == math.inf


def test_a_call_may_wait_elsewhere_within_its_time_and_number_of_waits() -> None:
    assert may_wait_on(10.0, 10.3, 1, 3)
    assert not may_wait_on(10.0, 10.3, 3, 3)
    assert not may_wait_on(10.3 - MIN_WAIT_SECONDS / 2, 10.3, 1, 3)
    assert not may_wait_on(10.0, 10.3, 1, 1)
