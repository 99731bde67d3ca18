"""Judges a soak by its record alone: what callers, back ends and operators saw.

Every check holds at any time and under any fault, or names the faults that excuse it.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from peppershore_lab.soak.answer_checks import ANSWER_CHECKS
from peppershore_lab.soak.need_checks import NEED_CHECKS
from peppershore_lab.soak.observations import (
    REFUSALS,
    STATUS_NOT_FOUND,
    STATUS_OK,
    ChangeAnswered,
    LifeSeen,
    Record,
    RequestEnded,
    Violation,
)
from peppershore_lab.soak.repeat_checks import REPEAT_CHECKS
from peppershore_lab.soak.tenant_checks import TENANT_CHECKS

LEAVING_SECONDS = 3.0
"""A leaving back end still gets calls for 1 s; the rest covers calls in transit."""

CALM_SECONDS = 3.0
"""Time after an unplanned fault in which a cut request isn't due to a planned stop."""

CROSSING_SECONDS = 0.5
"""A close that crosses a request is seen within this time."""

SPREAD_SECONDS = 3.0
"""Time after the third crash under a request within which every node knows of it."""

USED_SECONDS = 3.0
"""Time within which a new incarnation gets calls; it sends a heartbeat each 0.3 s."""

MOST_ENDS_AFTER = 3
QUARANTINED = "quarantined"

CHANGE_REFUSALS = frozenset({400, 409, 412, 413, 422})


Check = Callable[[Record], Iterator[Violation]]


def find_violations(record: Record) -> tuple[Violation, ...]:
    """Return all violations in order of time."""
    found = [violation for check in CHECKS for violation in check(record)]
    return tuple(sorted(found, key=lambda violation: violation.at))


def answers_are_whole(record: Record) -> Iterator[Violation]:
    """A success is the whole answer to the caller's own request."""
    for request in record.requests:
        if request.status == STATUS_OK and not request.whole:
            yield Violation("whole-answers", request.request, request.ended_at)


def lives_are_used(record: Record) -> Iterator[Violation]:
    """A new incarnation of a back end gets calls soon, whatever its name is."""
    for life in record.lives:
        end = life.began_at + USED_SECONDS
        if life.ended_at < end or _was_disturbed(record, life, end):
            continue
        if not any(
            run.node == life.node and life.began_at <= run.at <= end for run in record.runs
        ):
            yield Violation("lives-are-used", life.node, end)


def unreadable_words_are_refused(record: Record) -> Iterator[Violation]:
    """A malformed heartbeat is never acknowledged."""
    for word in record.words:
        if word.status == STATUS_OK:
            yield Violation("unreadable-words", word.node, word.at)


def runs_at_most_once(record: Record) -> Iterator[Violation]:
    """A request that may run once is run by one back end at most."""
    once = {request.request for request in record.requests if request.once}
    counts = Counter(run.request for run in record.runs if run.request in once)
    last = {run.request: run.at for run in record.runs}
    for request, count in counts.items():
        if count > 1:
            yield Violation("at-most-once", f"{request} ran {count} times", last[request])


def not_run_is_true(record: Record) -> Iterator[Violation]:
    """A refused request has not run and never will."""
    refused = {
        request.request: request
        for request in record.requests
        if request.status in REFUSALS
    }
    for run in record.runs:
        request = refused.get(run.request)
        if request is not None:
            detail = f"{run.request} got {request.status} and ran beside {run.node}"
            yield Violation("not-run-is-true", detail, run.at)


def planned_stops_cut_nothing(record: Record) -> Iterator[Violation]:
    """A node that is asked to stop answers what it has read.

    A request that crosses the close of its connection is cut at once, and never runs. An
    answer without a length that more bytes follow can't be passed on whole by any node.
    """
    ran = {run.request for run in record.runs}
    followed = {
        second.after for second in record.second_answers if second.place == "before-close"
    }
    for request in record.requests:
        if request.status != 0 or not request.sent or request.request in followed:
            continue
        waited = request.ended_at - request.sent_at
        if request.request not in ran and waited <= CROSSING_SECONDS:
            continue
        if _stops_in_a_planned_way(record, request) and not _is_excused(record, request):
            detail = f"{request.request} was cut at {request.node}"
            yield Violation("planned-stop", detail, request.ended_at)


def leaving_back_ends_get_nothing(record: Record) -> Iterator[Violation]:
    """A back end whose leaving was acknowledged gets no new calls."""
    for leaving in record.leavings:
        for run in record.runs:
            is_late = leaving.at + LEAVING_SECONDS < run.at < leaving.until
            if run.node == leaving.node and is_late:
                detail = f"{run.request} ran beside {run.node}"
                yield Violation("leaving-back-end", detail, run.at)


def one_of_two_wins(record: Record) -> Iterator[Violation]:
    """One change on a base is acknowledged; an invalid one never is."""
    winners: defaultdict[int, set[str]] = defaultdict(set)
    for change in _acknowledged(record):
        if not change.valid:
            yield Violation("invalid-taken", f"version {change.version}", change.at)
        winners[change.base].add(change.digest)
        if len(winners[change.base]) > 1:
            yield Violation("one-winner", f"two on base {change.base}", change.at)


