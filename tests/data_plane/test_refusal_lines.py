"""Calls without a valid key: a few log lines per second, and a count of the others."""

from __future__ import annotations

from peppershore.process.node.data.refusal_lines import (
    BURST,
    KEY_REASONS,
    LINES_PER_SECOND,
    RefusalLines,
)

FLOOD_PER_SECOND = 500
SECONDS = 4


def test_a_flood_has_few_log_lines_and_each_call_is_counted() -> None:
    lines = RefusalLines()
    calls = [number / FLOOD_PER_SECOND for number in range(FLOOD_PER_SECOND * SECONDS)]
    taken = [lines.take("unknown-key", now) for now in calls]
    written = [each for each in taken if each is not None]
    assert len(written) <= BURST + LINES_PER_SECOND * SECONDS
    last = lines.take("unknown-key", SECONDS + 1.0)
    assert last is not None
    assert sum(written) + len(written) + last == len(calls)


def test_calls_far_apart_are_each_logged() -> None:
    lines = RefusalLines()
    moments = [number / LINES_PER_SECOND for number in range(100)]
    assert {lines.take("no-key", now) for now in moments} == {0}


def test_each_reason_has_a_budget_of_its_own() -> None:
    lines = RefusalLines()
    for reason in KEY_REASONS:
        assert lines.take(reason, 1.0) == 0
        while lines.take(reason, 1.0) is not None:
            pass


def test_other_reasons_are_not_limited() -> None:
    lines = RefusalLines()
    assert {lines.take("no-route", 1.0) for _ in range(1_000)} == {0}
