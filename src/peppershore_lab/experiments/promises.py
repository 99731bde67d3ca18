"""Judges a run by each promise of the users' brief, and by the run's own limits."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

from peppershore_lab.audit import (
    AT_MOST_ONCE,
    NOT_RUN_IS_TRUE,
    RIGHT_ANSWER,
    audit,
    index_runs,
)
from peppershore_lab.convergence import steps_back
from peppershore_lab.experiments.edits import ACCEPTED, CONFLICT, UNANSWERED, EditRecord
from peppershore_lab.experiments.evidence import Evidence
from peppershore_lab.experiments.marks import FaultMark
from peppershore_lab.experiments.measures import Arrival
from peppershore_lab.experiments.verdict import Verdict, judge
from peppershore_lab.journal import RunEnded, RunStarted
from peppershore_lab.reference import scope_of

NO_STEP_BACK = "no proxy goes back to an older version"
CLOSED = "no route points at what its proxy doesn't hold"
WHOLE = "a proxy holds all of a version or none of it"
LEAVING = "a leaving back end gets no new work after 2 s"
PLANNED_STOP = "a planned stop cuts no request in flight"
IN_FORCE = "an accepted edit is in force on every proxy within the bound"
NEVER_LOST = "an accepted edit is never lost"
FIRST_OUTCOME = "an edit sent again gets its first outcome"
ONE_WINS = "of racing edits exactly one is accepted"
LEAVING_SECONDS = 2.0
MILLISECONDS = 1_000
NODE_PREFIX = "node-"
BACKEND_PREFIX = "backend-"


def judge_promises(evidence: Evidence, arrivals: Sequence[Arrival]) -> list[Verdict]:
    """Give the verdict on every promise."""
    report = audit(evidence.calls, index_runs(evidence.runs))
    return [
        judge(NO_STEP_BACK, len(evidence.held), steps_back(evidence.held)),
        judge(CLOSED, len(evidence.held), evidence.reference.gaps),
        judge(WHOLE, *_whole(evidence)),
        *(
            judge(
                promise,
                report.judged[promise],
                (
                    f"{each.request_id}: {each.detail}"
                    for each in report.violations
                    if each.promise == promise
                ),
            )
            for promise in (RIGHT_ANSWER, NOT_RUN_IS_TRUE, AT_MOST_ONCE)
        ),
        judge(LEAVING, *_leaving(evidence)),
        judge(PLANNED_STOP, *_planned_stops(evidence)),
        judge(IN_FORCE, *_in_force(evidence, arrivals)),
        judge(NEVER_LOST, *_never_lost(evidence)),
        judge(FIRST_OUTCOME, *_first_outcomes(evidence.edits)),
        judge(ONE_WINS, *_races(evidence.edits)),
    ]


def _whole(evidence: Evidence) -> tuple[int, list[str]]:
    scopes = {proxy.name: scope_of(proxy) for proxy in evidence.layout.proxies}
    told = [moment for moment in evidence.held if moment.digest is not None]
    problems = [
        f"{moment.proxy} held another content at {moment.version}"
        for moment in told
        if moment.digest
        != evidence.reference.digest_at(scopes[moment.proxy], moment.version)
    ]
    return len(told), problems


# --- planned stops -------------------------------------------------------------


def _stops(evidence: Evidence) -> Iterator[tuple[FaultMark, str]]:
    for mark in evidence.marks:
        if mark.action == "stop":
            for target in mark.targets:
                yield mark, target


def _backend_beside(node: str) -> str:
    return node.replace(NODE_PREFIX, BACKEND_PREFIX, 1)


def _leaving(evidence: Evidence) -> tuple[int, list[str]]:
    """Count every stop of a node beside a back end, and runs begun too late."""
    started = [run for run in evidence.runs if isinstance(run, RunStarted)]
    problems: list[str] = []
    stops = [each for each in _stops(evidence) if each[1].startswith(NODE_PREFIX)]
    for mark, node in stops:
        backend = _backend_beside(node)
        until = evidence.run.ended if mark.exited is None else mark.exited
        problems += [
            f"{backend} began {run.run} {run.unix_seconds - mark.began:.1f} s after"
            for run in started
            if run.backend == backend
            and mark.began + LEAVING_SECONDS < run.unix_seconds < until
        ]
    return len(stops), problems


def _planned_stops(evidence: Evidence) -> tuple[int, list[str]]:
    """Requests in flight at a planned stop, and those that it cut."""
    ends = {run.run: run for run in evidence.runs if isinstance(run, RunEnded)}
    addresses = {member.name: member.http_address for member in evidence.layout.proxies}
    judged = 0
    problems: list[str] = []
    for mark, target in _stops(evidence):
        exited = mark.began if mark.exited is None else mark.exited
        running = _runs_during(evidence, _backend_beside(target), mark.began, exited)
        judged += len(running)
        problems += [
            f"{run.run} was cut by the stop of {target}"
            for run in running
            if run.run not in ends or ends[run.run].result == "cancelled"
        ]
        calls = [
            call
            for call in evidence.calls
            if call.node == addresses.get(target)
            and call.sent_unix_seconds < mark.began < call.ended_unix_seconds
        ]
        judged += len(calls)
        problems += [
            f"{call.request_id} through {target}: {call.problem}"
            for call in calls
            if call.outcome == "broken"
        ]
    return judged, problems


def _runs_during(
    evidence: Evidence, backend: str, began: float, ended: float
) -> list[RunStarted]:
    """Give the runs of a back end that overlap a stretch of time."""
    ends = {run.run: run.unix_seconds for run in evidence.runs if isinstance(run, RunEnded)}
    return [
        run
        for run in evidence.runs
        if isinstance(run, RunStarted)
        and run.backend == backend
        and run.unix_seconds < ended
        and ends.get(run.run, ended) > began
    ]


# --- edits ---------------------------------------------------------------------


def _in_force(evidence: Evidence, arrivals: Sequence[Arrival]) -> tuple[int, list[str]]:
    bound = evidence.experiment.limits.convergence_milliseconds
    problems = [
        f"version {each.version} on {each.proxy} after {each.judged / MILLISECONDS:.1f} s"
        for each in arrivals
        if each.judged > bound
    ]
    problems += [
        f"{each.proxy} never held version {each.version}"
        for each in arrivals
        if not each.held and each.judged <= bound
    ]
    return len(arrivals), problems


def _never_lost(evidence: Evidence) -> tuple[int, list[str]]:
    told = [record for record in evidence.edits if record.outcome == ACCEPTED]
    problems = [
        f"{record.change_id} was answered {record.version}, the log has {found}"
        for record in told
        if (found := evidence.reference.version_of(record.change_id)) != record.version
    ]
    return len(told), problems


def _first_outcomes(edits: Sequence[EditRecord]) -> tuple[int, list[str]]:
    by_change: dict[str, list[EditRecord]] = defaultdict(list)
    for record in edits:
        if record.outcome != UNANSWERED:
            by_change[record.change_id].append(record)
    resent = {name: each for name, each in by_change.items() if len(each) > 1}
    problems = [
        f"{name}: " + ", ".join(f"{each.outcome} {each.version}" for each in records)
        for name, records in resent.items()
        if len({(each.outcome, each.version) for each in records}) > 1
    ]
    return len(resent), problems


def _races(edits: Sequence[EditRecord]) -> tuple[int, list[str]]:
    """Judge the races in which both operators got an answer."""
    races: dict[str, list[str]] = defaultdict(list)
    for record in edits:
        if record.race and not record.resend:
            races[record.race].append(record.outcome)
    answered = {name: each for name, each in races.items() if UNANSWERED not in each}
    expected = Counter({ACCEPTED: 1, CONFLICT: 1})
    problems = [
        f"{name}: {', '.join(sorted(outcomes))}"
        for name, outcomes in answered.items()
        if Counter(outcomes) != expected
    ]
    return len(answered), problems
