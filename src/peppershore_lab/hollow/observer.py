"""Joins what nodes applied with what operators changed; gives the phases' results."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from peppershore.version.model import Version
from peppershore_lab.hollow.ideal import ChangeSize, IdealBytes
from peppershore_lab.hollow.layout import FleetLayout, placed_nodes
from peppershore_lab.hollow.measure import (
    MILLISECONDS,
    AcceptedChange,
    AppliedTimes,
    convergence,
    distribution,
)
from peppershore_lab.hollow.protocol import HollowReport
from peppershore_lab.hollow.results import ConvergencePhase, PhaseCost, RecoveryPhase

UPDATE_MESSAGE = "UpdateOffered"


class RunObserver:
    """All that was seen of one run so far."""

    def __init__(self, layout: FleetLayout, version: Version) -> None:
        """Begin with the layout's first edit accepted as ``version``."""
        self.version = version
        self.steps_back = 0
        self._nodes = tuple(placed_nodes(layout))
        self._times = AppliedTimes()
        self._ideal = IdealBytes(layout, version)

    def take_in(self, reports: Sequence[HollowReport]) -> None:
        """Note what new reports of all hollow processes say."""
        self._times.add(reports)
        self.steps_back = sum(report.steps_back for report in reports)

    def accepted(self, changes: Iterable[AcceptedChange]) -> ChangeSize:
        """Replay accepted changes in log order; give what all of them need."""
        nodes = 0
        total = 0
        for change in sorted(changes, key=lambda change: change.version):
            size = self._ideal.size(change.edit, change.version, change.scopes)
            nodes += size.nodes
            total += size.bytes
            self.version = max(self.version, change.version)
        return ChangeSize(nodes, total)

    def nodes_of(self, zone: str) -> tuple[int, ...]:
        """Numbers of the nodes of a zone ("": of all zones)."""
        return tuple(node.number for node in self._nodes if zone in ("", node.scope.zone))

    def all_hold(self, nodes: Iterable[int], since: float) -> bool:
        """Whether each node took the newest version, or was told it is current."""
        return all(self._held_at(node, since) is not None for node in nodes)

    def nodes_heard(self, since: float) -> tuple[int, ...]:
        """Nodes that took a version, or were told they are current, after ``since``."""
        return tuple(
            node.number
            for node in self._nodes
            if self._times.first_holding(node.number, 0, since) is not None
        )

    def convergence_phase(
        self,
        name: str,
        changes: Sequence[AcceptedChange],
        cost: PhaseCost,
        excluded_zone: str | None = None,
    ) -> ConvergencePhase:
        """Give the result of a phase of changes; nodes of one zone may be left out."""
        size = self.accepted(changes)
        excluded = frozenset() if excluded_zone is None else frozenset({excluded_zone})
        updates = [row for row in cost.traffic if row.message == UPDATE_MESSAGE]
        return ConvergencePhase(
            name=name,
            changes=len(changes),
            changes_per_second=_rate(changes),
            convergence=convergence(changes, self._nodes, self._times, excluded),
            cost=cost,
            update_bytes=sum(row.bytes for row in updates),
            update_messages=sum(row.count for row in updates),
            ideal_bytes=size.bytes,
            expected_updates=size.nodes,
        )

    def recovery_phase(
        self,
        name: str,
        nodes: Sequence[int],
        since: float,
        *,
        changes_missed: int = 0,
        cost: PhaseCost | None = None,
        relay_peak_resident_bytes: int = 0,
    ) -> RecoveryPhase:
        """Give how long after ``since`` each node held the newest version."""
        held = [self._held_at(node, since) for node in nodes]
        spans = [(at - since) * MILLISECONDS for at in held if at is not None]
        return RecoveryPhase(
            name=name,
            nodes=len(nodes),
            recovered=len(spans),
            milliseconds=distribution(spans),
            changes_missed=changes_missed,
            bytes_per_node=_bytes_per_node(cost),
            cost=cost,
            relay_peak_resident_bytes=relay_peak_resident_bytes,
        )

    def _held_at(self, node: int, since: float) -> float | None:
        return self._times.first_holding(node, self.version, since)


def _bytes_per_node(cost: PhaseCost | None) -> float:
    return 0.0 if cost is None else cost.received_bytes_per_node_second * cost.seconds


def _rate(changes: Sequence[AcceptedChange]) -> float:
    if len(changes) < 2:
        return 0.0
    span = changes[-1].submitted_at - changes[0].submitted_at
    return (len(changes) - 1) / span
