"""Runs the trial and judges it by the journals of callers and back ends."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import msgspec

from peppershore_lab.audit import (
    AuditReport,
    Runs,
    audit,
    index_runs,
)
from peppershore_lab.calls.caller import OUTCOME_ANSWERED
from peppershore_lab.claims_trial.faults import FaultMark, FaultSchedule
from peppershore_lab.claims_trial.payouts import PayoutCaller, was_refused
from peppershore_lab.fleet.bring_up import bring_up
from peppershore_lab.fleet.deployment import (
    Deployment,
    RouteSpec,
    ServiceSpec,
    ZoneSpec,
)
from peppershore_lab.fleet.fleet import Fleet
from peppershore_lab.journal import CallRecord, JournalReader, RunRecord
from peppershore_lab.operator_client import Operator
from peppershore_lab.standin.behaviour import Behaviour

CALLER = "caller-payouts"
LATE_RUNS_SECONDS = 0.5
"""Time for back ends to end what they still run before the journals are read."""

Progress = Callable[[str], None]


class TrialPlan(msgspec.Struct, frozen=True):
    """How long, how fast, and from which seed.

    ``faults`` names the kinds of faults, empty for all.
    """

    seed: int = 1
    seconds: float = 30.0
    payouts_per_second: float = 60.0
    upstreams: int = 3
    edges_per_zone: int = 1
    faults: tuple[str, ...] = ()
    claims_replicas: int = 3


class TrialResult(msgspec.Struct, frozen=True):
    """What the trial found; ``clean`` is its verdict.

    ``ran_but_unanswered`` keys ran once and no caller ever heard the answer;
    ``unknown_but_never_ran`` keys were told "unknown" to the last though no back
    end ran them: honest, yet a payout that a person must look into.
    ``later_sends`` came after an answer of their key, ``later_answered`` heard it
    again.  ``refused_after_run`` sends were refused as not run, for want of a claim,
    after an earlier send of their key had run: the refusal speaks of its own send.
    """

    clean: bool
    plan: TrialPlan
    keys: int
    sends: int
    keys_answered: int
    kept_answers_given: int
    ran_but_unanswered: int
    unknown_but_never_ran: int
    later_sends: int
    later_answered: int
    refused_after_run: int
    keys_run_twice: int
    longest_refusal_seconds: float
    faults: dict[str, int]
    marks: tuple[FaultMark, ...]
    audit: AuditReport


class TrialSeries(msgspec.Struct, frozen=True):
    """Trials of several seeds; ``clean`` only if each of them is."""

    command: str
    clean: bool
    keys: int
    sends: int
    runs: int
    not_run: int
    unknown: int
    kept_answers_given: int
    ran_but_unanswered: int
    unknown_but_never_ran: int
    later_sends: int
    later_answered: int
    refused_after_run: int
    violations: int
    faults: int
    trials: tuple[TrialResult, ...]


def series_of(command: str, trials: tuple[TrialResult, ...]) -> TrialSeries:
    """Add up the trials."""
    return TrialSeries(
        command=command,
        clean=all(trial.clean for trial in trials),
        keys=sum(trial.keys for trial in trials),
        sends=sum(trial.sends for trial in trials),
        runs=sum(trial.audit.runs for trial in trials),
        not_run=sum(trial.audit.outcomes.get("not-run", 0) for trial in trials),
        unknown=sum(trial.audit.outcomes.get("unknown", 0) for trial in trials),
        kept_answers_given=sum(trial.kept_answers_given for trial in trials),
        ran_but_unanswered=sum(trial.ran_but_unanswered for trial in trials),
        unknown_but_never_ran=sum(trial.unknown_but_never_ran for trial in trials),
        later_sends=sum(trial.later_sends for trial in trials),
        later_answered=sum(trial.later_answered for trial in trials),
        refused_after_run=sum(trial.refused_after_run for trial in trials),
        violations=sum(trial.audit.violation_count for trial in trials),
        faults=sum(len(trial.marks) for trial in trials),
        trials=trials,
    )


def deployment_of(plan: TrialPlan) -> Deployment:
    """Give the fleet: one service of payouts, three claims replicas, two zones."""
    behaviour = Behaviour(slots=20, connections=130, work_milliseconds=15.0)
    payout = RouteSpec(
        name="payout",
        path="/kassa/payout",
        method="POST",
        call_class="critical",
        repeatable=False,
        keyed=True,
        hop="owner",
    )
    service = ServiceSpec(
        name="kassa", upstreams=plan.upstreams, behaviour=behaviour, routes=(payout,)
    )
    return Deployment(
        name="claims-trial",
        cluster="claims-trial",
        zones=(
            ZoneSpec(name="pasila", region="uusimaa"),
            ZoneSpec(name="keilaniemi", region="uusimaa"),
        ),
        services=(service,),
        replicas=1,
        edges_per_zone=plan.edges_per_zone,
        claims_replicas=plan.claims_replicas,
        emulated_links="none",
    )


async def run_trial(
    plan: TrialPlan, progress: Progress, keep_folder: Path | None = None
) -> TrialResult:
    """Bring the fleet up, send payouts under faults, stop all, judge the journals."""
    async with Fleet(deployment_of(plan), keep_folder, plan.seed) as fleet:
        up = await bring_up(fleet, Operator(fleet.replica_addresses))
        progress(f"fleet of {len(fleet.processes)} processes up in {up.seconds:.1f} s")
        nodes = tuple(edge.http_address for edge in fleet.layout.edges)
        caller = PayoutCaller(nodes, fleet.journal_path(CALLER), plan.seed)
        schedule = FaultSchedule(fleet, plan.seed, plan.faults)
        await asyncio.gather(
            caller.run(plan.payouts_per_second, plan.seconds),
            schedule.run(plan.seconds),
        )
        progress(f"{len(schedule.marks)} faults; auditing the journals")
        await asyncio.sleep(LATE_RUNS_SECONDS)
        return judge(plan, fleet.folder / "journals", tuple(schedule.marks))


def judge(plan: TrialPlan, folder: Path, marks: tuple[FaultMark, ...]) -> TrialResult:
    """Compare what the callers were told with what the back ends ran."""
    calls = _calls(folder)
    runs = index_runs(_runs(folder))
    report = audit(calls, runs)
    by_key: dict[str, list[CallRecord]] = defaultdict(list)
    for call in calls:
        by_key[call.idempotency_key].append(call)
    later = [call for sends in by_key.values() for call in _later_sends(sends)]
    refusals = [_seconds(call) for call in calls if was_refused(call)]
    faults: dict[str, int] = defaultdict(int)
    for mark in marks:
        faults[mark.fault] += 1
    return TrialResult(
        clean=report.clean,
        plan=plan,
        keys=len(by_key),
        sends=len(calls),
        keys_answered=sum(1 for sends in by_key.values() if _answered(sends)),
        kept_answers_given=sum(1 for call in calls if _was_kept(call, runs)),
        ran_but_unanswered=sum(
            1
            for key, sends in by_key.items()
            if key in runs.by_key and not _answered(sends)
        ),
        unknown_but_never_ran=sum(
            1
            for key, sends in by_key.items()
            if key not in runs.by_key and sends[-1].outcome == "unknown"
        ),
        later_sends=len(later),
        later_answered=sum(1 for call in later if call.outcome == OUTCOME_ANSWERED),
        refused_after_run=sum(1 for call in calls if _refused_after_run(call, runs)),
        keys_run_twice=sum(1 for each in runs.by_key.values() if len(each) > 1),
        longest_refusal_seconds=round(max(refusals, default=0.0), 3),
        faults=dict(sorted(faults.items())),
        marks=marks,
        audit=report,
    )


def _calls(folder: Path) -> list[CallRecord]:
    return JournalReader(CallRecord).read(folder / f"{CALLER}.jsonl")


def _runs(folder: Path) -> list[RunRecord]:
    reader: JournalReader[RunRecord] = JournalReader(RunRecord)  # type: ignore[arg-type]
    paths = sorted(folder.glob("backend-*"))
    return [record for path in paths for record in reader.read(path)]


def _later_sends(sends: list[CallRecord]) -> list[CallRecord]:
    """Give the sends of one key that began after a send of it was answered."""
    answered = [
        send.ended_unix_seconds for send in sends if send.outcome == OUTCOME_ANSWERED
    ]
    first = min(answered, default=float("inf"))
    return [send for send in sends if send.sent_unix_seconds > first]


def _refused_after_run(call: CallRecord, runs: Runs) -> bool:
    earlier = runs.by_key.get(call.idempotency_key, [])
    began = any(run.unix_seconds < call.sent_unix_seconds for run in earlier)
    return was_refused(call) and began


def _answered(sends: list[CallRecord]) -> bool:
    return any(send.outcome == OUTCOME_ANSWERED for send in sends)


def _was_kept(call: CallRecord, runs: Runs) -> bool:
    """Whether the answer is that of a run which an earlier send began."""
    run = runs.started.get(call.run)
    return run is not None and run.request_id != call.request_id


def _seconds(call: CallRecord) -> float:
    return call.ended_unix_seconds - call.sent_unix_seconds
