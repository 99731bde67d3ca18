"""Compares what callers were told with what back ends ran.

The journals are the judge: a promise to callers holds in a run if no record of
a caller contradicts the records of the back ends.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from peppershore_lab.journal import (
    CallRecord,
    RunEnded,
    RunRecord,
    RunStarted,
    read_calls,
    read_runs,
)

ANSWERED = "answered"
NOT_RUN = "not-run"
OK_STATUS = 200
MAXIMUM_EXAMPLES = 20

RIGHT_ANSWER = "every answer is the whole answer to the caller's own request"
NOT_RUN_IS_TRUE = "a request refused as not-run never ran"
AT_MOST_ONCE = "a request that may not be repeated ran at most once"
PROMISES = (RIGHT_ANSWER, NOT_RUN_IS_TRUE, AT_MOST_ONCE)


class Violation(msgspec.Struct, frozen=True):
    """One record that contradicts a promise."""

    promise: str
    request_id: str
    detail: str


class AuditReport(msgspec.Struct, frozen=True):
    """Counts of the audited records, and what contradicts the promises.

    ``violations`` holds the first ones; ``violation_count`` counts all.
    ``judged`` counts, for each promise, the records that could have broken it.
    """

    calls: int
    outcomes: dict[str, int]
    runs: int
    judged: dict[str, int]
    violation_count: int
    violations: tuple[Violation, ...]

    @property
    def clean(self) -> bool:
        """Whether calls were made and no promise was broken."""
        return self.calls > 0 and self.violation_count == 0


class Runs(msgspec.Struct, frozen=True):
    """The back ends' records, by what they are looked up by."""

    started: dict[str, RunStarted]
    completed: frozenset[str]
    by_request: dict[str, list[RunStarted]]
    by_key: dict[str, list[RunStarted]]


def index_runs(records: Iterable[RunRecord]) -> Runs:
    """Index the records of all back ends."""
    started: dict[str, RunStarted] = {}
    completed: set[str] = set()
    by_request: dict[str, list[RunStarted]] = defaultdict(list)
    by_key: dict[str, list[RunStarted]] = defaultdict(list)
    for record in records:
        if isinstance(record, RunEnded):
            if record.result == "completed":
                completed.add(record.run)
            continue
        started[record.run] = record
        by_request[record.request_id].append(record)
        if record.idempotency_key:
            by_key[record.idempotency_key].append(record)
    return Runs(started, frozenset(completed), dict(by_request), dict(by_key))


def audit(calls: Sequence[CallRecord], runs: Runs) -> AuditReport:
    """Judge every call against the runs."""
    violations: list[Violation] = []
    for call in calls:
        violations += _judge_answer(call, runs)
        violations += _judge_refusal(call, runs)
    violations += _judge_repetition(calls, runs)
    outcomes = Counter(call.outcome for call in calls)
    return AuditReport(
        calls=len(calls),
        outcomes=dict(sorted(outcomes.items())),
        runs=len(runs.started),
        judged={
            RIGHT_ANSWER: sum(1 for call in calls if _has_answer(call)),
            NOT_RUN_IS_TRUE: outcomes[NOT_RUN],
            AT_MOST_ONCE: sum(1 for call in calls if not call.repeatable),
        },
        violation_count=len(violations),
        violations=tuple(violations[:MAXIMUM_EXAMPLES]),
    )


def audit_folder(folder: Path) -> AuditReport:
    """Audit the journals of a fleet: ``caller-*.jsonl`` and ``backend-*.jsonl``."""
    return audit(read_calls(folder), index_runs(read_runs(folder)))


def _has_answer(call: CallRecord) -> bool:
    return call.outcome == ANSWERED and call.status == OK_STATUS


def _judge_answer(call: CallRecord, runs: Runs) -> list[Violation]:
    if not _has_answer(call):
        return []
    if call.problem:
        return [Violation(RIGHT_ANSWER, call.request_id, call.problem)]
    run = runs.started.get(call.run)
    if run is None:
        return [Violation(RIGHT_ANSWER, call.request_id, f"no back end ran {call.run}")]
    own = (
        run.idempotency_key == call.idempotency_key
        if call.idempotency_key
        else run.request_id == call.request_id
    )
    if not own:
        return [Violation(RIGHT_ANSWER, call.request_id, f"{call.run} was another's run")]
    if call.run not in runs.completed:
        return [Violation(RIGHT_ANSWER, call.request_id, f"{call.run} did not complete")]
    return []


def _judge_refusal(call: CallRecord, runs: Runs) -> list[Violation]:
    if call.outcome != NOT_RUN:
        return []
    ran = runs.by_request.get(call.request_id, [])
    return [
        Violation(NOT_RUN_IS_TRUE, call.request_id, f"{run.backend} ran it as {run.run}")
        for run in ran
    ]


def _judge_repetition(calls: Sequence[CallRecord], runs: Runs) -> list[Violation]:
    violations: list[Violation] = []
    keys = {call.idempotency_key for call in calls if not call.repeatable}
    for key in sorted(keys - {""}):
        violations += _repeated(key, runs.by_key.get(key, []))
    for call in calls:
        if not call.repeatable and not call.idempotency_key:
            violations += _repeated(
                call.request_id, runs.by_request.get(call.request_id, [])
            )
    return violations


def _repeated(name: str, ran: list[RunStarted]) -> list[Violation]:
    if len(ran) <= 1:
        return []
    places = ", ".join(f"{run.backend}:{run.run}" for run in ran)
    return [Violation(AT_MOST_ONCE, name, f"ran {len(ran)} times: {places}")]
