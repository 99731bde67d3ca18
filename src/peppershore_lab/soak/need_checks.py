"""Checks of the calls to back ends that report a rate limit or that they are leaving.

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
"""A window that ends ``GRACE_SECONDS`` or more after a limit was first named holds at most
``MOST_SHARE`` times the limit's calls and ``MOST_CALLS`` more. Only calls of nodes count
that had forwarded such an answer ``TOLD_SECONDS`` before its end."""

DRAIN_SECONDS = 2.0
"""Time after which a node that forwarded a leaving answer sends that back end no call."""

EXCUSING_KINDS = frozenset({"kill", "pause", "stop", "stop-twice", "kill-all"})


class _Run(msgspec.Struct, frozen=True):
    """When a back end began a request of a caller."""

    at: float
    request: RequestEnded


def rate_limits_hold(record: Record) -> Iterator[Violation]:
    """A back end gets no more calls than its limit allows, over all nodes that know it."""
    runs = _runs_by_back_end(record)
    for limit in record.limits:
        found = _first_breach(record, limit, runs.get(limit.node, []))
        if found is not None:
            yield found


def answered_leavings_bind(record: Record) -> Iterator[Violation]:
    """A node that forwarded a leaving answer sends that back end no later call."""
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
    """Return when each node first forwarded an answer that reports this need."""
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
