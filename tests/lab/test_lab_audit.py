"""The audit finds each broken promise and passes what keeps it."""

from peppershore_lab.audit import (
    AT_MOST_ONCE,
    NOT_RUN_IS_TRUE,
    RIGHT_ANSWER,
    audit,
    index_runs,
)
from peppershore_lab.journal import (
    CallRecord,
    JournalReader,
    JournalWriter,
    RunEnded,
    RunRecord,
    RunStarted,
)


def call(request_id, outcome, *, key="", run="", problem="", repeatable=True):
    return CallRecord(
        request_id=request_id,
        idempotency_key=key,
        kind="kassa/payout",
        method="POST",
        path="/kassa/payout",
        repeatable=repeatable,
        node="127.0.0.1:1",
        attempt=1,
        intended_unix_seconds=1.0,
        sent_unix_seconds=1.0,
        ended_unix_seconds=2.0,
        status=200 if outcome == "answered" else 503,
        outcome=outcome,
        run=run,
        problem=problem,
    )


def run_of(run, request_id, key=""):
    started = RunStarted(run, request_id, key, "kassa", "b1", "POST", "/kassa/payout", 1.0)
    return [started, RunEnded(run, "completed", 2.0)]


def broken_promises(calls, records):
    report = audit(calls, index_runs(records))
    assert report.clean == (report.violation_count == 0)
    return {violation.promise for violation in report.violations}


def test_right_answers_and_true_refusals_are_clean():
    calls = [call("c1", "answered", run="r1"), call("c2", "not-run")]
    assert broken_promises(calls, run_of("r1", "c1")) == set()


def test_answer_of_another_request():
    assert broken_promises([call("c1", "answered", run="r2")], run_of("r2", "c2")) == {
        RIGHT_ANSWER
    }


def test_answer_that_the_caller_found_wrong():
    assert broken_promises(
        [call("c1", "answered", run="r1", problem="body")], run_of("r1", "c1")
    ) == {RIGHT_ANSWER}


def test_answer_without_a_run_or_without_its_end():
    assert broken_promises([call("c1", "answered", run="r1")], []) == {RIGHT_ANSWER}
    only_started = run_of("r1", "c1")[:1]
    assert broken_promises([call("c1", "answered", run="r1")], only_started) == {
        RIGHT_ANSWER
    }


def test_refused_request_that_ran():
    assert broken_promises([call("c1", "not-run")], run_of("r1", "c1")) == {NOT_RUN_IS_TRUE}


def test_keyed_request_that_ran_twice():
    records = run_of("r1", "c1", "k1") + run_of("r2", "c2", "k1")
    calls = [
        call("c1", "unknown", key="k1", repeatable=False),
        call("c2", "answered", key="k1", run="r2", repeatable=False),
    ]
    assert broken_promises(calls, records) == {AT_MOST_ONCE}


def test_replayed_answer_of_the_same_key_is_right():
    calls = [
        call("c1", "unknown", key="k1", repeatable=False),
        call("c2", "answered", key="k1", run="r1", repeatable=False),
    ]
    assert broken_promises(calls, run_of("r1", "c1", "k1")) == set()


def test_unrepeatable_request_without_a_key_that_ran_twice():
    records = run_of("r1", "c1") + run_of("r2", "c1")
    assert broken_promises([call("c1", "unknown", repeatable=False)], records) == {
        AT_MOST_ONCE
    }


def test_no_calls_are_no_proof():
    assert not audit([], index_runs([])).clean


def test_journal_drops_only_a_last_line_cut_short(tmp_path):
    path = tmp_path / "backend.jsonl"
    writer = JournalWriter(path)
    records = run_of("r1", "c1")
    for record in records:
        writer.append(record)
    writer.sync()
    writer.close()
    with path.open("ab") as file:
        file.write(b'{"type":"started","run":"r2"')
    assert JournalReader(RunRecord).read(path) == records
    assert JournalReader(RunRecord).read(tmp_path / "absent") == []
