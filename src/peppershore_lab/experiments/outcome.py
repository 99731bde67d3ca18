"""Turns what a run left behind into its result."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Sequence

import msgspec

from peppershore_lab.audit import audit, index_runs
from peppershore_lab.experiments.distribution_baselines import BaselineMeasure
from peppershore_lab.experiments.evidence import Evidence
from peppershore_lab.experiments.limits import judge_limits
from peppershore_lab.experiments.marks import FaultMark, Span
from peppershore_lab.experiments.measures import (
    arrivals_of,
    measure_calls,
    measure_convergence,
    versions_over_time,
)
from peppershore_lab.experiments.promises import judge_promises
from peppershore_lab.experiments.result import (
    BytesPoint,
    ControlBytes,
    EditCounts,
    ExperimentResult,
    MarkShown,
)
from peppershore_lab.experiments.sampling import BytesSample
from peppershore_lab.experiments.verdict import Verdict, judge
from peppershore_lab.journal import CallRecord, RunRecord


class RunFacts(msgspec.Struct, frozen=True, kw_only=True):
    """The evidence of a run and what was measured beside it."""

    evidence: Evidence
    processes: int
    bring_up_seconds: float
    samples: tuple[BytesSample, ...]
    baselines: tuple[BaselineMeasure, ...]
    plain_calls: tuple[CallRecord, ...]
    plain_runs: tuple[RunRecord, ...]


def conclude(facts: RunFacts) -> ExperimentResult:
    """Measure and judge a run."""
    evidence = facts.evidence
    experiment = evidence.experiment
    run = evidence.run
    arrivals = arrivals_of(evidence)
    calls = measure_calls(evidence.calls, run)
    sent = control_bytes(facts.samples, run, len({each.version for each in arrivals}))
    verdicts = judge_promises(evidence, arrivals) + judge_limits(
        experiment.limits, calls, sent.total, facts.baselines, experiment.duration_seconds
    )
    return ExperimentResult(
        experiment=experiment,
        clean=not any(verdict.state == "broken" for verdict in verdicts),
        machine=f"{os.cpu_count()} cores, loopback, shared",
        processes=facts.processes,
        bring_up_seconds=round(facts.bring_up_seconds, 2),
        seconds=round(run.ended - run.began, 2),
        verdicts=tuple(verdicts),
        convergence=measure_convergence(arrivals),
        control_bytes=sent,
        edits=edit_counts(evidence),
        calls=calls,
        marks=tuple(_shown(mark, run) for mark in evidence.marks),
        versions=versions_over_time(evidence),
        baselines=facts.baselines,
        plain_calls=measure_calls(facts.plain_calls, run) if facts.plain_calls else None,
        plain_verdicts=_plain_verdicts(facts),
    )


def control_bytes(samples: Sequence[BytesSample], run: Span, edits: int) -> ControlBytes:
    """Give the control bytes in seconds of the run."""
    total = samples[-1].control_bytes if samples else 0
    return ControlBytes(
        total=total,
        per_edit=round(total / edits, 1) if edits else 0.0,
        over_time=tuple(
            BytesPoint(round(each.unix_seconds - run.began, 2), each.control_bytes)
            for each in samples
        ),
    )


def edit_counts(evidence: Evidence) -> EditCounts:
    """Count the operators' outcomes."""
    outcomes = Counter(record.outcome for record in evidence.edits)
    return EditCounts(sent=len(evidence.edits), outcomes=dict(sorted(outcomes.items())))


def _shown(mark: FaultMark, run: Span) -> MarkShown:
    return MarkShown(
        action=mark.action,
        targets=mark.targets,
        began=round(mark.began - run.began, 2),
        ended=None if mark.ended is None else round(mark.ended - run.began, 2),
        detail=mark.detail,
    )


def _plain_verdicts(facts: RunFacts) -> tuple[Verdict, ...]:
    """Judge the baseline's calls by the same journals' rules, for comparison."""
    if not facts.plain_calls:
        return ()
    report = audit(facts.plain_calls, index_runs(facts.plain_runs))
    return tuple(
        judge(
            promise,
            judged,
            (each.detail for each in report.violations if each.promise == promise),
        )
        for promise, judged in report.judged.items()
    )
