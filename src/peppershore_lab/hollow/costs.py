"""Measures what a phase of a scale run cost: CPU, memory, bytes."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable, Sequence

from peppershore_lab.hollow.cluster import ProcessCost, RealCluster
from peppershore_lab.hollow.fleet import HollowFleet
from peppershore_lab.hollow.protocol import HollowReport, Traffic
from peppershore_lab.hollow.results import PhaseCost, RoleCost


class CostMeter:
    """Takes the costs between ``begin`` and ``end``; keeps the reports it asked for."""

    def __init__(self, cluster: RealCluster, fleet: HollowFleet) -> None:
        """Measure these processes."""
        self.reports: list[HollowReport] = []
        self._cluster = cluster
        self._fleet = fleet
        self._started_at = 0.0
        self._replicas: list[ProcessCost] = []
        self._relays: list[ProcessCost] = []
        self._before: list[HollowReport] = []

    async def begin(self) -> list[HollowReport]:
        """Remember the totals now; give the reports that were collected for it."""
        self._before = await self._fleet.collect()
        self._replicas = self._cluster.replica_costs()
        self._relays = self._cluster.relay_costs()
        self._started_at = time.monotonic()
        return self._before

    async def end(self) -> PhaseCost:
        """Give the costs since ``begin``; the reports are in ``reports``."""
        replicas, relays = await asyncio.to_thread(self._process_costs)
        seconds = time.monotonic() - self._started_at
        after = await self._fleet.collect()
        self.reports = after
        nodes = sum(report.nodes for report in after)
        cpu = _total(after, "cpu_seconds") - _total(self._before, "cpu_seconds")
        received = _total(after, "bytes_received") - _total(self._before, "bytes_received")
        sent = _total(after, "bytes_sent") - _total(self._before, "bytes_sent")
        return PhaseCost(
            seconds=seconds,
            control=role_cost(self._replicas, replicas, seconds),
            relay=role_cost(self._relays, relays, seconds),
            node_core_share=cpu / seconds / nodes,
            node_resident_bytes=_total(after, "resident_bytes") / nodes,
            received_bytes_per_node_second=received / seconds / nodes,
            sent_bytes_per_node_second=sent / seconds / nodes,
            traffic=_traffic_between(self._before, after),
        )

    def _process_costs(self) -> tuple[list[ProcessCost], list[ProcessCost]]:
        return self._cluster.replica_costs(), self._cluster.relay_costs()


def role_cost(
    before: Sequence[ProcessCost], after: Sequence[ProcessCost], seconds: float
) -> RoleCost:
    """Give a role's cost between two readings; a process that died is left out."""
    earlier = {cost.name: cost.cpu_seconds for cost in before}
    shares = [
        (cost.cpu_seconds - earlier.get(cost.name, 0.0)) / seconds if seconds else 0.0
        for cost in after
    ]
    memory = [cost.resident_bytes for cost in after]
    return RoleCost(
        mean_core_share=sum(shares) / len(shares),
        highest_core_share=max(shares),
        mean_resident_bytes=sum(memory) / len(memory),
        highest_resident_bytes=max(memory),
    )


def _total(reports: Iterable[HollowReport], field: str) -> float:
    return sum(float(getattr(report, field)) for report in reports)


def _traffic_between(
    before: Iterable[HollowReport], after: Iterable[HollowReport]
) -> tuple[Traffic, ...]:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for sign, reports in ((-1, before), (1, after)):
        for report in reports:
            for row in report.traffic:
                counts[row.message] += sign * row.count
                sizes[row.message] += sign * row.bytes
    return tuple(
        Traffic(name, count, sizes[name]) for name, count in sorted(counts.items()) if count
    )