def acknowledged_is_not_refused(record: Record) -> Iterator[Violation]:
    """An acknowledged change is never refused when it is sent again."""
    taken: dict[str, float] = {}
    for change in record.changes:
        if change.status == STATUS_OK:
            taken.setdefault(change.digest, change.at)
        elif change.status in CHANGE_REFUSALS and change.digest in taken:
            detail = f"version {change.version} got {change.status}"
            yield Violation("acknowledged-refused", detail, change.at)


def reads_are_never_older(record: Record) -> Iterator[Violation]:
    """A read gives what was acknowledged before it was asked for, or something newer.

    What it gives is what was sent under that number.
    """
    sent = {(change.version, change.digest) for change in record.changes}
    acknowledged = sorted((each.at, each.version) for each in _acknowledged(record))
    for read in record.reads:
        newest = max(
            (version for at, version in acknowledged if at < read.asked_at), default=0
        )
        if read.version < newest:
            detail = f"version {read.version}, {newest} was acknowledged"
            yield Violation("older-read", detail, read.asked_at)
        elif (read.version, read.digest) not in sent:
            detail = f"version {read.version} is not what was sent"
            yield Violation("other-read", detail, read.asked_at)


def nodes_never_go_back(record: Record) -> Iterator[Violation]:
    """Within one life a node that used a version serves no route of an older one."""
    seen: dict[tuple[str, int], tuple[float, int]] = {}
    for probe in sorted(record.probes, key=lambda probe: probe.ended_at):
        if probe.status != STATUS_OK:
            continue
        life = (probe.node, probe.life)
        at, newest = seen.get(life, (probe.ended_at, 0))
        if probe.version < newest and probe.sent_at > at:
            detail = f"{probe.node} served {probe.version} after {newest}"
            yield Violation("node-went-back", detail, probe.ended_at)
        if probe.version > newest:
            seen[life] = (probe.ended_at, probe.version)


def newest_is_in_force_at_the_end(record: Record) -> Iterator[Violation]:
    """After the faults every machine is back and every node has the newest version."""
    for machine in record.unready:
        yield Violation("not-back", machine, float("inf"))
    last = {probe.node: probe for probe in record.probes}
    for node, probe in last.items():
        if probe.status == STATUS_NOT_FOUND:
            detail = f"{node} has no route of version {probe.version}"
            yield Violation("not-in-force", detail, probe.ended_at)


def poison_is_held(record: Record) -> Iterator[Violation]:
    """A request under which three back ends crashed runs at hardly any other."""
    ends: defaultdict[str, list[float]] = defaultdict(list)
    for run in record.poison:
        ends[run.path].append(run.at)
    for path, times in ends.items():
        times.sort()
        after = [at for at in times if at > times[min(2, len(times) - 1)] + SPREAD_SECONDS]
        if len(after) > MOST_ENDS_AFTER:
            yield Violation("poison-held", f"{path} ended {len(times)} in all", after[-1])


def only_poison_is_held(record: Record) -> Iterator[Violation]:
    """Other requests that ran at a crashed back end are not quarantined."""
    for request in record.requests:
        if request.reason == QUARANTINED:
            yield Violation("only-poison-held", request.request, request.ended_at)


def processes_do_not_end(record: Record) -> Iterator[Violation]:
    """No process exits by itself."""
    for end in record.ends:
        yield Violation("process-ended", f"{end.machine}: {end.what}", end.at)


CHECKS: tuple[Check, ...] = (
    answers_are_whole,
    runs_at_most_once,
    not_run_is_true,
    planned_stops_cut_nothing,
    leaving_back_ends_get_nothing,
    one_of_two_wins,
    acknowledged_is_not_refused,
    reads_are_never_older,
    nodes_never_go_back,
    newest_is_in_force_at_the_end,
    poison_is_held,
    only_poison_is_held,
    lives_are_used,
    unreadable_words_are_refused,
    processes_do_not_end,
    *ANSWER_CHECKS,
    *TENANT_CHECKS,
    *NEED_CHECKS,
    *REPEAT_CHECKS,
)


def _acknowledged(record: Record) -> Iterator[ChangeAnswered]:
    return (change for change in record.changes if change.status == STATUS_OK)


def _was_disturbed(record: Record, life: LifeSeen, end: float) -> bool:
    """Return whether a fault struck the back end's node: its own callers would call it."""
    return any(
        each.machine == life.node
        and each.begun_at <= end
        and each.ended_at + CALM_SECONDS >= life.began_at
        for each in record.disturbances
    )


def _stops_in_a_planned_way(record: Record, request: RequestEnded) -> bool:
    return any(
        each.planned
        and each.machine == request.node
        and each.begun_at <= request.ended_at <= each.ended_at
        for each in record.disturbances
    )


def _is_excused(record: Record, request: RequestEnded) -> bool:
    """Return whether an unplanned fault on any machine may have cut the request."""
    return any(
        not each.planned
        and each.begun_at <= request.ended_at
        and each.ended_at + CALM_SECONDS >= request.sent_at
        for each in record.disturbances
    )
