"""A call shares its patience among the back ends where it waits."""

from __future__ import annotations

import math

import pytest

from peppershore.request.shared_patience import (
    LEAST_WAIT_SECONDS,
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
def test_each_wait_has_its_part_and_the_last_all_that_is_left(
    now: float, waits: int, most: int, expected: float
) -> None:
    assert wait_until(now, 10.3, waits, most) == pytest.approx(expected)


def test_without_a_bound_a_wait_has_none() -> None:
    assert wait_until(10.0, math.inf, 1, 3) == math.inf


def test_a_call_waits_on_while_it_has_time_and_leave() -> None:
    assert may_wait_on(10.0, 10.3, 1, 3)
    assert not may_wait_on(10.0, 10.3, 3, 3)
    assert not may_wait_on(10.3 - LEAST_WAIT_SECONDS / 2, 10.3, 1, 3)
    assert not may_wait_on(10.0, 10.3, 1, 1)
