"""Counts and latencies of calls by service, route, outcome and reason."""

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
"""Kinds of ends that are told apart; further ones count as one."""


class CallKind(msgspec.Struct, frozen=True):
    """How a call ended, and which."""

    service: str
    route: str
    outcome: str
    reason: str


OTHER_KINDS = CallKind("", "", "other", "")


class _Ends:
    __slots__ = ("buckets", "seconds")

    def __init__(self) -> None:
        self.buckets = [0] * (len(BOUNDS) + 1)
        self.seconds = 0.0


class CallFigures:
    """The ends of all calls of one node since its start."""

    def __init__(self) -> None:
        """Begin without calls."""
        self._ends: dict[CallKind, _Ends] = {}

    def ended(
        self, plan: CallPlan | None, outcome: str, reason: str, seconds: float
    ) -> None:
        """Count a call that ended after so many seconds."""
        service = "" if plan is None else plan.service
        route = "" if plan is None else plan.route
        kind = CallKind(service, route, outcome, reason)
        ends = self._ends.get(kind)
        if ends is None:
            if len(self._ends) >= MAX_KINDS:
                kind = OTHER_KINDS
            ends = self._ends.setdefault(kind, _Ends())
        ends.buckets[bisect_left(BOUNDS, seconds)] += 1
        ends.seconds += seconds

    def collect(self) -> Iterator[Metric]:
        """Give the histogram, as the metrics library's registry asks for it."""
        from prometheus_client import core  # noqa: PLC0415

        histogram = core.HistogramMetricFamily(
            "peppershore_call_seconds",
            "Calls by how they ended, and how long they took at their caller's node.",
            labels=list(CallKind.__struct_fields__),
        )
        for kind, ends in self._ends.items():
            labels = list(msgspec.structs.astuple(kind))
            histogram.add_metric(labels, _cumulative(ends.buckets), ends.seconds)
        yield histogram


def _cumulative(buckets: list[int]) -> list[tuple[str, float]]:
    found: list[tuple[str, float]] = []
    total = 0
    for bound, count in zip((*BOUNDS, "+Inf"), buckets, strict=True):
        total += count
        found.append((str(bound), float(total)))
    return found
