"""Calls run at most once on real processes, checked against the back ends' journals."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from peppershore_lab.audit import AT_MOST_ONCE, NOT_RUN_IS_TRUE
from peppershore_lab.claims_trial.trial import CALLER, TrialPlan, judge, run_trial
from peppershore_lab.journal import CallRecord, JournalWriter, RunEnded, RunStarted

FAULTS = ("claims-leader-killed", "owner-killed", "edge-killed", "backend-killed")
PLAN = TrialPlan(seed=3, seconds=9.0, payouts_per_second=40.0, upstreams=2, faults=FAULTS)


@pytest.mark.xdist_group("claims-trial")
def test_no_payout_runs_twice_while_processes_die():
    result = asyncio.run(run_trial(PLAN, lambda line: None))
    assert result.audit.violations == ()
    assert result.clean
    assert len(result.faults) >= 2, "too few faults in the time"
    assert result.keys_answered > result.keys // 2
    assert result.kept_answers_given > 0, "no resend was given a first answer again"


def send(key: str, request: str, outcome: str, run: str = "") -> CallRecord:
    return CallRecord(
        request_id=request,
        idempotency_key=key,
        kind="kassa/payout",
        method="POST",
        path="/kassa/payout",
        repeatable=False,
        node="n",
        attempt=1,
        intended_unix_seconds=1.0,
        sent_unix_seconds=1.0,
        ended_unix_seconds=1.5,
        status=200 if outcome == "answered" else 503,
        outcome=outcome,
        service="kassa",
        backend="b1",
        run=run,
    )


def ran(run: str, key: str, request: str) -> list[msgspec.Struct]:
    started = RunStarted(run, request, key, "kassa", "b1", "POST", "/kassa/payout", 1.0)
    return [started, RunEnded(run, "completed", 1.1)]


def judged(folder: Path, sends: list[CallRecord], runs: list[msgspec.Struct]):
    for name, records in ((CALLER, sends), ("backend-kassa-1", runs)):
        writer = JournalWriter(folder / f"{name}.jsonl")
        for record in records:
            writer.append(record)
        writer.close()
    return judge(PLAN, folder, ())


def test_the_judge_takes_a_kept_answer_and_counts_it(tmp_path: Path):
    sends = [send("k1", "s1", "broken"), send("k1", "s2", "answered", "r1")]
    result = judged(tmp_path, sends, ran("r1", "k1", "s1"))
    assert result.clean
    assert (result.keys, result.sends, result.kept_answers_given) == (1, 2, 1)


def test_the_judge_finds_a_payout_that_ran_twice(tmp_path: Path):
    sends = [send("k1", "s1", "broken"), send("k1", "s2", "answered", "r2")]
    result = judged(tmp_path, sends, ran("r1", "k1", "s1") + ran("r2", "k1", "s2"))
    assert not result.clean
    assert result.keys_run_twice == 1
    assert [each.promise for each in result.audit.violations] == [AT_MOST_ONCE]


def test_the_judge_finds_a_false_not_run(tmp_path: Path):
    result = judged(tmp_path, [send("k1", "s1", "not-run")], ran("r1", "k1", "s1"))
    assert not result.clean
    assert [each.promise for each in result.audit.violations] == [NOT_RUN_IS_TRUE]
    assert result.ran_but_unanswered == 1


def test_the_judge_counts_what_is_unknown_and_never_ran(tmp_path: Path):
    result = judged(tmp_path, [send("k1", "s1", "unknown")], [])
    assert result.clean
    assert result.unknown_but_never_ran == 1


def test_the_judge_tells_refusals_of_a_key_that_had_run(tmp_path: Path):
    sends = [send("k1", "s1", "broken"), send("k1", "s2", "not-run")]
    sends[1] = msgspec.structs.replace(sends[1], sent_unix_seconds=2.0)
    result = judged(tmp_path, sends, ran("r1", "k1", "s1"))
    assert result.clean, "the second send itself did not run"
    assert result.refused_after_run == 1


def test_the_judge_counts_sends_after_an_answer(tmp_path: Path):
    later = [send("k1", "s2", "answered", "r1"), send("k1", "s3", "unknown")]
    later = [msgspec.structs.replace(each, sent_unix_seconds=3.0) for each in later]
    sends = [send("k1", "s1", "answered", "r1"), *later]
    result = judged(tmp_path, sends, ran("r1", "k1", "s1"))
    assert (result.later_sends, result.later_answered) == (2, 1)
