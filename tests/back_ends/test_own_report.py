"""The figures of the own back end count for a while, and only so far."""

from __future__ import annotations

import pytest

from peppershore.request.back_ends.own_report import (
    COUNT_SECONDS,
    LONGEST_SPELL_SECONDS,
    PACE_SECONDS,
    OwnReport,
    pace_after,
)
from peppershore.request.back_ends.told_load import ToldLoad


def test_work_that_the_node_does_not_know_counts_once_two_figures_hold_it() -> None:
    report = OwnReport()
    report.heard(ToldLoad(4, 2, 5), 1, 1.0)
    assert report.unknown(1.0) == 0
    report.heard(ToldLoad(4, 0, 5), 1, 1.1)
    assert report.unknown(1.1) == 3


def test_answers_read_in_another_order_make_no_unknown_work() -> None:
    report = OwnReport()
    report.heard(ToldLoad(3, 0, 5), 3, 1.0)
    report.heard(ToldLoad(4, 0, 5), 3, 1.0)
    report.heard(ToldLoad(2, 0, 5), 2, 1.1)
    assert report.unknown(1.1) == 0


def test_fewer_calls_than_the_node_knows_change_nothing() -> None:
    report = OwnReport()
    for _ in range(2):
        report.heard(ToldLoad(0, 0, 5), 4, 1.0)
    assert report.unknown(1.0) == 0


def test_what_was_told_long_ago_counts_no_more() -> None:
    report = OwnReport()
    for _ in range(2):
        report.heard(ToldLoad(5, 5, 5, 250), 0, 1.0)
    later = 1.0 + max(COUNT_SECONDS, PACE_SECONDS)
    assert report.unknown(later) == 0
    assert report.pace_percent(later) == 100
    assert not report.is_slow(later)
    assert report.pace_age_milliseconds(later) == round((later - 1.0) * 1_000)


def test_without_a_pace_the_machine_is_as_usual() -> None:
    report = OwnReport()
    report.heard(ToldLoad(1, 0, 5), 1, 1.0)
    assert report.pace_percent(1.0) == 100
    assert report.pace_age_milliseconds(1.0) == -1
    assert not report.is_slow(1.0)


def test_a_figure_without_pace_leaves_the_one_before_with_its_age() -> None:
    report = OwnReport()
    report.heard(ToldLoad(1, 0, 5, 250), 1, 1.0)
    report.heard(ToldLoad(1, 0, 5), 1, 1.2)
    assert report.pace_age_milliseconds(1.2) == 200


def test_a_machine_is_slow_while_it_says_so() -> None:
    report = OwnReport()
    report.heard(ToldLoad(1, 0, 5, 250), 1, 1.0)
    assert report.is_slow(1.1)
    report.heard(ToldLoad(1, 0, 5, 100), 1, 1.2)
    assert not report.is_slow(1.2)


def test_one_that_says_so_all_the_time_is_of_that_speed() -> None:
    report = OwnReport()
    moments = [1.0 + 0.1 * step for step in range(int(LONGEST_SPELL_SECONDS / 0.1) + 2)]
    for now in moments:
        report.heard(ToldLoad(1, 0, 5, 250), 1, now)
    assert report.pace_percent(moments[-1]) == 250
    assert not report.is_slow(moments[-1])


@pytest.mark.parametrize(
    ("age", "expected"), [(0.0, 250), (0.3, 175), (0.6, 100), (9, 100)]
)
def test_a_pace_fades_to_the_usual_one(age: float, expected: int) -> None:
    assert pace_after(250, age) == expected
