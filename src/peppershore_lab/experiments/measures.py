"""Figures of a run: convergence, calls second by second, versions over time."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from peppershore.version.model import Version
from peppershore_lab.calls.latency import new_histogram, record_seconds
from peppershore_lab.convergence import VersionHeld, percentile
from peppershore_lab.experiments.evidence import Evidence
from peppershore_lab.experiments.marks import Span
from peppershore_lab.journal import CallRecord
from peppershore_lab.reference import needed_by

MILLISECONDS = 1_000
ANSWERED = "answered"
OK_STATUS = 200
MAXIMUM_POINTS = 60


class Arrival(msgspec.Struct, frozen=True):
    """How long one version took to one proxy that needs it, in milliseconds.

    ``judged`` leaves out the time before the proxy could be reached.  ``held``
    false: it never held it; the times then run to the end of the run.
    """

    version: Version
    proxy: str
    waited: float
    judged: float
    held: bool


class ConvergenceMeasure(msgspec.Struct, frozen=True, kw_only=True):
    """Convergence over all versions of a run, in milliseconds.

    ``per_version`` is the slowest proxy of each version, counted from acceptance;
    ``judged`` leaves out the time in which a proxy could not be reached.
    """

    versions: int
    arrivals: int
    missing: int
    p50_milliseconds: float
    p99_milliseconds: float
    max_milliseconds: float
    judged_p99_milliseconds: float
    judged_max_milliseconds: float
    per_version: tuple[float, ...]


class SecondOfCalls(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of one second of the run: begun in it, and ended in it.

    ``served`` counts those begun in it that were answered at last, also by a resend.
    """

    second: int
    offered: int
    served: int
    answered: int
    not_run: int
    unknown: int
    p50_milliseconds: float
    p99_milliseconds: float


class CallMeasure(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of a run; latency counts from the intended time of sending."""

    offered: int
    sent: int
    answered: int
    outcomes: dict[str, int]
    p50_milliseconds: float
    p99_milliseconds: float
    max_milliseconds: float
    seconds: tuple[SecondOfCalls, ...]


class ProxyVersions(msgspec.Struct, frozen=True):
    """Versions that one proxy held: pairs of seconds of the run and version."""

    proxy: str
    points: tuple[tuple[float, Version], ...]


def arrivals_of(evidence: Evidence) -> list[Arrival]:
    """Give the wait of every proxy that needs it for every version of the run."""
    held_by_proxy: dict[str, list[VersionHeld]] = defaultdict(list)
    for moment in evidence.held:
        held_by_proxy[moment.proxy].append(moment)
    return [
        _arrival(evidence, version, accepted, proxy, held_by_proxy[proxy])
        for version, accepted in sorted(evidence.accepted.items())
        if accepted >= evidence.run.began
        for proxy in needed_by(evidence.reference, version, evidence.layout.proxies)
    ]


def _arrival(
    evidence: Evidence,
    version: Version,
    accepted: float,
    proxy: str,
    held: Sequence[VersionHeld],
) -> Arrival:
    moments = [each.unix_seconds for each in held if each.version >= version]
    reached = max(accepted, min(moments)) if moments else evidence.run.ended
    start = evidence.availability.clock_start(proxy, accepted, reached)
    return Arrival(
        version=version,
        proxy=proxy,
        waited=(reached - accepted) * MILLISECONDS,
        judged=(reached - start) * MILLISECONDS,
        held=bool(moments),
    )


def measure_convergence(arrivals: Sequence[Arrival]) -> ConvergenceMeasure:
    """Summarize the waits."""
    waits = sorted(each.waited for each in arrivals)
    judged = sorted(each.judged for each in arrivals)
    slowest: dict[Version, float] = {}
    for each in arrivals:
        slowest[each.version] = max(slowest.get(each.version, 0.0), each.waited)
    return ConvergenceMeasure(
        versions=len(slowest),
        arrivals=len(arrivals),
        missing=sum(1 for each in arrivals if not each.held),
        p50_milliseconds=statistics.median(waits) if waits else 0.0,
        p99_milliseconds=percentile(waits, 99),
        max_milliseconds=waits[-1] if waits else 0.0,
        judged_p99_milliseconds=percentile(judged, 99),
        judged_max_milliseconds=judged[-1] if judged else 0.0,
        per_version=tuple(round(wait, 1) for wait in slowest.values()),
    )


def is_good(call: CallRecord) -> bool:
    """Whether a call got the whole right answer."""
    return call.outcome == ANSWERED and call.status == OK_STATUS and not call.problem


def measure_calls(calls: Iterable[CallRecord], run: Span) -> CallMeasure:
    """Summarize calls; a resend counts as sent and not as offered."""
    every = list(calls)
    latency = new_histogram()
    good = [call for call in every if is_good(call)]
    for call in good:
        record_seconds(latency, call.ended_unix_seconds - call.intended_unix_seconds)
    return CallMeasure(
        offered=sum(1 for call in every if call.attempt == 1),
        sent=len(every),
        answered=len(good),
        outcomes=dict(sorted(Counter(call.outcome for call in every).items())),
        p50_milliseconds=latency.get_value_at_percentile(50) / MILLISECONDS,
        p99_milliseconds=latency.get_value_at_percentile(99) / MILLISECONDS,
        max_milliseconds=latency.get_max_value() / MILLISECONDS,
        seconds=_by_second(every, run),
    )


def _by_second(calls: list[CallRecord], run: Span) -> tuple[SecondOfCalls, ...]:
    begun: dict[int, list[CallRecord]] = defaultdict(list)
    ended: dict[int, list[CallRecord]] = defaultdict(list)
    for call in calls:
        begun[int(call.intended_unix_seconds - run.began)].append(call)
        ended[int(call.ended_unix_seconds - run.began)].append(call)
    answered_keys = {call.idempotency_key for call in calls if is_good(call)} - {""}
    return tuple(
        _one_second(second, begun[second], ended[second], answered_keys)
        for second in range(int(run.ended - run.began) + 1)
    )


def _one_second(
    second: int,
    begun: list[CallRecord],
    ended: list[CallRecord],
    answered_keys: set[str],
) -> SecondOfCalls:
    offered = [call for call in begun if call.attempt == 1]
    waits = sorted(
        (call.ended_unix_seconds - call.intended_unix_seconds) * MILLISECONDS
        for call in begun
        if is_good(call)
    )
    outcomes = Counter(call.outcome for call in ended)
    good = sum(1 for call in ended if is_good(call))
    return SecondOfCalls(
        second=second,
        offered=len(offered),
        served=sum(
            1 for call in offered if is_good(call) or call.idempotency_key in answered_keys
        ),
        answered=good,
        not_run=outcomes["not-run"],
        unknown=len(ended) - good - outcomes["not-run"],
        p50_milliseconds=round(percentile(waits, 50), 2),
        p99_milliseconds=round(percentile(waits, 99), 2),
    )


def versions_over_time(evidence: Evidence) -> tuple[ProxyVersions, ...]:
    """Give what each proxy held over time, thinned to what a plot can show."""
    points: dict[str, list[tuple[float, Version]]] = defaultdict(list)
    for moment in evidence.held:
        second = round(moment.unix_seconds - evidence.run.began, 3)
        points[moment.proxy].append((second, moment.version))
    return tuple(
        ProxyVersions(proxy, tuple(_thinned(each)))
        for proxy, each in sorted(points.items())
    )


def _thinned(points: list[tuple[float, Version]]) -> list[tuple[float, Version]]:
    stride = max(1, -(-len(points) // MAXIMUM_POINTS))
    return [*points[:-1:stride], points[-1]]
