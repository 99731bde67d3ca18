"""Cost of one relay against its connected nodes: memory, processor time, bytes.

Run: ``python -m benchmarks.slopes_relay [--output results/slopes_relay.json]``

One control replica, one relay and hollow nodes of one zone.  For each number
of nodes: memory and idle cost, changes at a rate, and a restart of all nodes.
``restart`` holds what one node's new life costs the relay: its hello, its
whole snapshot, its endpoint's news and the endpoints it may call.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import click
import msgspec

from benchmarks.measuring import (
    Line,
    Machine,
    command_of,
    fitted_line,
    machine_now,
    processor_seconds,
    resident_bytes,
    write_result,
)
from peppershore_lab.hollow.cluster import RealCluster
from peppershore_lab.hollow.fleet import HollowFleet
from peppershore_lab.hollow.layout import ChangePlan, FleetLayout, initial_edit
from peppershore_lab.hollow.operator import ScaleOperator
from peppershore_lab.hollow.protocol import HollowReport, Restart
from peppershore_lab.run import run_to_end

NODE_COUNTS = (310, 700, 1_400, 2_800)
HOLLOW_PROCESSES = 4
CHANGES_PER_SECOND = 20.0
RELAY_STARTS_SECONDS = 2.5
SETTLE_SECONDS = 3.0
RESTART_SECONDS = 10.0
POLL_SECONDS = 0.2
TIMEOUT_SECONDS = 60.0
UPDATE = "UpdateOffered"
ENDPOINTS = "EndpointsPacked"


class Traffic(msgspec.Struct, frozen=True):
    """Messages and bytes that nodes received in a phase."""

    updates: int
    update_bytes: int
    endpoint_messages: int
    endpoint_bytes: int
    received_bytes: int
    sent_bytes: int


class RelayPhase(msgspec.Struct, frozen=True):
    """One phase: the relay's processor time and what its nodes received."""

    seconds: float
    processor_seconds: float
    node_processor_seconds: float
    traffic: Traffic


class RelaySize(msgspec.Struct, frozen=True):
    """One relay with so many nodes."""

    nodes: int
    resident_bytes_without_nodes: int
    resident_bytes: int
    resident_bytes_after_restart: int
    idle: RelayPhase
    changes_made: int
    changes: RelayPhase
    restart: RelayPhase


class RelaySlopes(msgspec.Struct, frozen=True):
    """All sizes, and the lines through them.

    ``change_microseconds`` is a line over the nodes that need a change.
    The lists hold one value for each size; processor time is that beyond the idle
    cost of the same time.
    """

    command: str
    machine: Machine
    services: int
    resources_per_tree: int
    sizes: list[RelaySize]
    memory_bytes: Line
    idle_core_share: Line
    change_microseconds: Line
    update_bytes: list[float]
    restart_milliseconds: list[float]
    restart_bytes: list[float]
    idle_received_bytes_per_node_second: list[float]
    idle_sent_bytes_per_node_second: list[float]


