"""Calls without a valid key: a few log lines per second, and a count of the others."""

from __future__ import annotations

from peppershore.process.node.data.refusal_lines import (
    BURST,
    KEY_REASONS,
    LINES_PER_SECOND,
    RefusalLines,
)

FLOOD_A_SECOND = 500
SECONDS = 4


def test_a_flood_has_few_lines_and_none_is_lost_count_of() -> None:
    lines = RefusalLines()
    calls = [number / FLOOD_A_SECOND for number in range(FLOOD_A_SECOND * SECONDS)]
    taken = [lines.take("unknown-key", now) for now in calls]
    written = [each for each in taken if each is not None]
    assert len(written) <= BURST + LINES_PER_SECOND * SECONDS
    last = lines.take("unknown-key", SECONDS + 1.0)
    assert last is not None
    assert sum(written) + len(written) + last == len(calls)


def test_calls_far_apart_have_a_line_each() -> None:
    lines = RefusalLines()
    moments = [number / LINES_PER_SECOND for number in range(100)]
    assert {lines.take("no-key", now) for now in moments} == {0}


def test_one_reason_takes_no_lines_of_another() -> None:
    lines = RefusalLines()
    for reason in KEY_REASONS:
        assert lines.take(reason, 1.0) == 0
        while lines.take(reason, 1.0) is not None:
            pass


def test_other_reasons_are_not_bounded() -> None:
    lines = RefusalLines()
    assert {lines.take("no-route", 1.0) for _ in range(1_000)} == {0}
