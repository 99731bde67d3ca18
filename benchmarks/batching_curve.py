"""Convergence against control bytes over the relays' batching window.

Run: ``python -m benchmarks.batching_curve [--output results/batching_curve.json]``

For each window the same changes: bursts of edits to the routes of one service,
spread over a quarter of a second, as a script of an operator makes them.  A
window merges what comes within it into one update of a node.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
import msgspec

from benchmarks.measuring import Machine, command_of, machine_now, write_result
from peppershore.version.model import Edit, Overrides, Scope, SetOverrides
from peppershore_lab.hollow.cluster import RealCluster
from peppershore_lab.hollow.costs import CostMeter
from peppershore_lab.hollow.fleet import HollowFleet
from peppershore_lab.hollow.layout import (
    FleetLayout,
    PlannedChange,
    calling_services,
    initial_edit,
    route_name,
    service_name,
    zone_name,
)
from peppershore_lab.hollow.measure import AcceptedChange, Distribution
from peppershore_lab.hollow.observer import RunObserver
from peppershore_lab.hollow.operator import ScaleOperator
from peppershore_lab.run import run_to_end

WINDOWS_MILLISECONDS = (0, 50, 100, 250, 1_000)
NODES = 1_860
RELAYS = 4
REPLICAS = 3
HOLLOW_PROCESSES = 4
RELAYS_START_SECONDS = 2.5
NODES_START_SECONDS = 4.0
EDITS_PER_BURST = 8
BURST_SECONDS = 0.25
BURST_INTERVAL_SECONDS = 1.5
LAST_SECONDS = 3.0


class WindowResult(msgspec.Struct, frozen=True):
    """One window; ``ideal_bytes`` is without merging, once for each change."""

    window_milliseconds: int
    changes: int
    missing: int
    per_change: Distribution
    updates: int
    update_bytes_per_change: float
    ideal_bytes_per_change: float
    relay_core_share: float


class BatchingCurve(msgspec.Struct, frozen=True):
    """All windows of one run."""

    command: str
    machine: Machine
    nodes: int
    edits_per_burst: int
    windows: list[WindowResult]


def burst_change(layout: FleetLayout, burst: int, number: int) -> PlannedChange:
    """Give one edit of a burst: a route of one service, in all zones."""
    service = (burst * 7 + 3) % layout.services
    route = route_name(number % layout.routes_per_service)
    overrides = Overrides(max_body_bytes=70_000 + burst * EDITS_PER_BURST + number)
    path = f"/{service_name(service)}/*/{route}"
    edit = Edit(f"burst-{burst}-{number}", operations=(SetOverrides(path, overrides),))
    holders = (service, *calling_services(layout)[service])
    scopes = frozenset(
        Scope(service_name(holder), zone_name(zone))
        for holder in holders
        for zone in range(layout.zones)
    )
    return PlannedChange(edit, "route everywhere", scopes)


async def measure_window(window: int, bursts: int) -> WindowResult:
    """Make the bursts with one window."""
    layout = FleetLayout(nodes=NODES, relays=RELAYS)
    with RealCluster(layout, REPLICAS, window) as cluster:
        operator = ScaleOperator(cluster.replicas)
        version = await operator.submit(initial_edit(layout))
        await asyncio.sleep(RELAYS_START_SECONDS)
        async with HollowFleet(layout, cluster.relays, HOLLOW_PROCESSES) as fleet:
            await asyncio.sleep(NODES_START_SECONDS)
            observer = RunObserver(layout, version)
            meter = CostMeter(cluster, fleet)
            observer.take_in(await meter.begin())
            changes = await make_bursts(operator, layout, bursts)
            await asyncio.sleep(LAST_SECONDS)
            cost = await meter.end()
            observer.take_in(meter.reports)
            phase = observer.convergence_phase("bursts", changes, cost)
    return WindowResult(
        window_milliseconds=window,
        changes=phase.changes,
        missing=phase.convergence.missing,
        per_change=phase.convergence.per_change,
        updates=phase.update_messages,
        update_bytes_per_change=round(phase.update_bytes / phase.changes, 1),
        ideal_bytes_per_change=round(phase.ideal_bytes / phase.changes, 1),
        relay_core_share=round(cost.relay.mean_core_share, 4),
    )


async def make_bursts(
    operator: ScaleOperator, layout: FleetLayout, bursts: int
) -> list[AcceptedChange]:
    """Make all bursts; give the accepted changes."""
    tasks: list[asyncio.Task[AcceptedChange]] = []
    for burst in range(bursts):
        for number in range(EDITS_PER_BURST):
            change = burst_change(layout, burst, number)
            tasks.append(asyncio.create_task(operator.change(change)))
            await asyncio.sleep(BURST_SECONDS / EDITS_PER_BURST)
        await asyncio.sleep(BURST_INTERVAL_SECONDS - BURST_SECONDS)
    return list(await asyncio.gather(*tasks))


@click.command()
@click.option("--bursts", type=int, default=6, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(bursts: int, output: Path | None) -> None:
    """Measure every window."""
    windows = [
        run_to_end(measure_window(window, bursts)) for window in WINDOWS_MILLISECONDS
    ]
    result = BatchingCurve(
        command_of("batching_curve"), machine_now(), NODES, EDITS_PER_BURST, windows
    )
    write_result(result, output)


if __name__ == "__main__":
    main()