class RelayBench:
    """One relay, its replica and its nodes while one size is measured."""

    def __init__(self, cluster: RealCluster, fleet: HollowFleet) -> None:
        """Measure the only relay of ``cluster``."""
        self.relay = cluster.relay_processes[0]
        self._fleet = fleet

    async def until_all_hold(self, nodes: int) -> None:
        """Wait until every node is connected and holds a version."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while True:
            reports = await self._fleet.collect()
            ready = sum(min(report.holding, report.connected) for report in reports)
            if ready == nodes:
                return
            assert time.monotonic() < deadline, f"only {ready} of {nodes} nodes are ready"
            await asyncio.sleep(POLL_SECONDS)

    async def begin(self) -> PhaseStart:
        """Note the totals now."""
        reports = await self._fleet.collect()
        return PhaseStart(time.monotonic(), processor_seconds(self.relay), reports)

    async def end(self, start: PhaseStart) -> RelayPhase:
        """Give what was used since ``start``."""
        used = processor_seconds(self.relay) - start.relay_processor_seconds
        seconds = time.monotonic() - start.at
        after = await self._fleet.collect()
        counts, sizes = _traffic(after)
        counts_before, sizes_before = _traffic(start.reports)
        return RelayPhase(
            seconds=round(seconds, 3),
            processor_seconds=round(used, 3),
            node_processor_seconds=round(
                sum(r.cpu_seconds for r in after)
                - sum(r.cpu_seconds for r in start.reports),
                3,
            ),
            traffic=Traffic(
                updates=counts[UPDATE] - counts_before[UPDATE],
                update_bytes=sizes[UPDATE] - sizes_before[UPDATE],
                endpoint_messages=counts[ENDPOINTS] - counts_before[ENDPOINTS],
                endpoint_bytes=sizes[ENDPOINTS] - sizes_before[ENDPOINTS],
                received_bytes=sum(r.bytes_received for r in after)
                - sum(r.bytes_received for r in start.reports),
                sent_bytes=sum(r.bytes_sent for r in after)
                - sum(r.bytes_sent for r in start.reports),
            ),
        )


class PhaseStart(msgspec.Struct, frozen=True):
    """Totals at the start of a phase."""

    at: float
    relay_processor_seconds: float
    reports: list[HollowReport]


def _traffic(reports: list[HollowReport]) -> tuple[Counter[str], Counter[str]]:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for report in reports:
        for row in report.traffic:
            counts[row.message] += row.count
            sizes[row.message] += row.bytes
    return counts, sizes


async def measure_size(nodes: int, seconds: float) -> RelaySize:
    """Measure one relay with so many nodes."""
    layout = FleetLayout(nodes=nodes, relays=1, zones=1, regions=1)
    with RealCluster(layout, replicas=1) as cluster:
        operator = ScaleOperator(cluster.replicas)
        await operator.submit(initial_edit(layout))
        await asyncio.sleep(RELAY_STARTS_SECONDS)
        empty = resident_bytes(cluster.relay_processes[0])
        async with HollowFleet(layout, cluster.relays, HOLLOW_PROCESSES) as fleet:
            bench = RelayBench(cluster, fleet)
            await bench.until_all_hold(nodes)
            await asyncio.sleep(SETTLE_SECONDS)
            loaded = resident_bytes(bench.relay)
            start = await bench.begin()
            await asyncio.sleep(seconds)
            idle = await bench.end(start)
            start = await bench.begin()
            made = await operator.change_at_rate(
                ChangePlan(layout, 1), CHANGES_PER_SECOND, seconds
            )
            await asyncio.sleep(1.0)
            changes = await bench.end(start)
            start = await bench.begin()
            await fleet.order(Restart(""))
            await bench.until_all_hold(nodes)
            await asyncio.sleep(RESTART_SECONDS)
            restart = await bench.end(start)
            return RelaySize(
                nodes=nodes,
                resident_bytes_without_nodes=empty,
                resident_bytes=loaded,
                resident_bytes_after_restart=resident_bytes(bench.relay),
                idle=idle,
                changes_made=len(made),
                changes=changes,
                restart=restart,
            )


def _beyond_idle(size: RelaySize, phase: RelayPhase) -> float:
    idle_share = size.idle.processor_seconds / size.idle.seconds
    return phase.processor_seconds - idle_share * phase.seconds


def summarise(sizes: list[RelaySize], layout: FleetLayout) -> RelaySlopes:
    """Give the lines through the sizes."""
    counts = [float(size.nodes) for size in sizes]
    return RelaySlopes(
        command=command_of("slopes_relay"),
        machine=machine_now(),
        services=layout.services,
        resources_per_tree=layout.services * (1 + layout.routes_per_service),
        sizes=sizes,
        memory_bytes=fitted_line(counts, [float(s.resident_bytes) for s in sizes]),
        idle_core_share=fitted_line(
            counts, [s.idle.processor_seconds / s.idle.seconds for s in sizes]
        ),
        change_microseconds=fitted_line(
            [s.changes.traffic.updates / s.changes_made for s in sizes],
            [_beyond_idle(s, s.changes) * 1e6 / s.changes_made for s in sizes],
        ),
        update_bytes=[
            round(s.changes.traffic.update_bytes / s.changes.traffic.updates, 1)
            for s in sizes
        ],
        restart_milliseconds=[
            round(_beyond_idle(s, s.restart) * 1e3 / s.nodes, 3) for s in sizes
        ],
        restart_bytes=[round(s.restart.traffic.received_bytes / s.nodes, 1) for s in sizes],
        idle_received_bytes_per_node_second=[
            round(s.idle.traffic.received_bytes / s.idle.seconds / s.nodes, 2)
            for s in sizes
        ],
        idle_sent_bytes_per_node_second=[
            round(s.idle.traffic.sent_bytes / s.idle.seconds / s.nodes, 2) for s in sizes
        ],
    )


@click.command()
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--nodes", type=int, multiple=True, default=NODE_COUNTS, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(seconds: float, nodes: tuple[int, ...], output: Path | None) -> None:
    """Measure one relay at several numbers of nodes."""
    sizes = [run_to_end(measure_size(count, seconds)) for count in nodes]
    write_result(summarise(sizes, FleetLayout()), output)


if __name__ == "__main__":
    main()
