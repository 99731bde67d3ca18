"""Metrics: counts and latencies of calls by service, route, outcome and reason."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec

from peppershore.request.classification import CallPlan

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the latency buckets, in seconds."""

MAX_KINDS = 4_000
"""Maximum number of label combinations; calls of further ones are counted together."""


class CallKind(msgspec.Struct, frozen=True):
    """Labels of the latency histogram."""

    service: str
    route: str
    outcome: str
    reason: str


OTHER_KINDS = CallKind("", "", "other", "")


class _Latencies:
    __slots__ = ("buckets", "seconds")

    def __init__(self) -> None:
        self.buckets = [0] * (len(BOUNDS) + 1)
        self.seconds = 0.0


class CallMetrics:
    """Latency histogram of all calls that ended at this node since its start."""

    def __init__(self) -> None:
        """Start with an empty histogram."""
        self._latencies: dict[CallKind, _Latencies] = {}

    def ended(
        self, plan: CallPlan | None, outcome: str, reason: str, seconds: float
    ) -> None:
        """Count a call that ended after ``seconds``."""
        service = "" if plan is None else plan.service
        route = "" if plan is None else plan.route
        kind = CallKind(service, route, outcome, reason)
        latencies = self._latencies.get(kind)
        if latencies is None:
            if len(self._latencies) >= MAX_KINDS:
                kind = OTHER_KINDS
            latencies = self._latencies.setdefault(kind, _Latencies())
        latencies.buckets[bisect_left(BOUNDS, seconds)] += 1
        latencies.seconds += seconds

    def collect(self) -> Iterator[Metric]:
        """Yield the histogram, as a collector of the metrics library's registry."""
        from prometheus_client import core  # noqa: PLC0415

        histogram = core.HistogramMetricFamily(
            "peppershore_call_seconds",
            "Calls by how they ended, and how long they took at their caller's node.",
            labels=list(CallKind.__struct_fields__),
        )
        for kind, latencies in self._latencies.items():
            labels = list(msgspec.structs.astuple(kind))
            histogram.add_metric(labels, _cumulative(latencies.buckets), latencies.seconds)
        yield histogram


def _cumulative(buckets: list[int]) -> list[tuple[str, float]]:
    cumulative: list[tuple[str, float]] = []
    total = 0
    for bound, count in zip((*BOUNDS, "+Inf"), buckets, strict=True):
        total += count
        cumulative.append((str(bound), float(total)))
    return cumulative
