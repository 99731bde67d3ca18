"""Reports of the local back end count for a limited time, and with bounded effect."""

from __future__ import annotations

import pytest

from peppershore.request.back_ends.local_report import COUNT_SECONDS, LocalReport
from peppershore.request.back_ends.pace import (
    PACE_SAMPLES,
    PACE_SECONDS,
    pace_after,
    slow_seconds,
)
from peppershore.request.back_ends.reported_load import ReportedLoad


def test_unknown_work_counts_once_two_reports_in_a_row_include_it() -> None:
    report = LocalReport()
    report.heard(ReportedLoad(4, 2, 5), 1, 1.0)
    assert report.taken(5, 1.0) == 0
    report.heard(ReportedLoad(4, 0, 5), 1, 1.1)
    assert report.taken(5, 1.1) == 3


def test_reordered_answers_cause_no_unknown_work() -> None:
    report = LocalReport()
    report.heard(ReportedLoad(3, 0, 5), 3, 1.0)
    report.heard(ReportedLoad(4, 0, 5), 3, 1.0)
    report.heard(ReportedLoad(2, 0, 5), 2, 1.1)
    assert report.taken(5, 1.1) == 0


def test_one_slot_is_left_until_the_queue_is_long_too() -> None:
    """A back end that reports too much still gets calls; one with a full queue does not."""
    report = LocalReport()
    for reported, expected in (((5, 4, 5), 4), ((5, 5, 5), 5)):
        for _ in range(2):
            report.heard(ReportedLoad(*reported), 0, 1.0)
        assert report.taken(5, 1.0) == expected


def test_fewer_calls_than_the_node_knows_change_nothing() -> None:
    report = LocalReport()
    for _ in range(2):
        report.heard(ReportedLoad(0, 0, 5), 4, 1.0)
    assert report.taken(5, 1.0) == 0


def test_old_reports_no_longer_count() -> None:
    report = LocalReport()
    for _ in range(2):
        report.heard(ReportedLoad(5, 5, 5, 250), 0, 1.0)
    later = 1.0 + max(COUNT_SECONDS, PACE_SECONDS)
    assert report.taken(5, later) == 0
    assert not report.is_slow(later)
    assert report.pace_age_milliseconds(later) == round((later - 1.0) * 1_000)


def test_without_a_pace_the_machine_is_as_usual() -> None:
    report = LocalReport()
    report.heard(ReportedLoad(1, 0, 5), 1, 1.0)
    assert report.pace_percent == 100
    assert report.pace_age_milliseconds(1.0) == -1
    assert not report.is_slow(1.0)


def test_a_report_without_pace_leaves_the_previous_pace_and_its_age() -> None:
    report = LocalReport()
    report.heard(ReportedLoad(1, 0, 5, 250), 1, 1.0)
    report.heard(ReportedLoad(1, 0, 5), 1, 1.2)
    assert report.pace_age_milliseconds(1.2) == 200


def _report_usual_pace(report: LocalReport, percent: int = 100, now: float = 0.5) -> None:
    """Report the usual pace of a machine often enough to be learned."""
    for _ in range(PACE_SAMPLES):
        report.heard(ReportedLoad(1, 0, 5, percent), 1, now)


@pytest.mark.parametrize("usual", [50, 100, 150])
def test_a_machine_is_slow_while_its_pace_is_above_its_usual_one(usual: int) -> None:
    """What a machine usually reports is its fixed speed, which shows in its work times."""
    report = LocalReport()
    _report_usual_pace(report, usual)
    assert not report.is_slow(0.5)
    report.heard(ReportedLoad(1, 0, 5, usual * 5 // 2), 1, 1.0)
    assert report.pace_percent == 250
    assert report.is_slow(1.1)
    report.heard(ReportedLoad(1, 0, 5, usual), 1, 1.2)
    assert not report.is_slow(1.2)


def test_a_permanently_high_pace_becomes_the_usual_one() -> None:
    report = LocalReport()
    _report_usual_pace(report)
    slow = 0
    for _ in range(PACE_SAMPLES):
        report.heard(ReportedLoad(1, 0, 5, 250), 1, 1.0)
        slow += report.is_slow(1.0)
    assert PACE_SAMPLES // 2 <= slow <= PACE_SAMPLES // 2 + 1
    assert report.pace_percent == 100


def test_learned_work_excludes_the_current_pace() -> None:
    report = LocalReport()
    _report_usual_pace(report)
    for _ in range(3):
        report.heard(ReportedLoad(1, 0, 5, 250), 1, 1.0)
        report.ended("read", 0.25, 1.0)
    assert report.usual_work("read") == pytest.approx(0.1)
    assert report.usual_work("write") == 0.0


def test_without_a_pace_nothing_is_learned_of_work() -> None:
    report = LocalReport()
    report.heard(ReportedLoad(1, 0, 5), 1, 1.0)
    report.ended("read", 0.25, 1.0)
    assert report.usual_work("read") == 0.0


@pytest.mark.parametrize(
    ("age", "expected"), [(0.0, 250), (0.3, 175), (0.6, 100), (9, 100)]
)
def test_a_pace_fades_to_the_usual_one(age: float, expected: int) -> None:
    assert pace_after(250, age) == expected


def test_a_machine_is_slow_until_its_pace_has_faded() -> None:
    assert slow_seconds(149, 0.0) == 0.0
    remaining = slow_seconds(250, 0.0)
    assert 0.0 < remaining < PACE_SECONDS
    assert slow_seconds(250, remaining) == 0.0
    assert pace_after(250, remaining) == pytest.approx(150)
