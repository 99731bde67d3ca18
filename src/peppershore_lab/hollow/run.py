"""One whole scale run at one size: starts everything, measures, stops everything."""

from __future__ import annotations

import asyncio
import os
import time

import msgspec

from peppershore_lab.hollow.baseline import BaselineResult, run_baseline
from peppershore_lab.hollow.cluster import RealCluster
from peppershore_lab.hollow.costs import role_cost
from peppershore_lab.hollow.fleet import HollowFleet
from peppershore_lab.hollow.layout import initial_edit
from peppershore_lab.hollow.operator import ScaleOperator
from peppershore_lab.hollow.plan import ScalePlan
from peppershore_lab.hollow.results import RoleCost, ScaleRun
from peppershore_lab.hollow.scale import Progress, ScaleDriver

RELAYS_SETTLE_SECONDS = 3.0


async def run_scale(plan: ScalePlan, progress: Progress) -> ScaleRun:
    """Carry out all phases of a plan; everything started is stopped, whatever happens."""
    load_before = os.getloadavg()[0]
    with RealCluster(plan.layout, plan.replicas, plan.batching_milliseconds) as cluster:
        progress("loading the tree")
        version = await ScaleOperator(cluster.replicas).submit(initial_edit(plan.layout))
        await asyncio.sleep(RELAYS_SETTLE_SECONDS)
        empty = _costs_now(cluster)
        since = time.monotonic()
        async with HollowFleet(plan.layout, cluster.relays, plan.hollow_processes) as fleet:
            driver = ScaleDriver(plan, cluster, fleet, version, progress)
            run = await _phases(plan, driver, since, empty, load_before)
    baseline = await _baseline(plan, progress)
    return msgspec.structs.replace(run, baseline=baseline)


async def _phases(
    plan: ScalePlan,
    driver: ScaleDriver,
    since: float,
    empty: tuple[RoleCost, RoleCost],
    load_before: float,
) -> ScaleRun:
    start = await driver.cold_start(since)
    idle = await driver.idle()
    steady = await driver.steady()
    restart_phase, restart_recovery = await driver.zone_restarts()
    recoveries = (
        restart_recovery,
        await driver.herd("herd reconnects, nothing changed", 0),
        await driver.herd("herd reconnects after missed changes", plan.missed_changes),
        await driver.all_restart(),
        await driver.relay_killed(),
    )
    return ScaleRun(
        plan=plan,
        replicas_before_nodes=empty[0],
        relays_before_nodes=empty[1],
        start=start,
        idle=idle,
        phases=(steady, restart_phase),
        recoveries=recoveries,
        baseline=None,
        steps_back=driver.observer.steps_back,
        machine_load_before=round(load_before, 2),
        machine_load_after=round(os.getloadavg()[0], 2),
        cores=os.cpu_count() or 1,
    )


def _costs_now(cluster: RealCluster) -> tuple[RoleCost, RoleCost]:
    replicas = cluster.replica_costs()
    relays = cluster.relay_costs()
    return role_cost(replicas, replicas, 0.0), role_cost(relays, relays, 0.0)


async def _baseline(plan: ScalePlan, progress: Progress) -> BaselineResult | None:
    if not plan.baseline_changes:
        return None
    progress("baseline: the whole configuration to every node")
    return await run_baseline(plan.layout, plan.hollow_processes, plan.baseline_changes)
