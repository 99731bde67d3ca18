"""Turns what a scale run recorded into distributions and slopes."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from peppershore.version.model import Edit, Scope, Version
from peppershore_lab.hollow.layout import PlacedNode
from peppershore_lab.hollow.protocol import Applied, HollowReport

MILLISECONDS = 1_000.0


class Distribution(msgspec.Struct, frozen=True, kw_only=True):
    """Quantiles of a sample; times in milliseconds unless the field says otherwise."""

    count: int
    p50: float
    p99: float
    max: float


class AcceptedChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was accepted: when it was sent, when answered, who needs it."""

    edit: Edit
    version: Version
    submitted_at: float
    accepted_at: float
    scopes: frozenset[Scope]


class Convergence(msgspec.Struct, frozen=True, kw_only=True):
    """From acceptance until in force on every node that needs the change.

    ``per_change`` is over changes (the last node of each), ``per_node`` over
    (change, node) pairs, ``from_submit`` like ``per_change`` but from the
    moment the operator sent the edit.  ``missing`` counts pairs never seen.
    """

    per_change: Distribution
    per_node: Distribution
    from_submit: Distribution
    needed: int
    missing: int


def distribution(values: Iterable[float]) -> Distribution:
    """Give the quantiles (nearest rank) of the values; zeros when there are none."""
    ordered = sorted(values)
    if not ordered:
        return Distribution(count=0, p50=0.0, p99=0.0, max=0.0)
    return Distribution(
        count=len(ordered),
        p50=quantile(ordered, 0.50),
        p99=quantile(ordered, 0.99),
        max=round(ordered[-1], 3),
    )


def quantile(ordered: Sequence[float], share: float) -> float:
    """Give the nearest-rank quantile of an ordered sample."""
    rank = max(1, math.ceil(share * len(ordered)))
    return round(ordered[rank - 1], 3)


class AppliedTimes:
    """When each node began to use which version, from the hollow processes' reports."""

    def __init__(self) -> None:
        """Start with nothing recorded."""
        self._by_node: dict[int, list[Applied]] = defaultdict(list)

    def add(self, reports: Iterable[HollowReport]) -> None:
        """Take in what new reports say was applied."""
        for report in reports:
            for applied in report.applied:
                self._by_node[applied.node].append(applied)

    def first_holding(self, node: int, version: Version, after: float) -> float | None:
        """Give when ``node`` first used ``version`` or a later one, if ever."""
        records = self._by_node[node]
        start = bisect_left(records, after, key=lambda record: record.at)
        for record in records[start:]:
            if record.version >= version:
                return record.at
        return None


def convergence(
    changes: Iterable[AcceptedChange],
    nodes: Iterable[PlacedNode],
    times: AppliedTimes,
    excluded_zones: frozenset[str] = frozenset(),
) -> Convergence:
    """Measure each change over the nodes that need it, but those of some zones."""
    by_scope: dict[Scope, list[int]] = defaultdict(list)
    for node in nodes:
        if node.scope.zone not in excluded_zones:
            by_scope[node.scope].append(node.number)
    per_change: list[float] = []
    per_node: list[float] = []
    from_submit: list[float] = []
    missing = 0
    for change in changes:
        needing = [node for scope in change.scopes for node in by_scope[scope]]
        held = [
            times.first_holding(node, change.version, change.submitted_at)
            for node in needing
        ]
        seen = [at for at in held if at is not None]
        missing += len(held) - len(seen)
        per_node.extend((at - change.accepted_at) * MILLISECONDS for at in seen)
        if seen:
            per_change.append((max(seen) - change.accepted_at) * MILLISECONDS)
            from_submit.append((max(seen) - change.submitted_at) * MILLISECONDS)
    return Convergence(
        per_change=distribution(per_change),
        per_node=distribution(per_node),
        from_submit=distribution(from_submit),
        needed=len(per_node) + missing,
        missing=missing,
    )
