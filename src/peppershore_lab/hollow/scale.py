"""The phases of a scale run: start, idle, changes, restarts, herds, a relay lost."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from peppershore.version.model import Version
from peppershore_lab.hollow.cluster import RealCluster
from peppershore_lab.hollow.costs import CostMeter
from peppershore_lab.hollow.fleet import HollowFleet
from peppershore_lab.hollow.layout import ChangePlan, zone_name
from peppershore_lab.hollow.observer import RunObserver
from peppershore_lab.hollow.operator import ScaleOperator
from peppershore_lab.hollow.plan import ScalePlan
from peppershore_lab.hollow.protocol import (
    AnyOrder,
    Cut,
    Heal,
    HollowReport,
    Restart,
)
from peppershore_lab.hollow.results import ConvergencePhase, PhaseCost, RecoveryPhase

POLL_SECONDS = 0.5
RECOVERY_TIMEOUT_SECONDS = 90.0
SETTLE_SECONDS = 3.0
RESTART_PHASE_SECONDS = 12.0
RESTART_LEAD_SECONDS = 2.0
HERD_CHANGES_PER_SECOND = 60.0
RELAY_LOSS_SECONDS = 10.0

Progress = Callable[[str], None]


class ScaleDriver:
    """Carries out single phases against a started cluster and fleet."""

    def __init__(
        self,
        plan: ScalePlan,
        cluster: RealCluster,
        fleet: HollowFleet,
        version: Version,
        progress: Progress,
    ) -> None:
        """Begin with nothing measured; the tree was accepted as ``version``."""
        self.observer = RunObserver(plan.layout, version)
        self._plan = plan
        self._cluster = cluster
        self._fleet = fleet
        self._progress = progress
        self._operator = ScaleOperator(cluster.replicas)
        self._changes = ChangePlan(plan.layout, plan.seed)
        self._meter = CostMeter(cluster, fleet)

    async def cold_start(self, since: float) -> RecoveryPhase:
        """Wait until every hollow node holds the first version."""
        return await self._recovery("cold start of all nodes", since, None)

    async def idle(self) -> PhaseCost:
        """Measure what nothing costs."""
        self._progress("idle")
        await self._begin()
        await asyncio.sleep(self._plan.idle_seconds)
        return await self._end()

    async def steady(self) -> ConvergencePhase:
        """Make changes at the plan's rate; measure convergence and bytes."""
        name = "steady changes"
        self._progress(name)
        await self._begin()
        changes = await self._operator.change_at_rate(
            self._changes, self._plan.changes_per_second, self._plan.steady_seconds
        )
        await asyncio.sleep(SETTLE_SECONDS)
        return self.observer.convergence_phase(name, changes, await self._end())

    async def zone_restarts(self) -> tuple[ConvergencePhase, RecoveryPhase]:
        """Restart all nodes of a zone amid changes; measure the others and the zone."""
        name = "changes while all nodes of a zone restart"
        self._progress(name)
        zone = zone_name(0)
        await self._begin()
        making = asyncio.ensure_future(
            self._operator.change_at_rate(
                self._changes, self._plan.changes_per_second, RESTART_PHASE_SECONDS
            )
        )
        await asyncio.sleep(RESTART_LEAD_SECONDS)
        restarted_at = time.monotonic()
        await self._order(Restart(zone))
        changes = await making
        await asyncio.sleep(SETTLE_SECONDS)
        cost = await self._end()
        recovery = self.observer.recovery_phase(
            "all nodes of a zone restart",
            self.observer.nodes_of(zone),
            restarted_at,
        )
        return self.observer.convergence_phase(name, changes, cost, zone), recovery

    async def herd(self, name: str, missed_changes: int) -> RecoveryPhase:
        """Cut every link at once, make changes meanwhile, let all come back."""
        await self._order(Cut())
        if missed_changes:
            changes = await self._operator.change_at_rate(
                self._changes,
                HERD_CHANGES_PER_SECOND,
                missed_changes / HERD_CHANGES_PER_SECOND,
            )
            self.observer.accepted(changes)
        return await self._recovery(name, time.monotonic(), Heal(), missed_changes)

    async def all_restart(self) -> RecoveryPhase:
        """Restart every node at once, without its memory."""
        name = "all nodes restart without memory"
        return await self._recovery(name, time.monotonic(), Restart(""))

    async def relay_killed(self) -> RecoveryPhase:
        """Kill one relay; its nodes must become current at the others."""
        name = "one relay is killed"
        self._progress(name)
        killed_at = time.monotonic()
        relay = self._cluster.relay_processes[-1]
        relay.kill()
        await asyncio.sleep(RELAY_LOSS_SECONDS)
        self.observer.take_in(await self._fleet.collect())
        moved = self.observer.nodes_heard(killed_at)
        result = self.observer.recovery_phase(name, moved, killed_at)
        relay.start()
        return result

    async def _recovery(
        self, name: str, since: float, order: AnyOrder | None, changes_missed: int = 0
    ) -> RecoveryPhase:
        self._progress(name)
        await self._begin()
        if order is not None:
            await self._order(order)
        nodes = self.observer.nodes_of("")
        peak = 0
        while time.monotonic() < since + RECOVERY_TIMEOUT_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            self.observer.take_in(await self._fleet.collect())
            peak = max(peak, *(cost.resident_bytes for cost in self._cluster.relay_costs()))
            if self.observer.all_hold(nodes, since):
                break
        cost = await self._end()
        return self.observer.recovery_phase(
            name,
            nodes,
            since,
            changes_missed=changes_missed,
            cost=cost,
            relay_peak_resident_bytes=peak,
        )

    async def _begin(self) -> None:
        self.observer.take_in(await self._meter.begin())

    async def _end(self) -> PhaseCost:
        cost = await self._meter.end()
        self.observer.take_in(self._meter.reports)
        return cost

    async def _order(self, order: AnyOrder) -> list[HollowReport]:
        reports = await self._fleet.order(order)
        self.observer.take_in(reports)
        return reports
