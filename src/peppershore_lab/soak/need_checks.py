"""Checks of what back ends in need get: their rate limits, and that they are leaving.

A node is bound by what it passed on to its callers. One that was restarted or stopped for a
moment since then is excused, since it may have forgotten.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator

import msgspec

from peppershore_lab.soak.observations import (
    LeavingAnswered,
    LimitNamed,
    Record,
    RequestEnded,
    RunBegan,
    Violation,
)

WINDOW_SECONDS = 4.0
GRACE_SECONDS = 3.0
TOLD_SECONDS = 0.5
MOST_SHARE, MOST_CALLS = 1.5, 5
"""From ``GRACE_SECONDS`` after a back end first named its limit, no window has more runs of
nodes told ``TOLD_SECONDS`` before its end: so many times the limit, and so many more."""

DRAIN_SECONDS = 2.0
"""A call that begins so long after its node passed on that a back end leaves goes
elsewhere."""

EXCUSING_KINDS = frozenset({"kill", "pause", "stop", "stop-twice", "kill-all"})


class _Run(msgspec.Struct, frozen=True):
    """A run, with the request of a caller that it belongs to."""

    at: float
    request: RequestEnded


def rate_limits_hold(record: Record) -> Iterator[Violation]:
    """A back end that names a limit gets no more, summed over the nodes that know."""
    runs = _runs_by_back_end(record)
    for limit in record.limits:
        found = _first_breach(record, limit, runs.get(limit.node, []))
        if found is not None:
            yield found


def answered_leavings_bind(record: Record) -> Iterator[Violation]:
    """A node that passed on that a back end leaves sends it no later call."""
    runs = _runs_by_back_end(record)
    for leaving in record.answered_leavings:
        told = _told(record, leaving, "says_leaving")
        for run in runs.get(leaving.node, []):
            node = run.request.node
            if node not in told or not leaving.at <= run.at <= leaving.until:
                continue
            is_late = run.request.sent_at > told[node] + DRAIN_SECONDS
            if is_late and not _is_excused(record, node, told[node], run.at):
                detail = f"{run.request.request} of {node} ran beside {leaving.node}"
                yield Violation("answered-leaving", detail, run.at)


NEED_CHECKS = (rate_limits_hold, answered_leavings_bind)


def _first_breach(record: Record, limit: LimitNamed, runs: list[_Run]) -> Violation | None:
    told = _told(record, limit, "says_limit")
    allowed = limit.calls_per_second * WINDOW_SECONDS * MOST_SHARE + MOST_CALLS
    times = [run.at for run in runs]
    first = bisect_left(times, limit.at + GRACE_SECONDS)
    for index in range(first, bisect_right(times, limit.until)):
        end = times[index]
        since = bisect_right(times, end - WINDOW_SECONDS)
        counted = [
            run
            for run in runs[since : index + 1]
            if told.get(run.request.node, end) <= end - TOLD_SECONDS
            and not _is_excused(record, run.request.node, limit.at, end)
        ]
        if len(counted) > allowed:
            detail = f"{len(counted)} beside {limit.node}, {allowed:.0f} allowed"
            return Violation("rate-limit", detail, end)
    return None


def _runs_by_back_end(record: Record) -> dict[str, list[_Run]]:
    requests = {request.request: request for request in record.requests}
    runs: dict[str, list[_Run]] = {}
    for run in sorted(record.runs, key=_began_at):
        request = requests.get(run.request)
        if request is not None:
            runs.setdefault(run.node, []).append(_Run(run.at, request))
    return runs


def _began_at(run: RunBegan) -> float:
    return run.at


def _told(
    record: Record, need: LimitNamed | LeavingAnswered, field: str
) -> dict[str, float]:
    """Give when each node first passed on an answer that reports this need."""
    told: dict[str, float] = {}
    for request in record.requests:
        of_back_end = request.signature.rpartition("-")[0] == need.node
        in_time = need.at <= request.ended_at <= need.until
        if of_back_end and in_time and getattr(request, field):
            at = told.get(request.node, request.ended_at)
            told[request.node] = min(at, request.ended_at)
    return told


def _is_excused(record: Record, node: str, since: float, until: float) -> bool:
    return any(
        each.machine == node
        and each.kind in EXCUSING_KINDS
        and each.begun_at <= until
        and each.ended_at >= since
        for each in record.disturbances
    )
