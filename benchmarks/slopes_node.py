"""Control work of one real node: processor time and memory against what it holds.

Run: ``python -m benchmarks.slopes_node [--output results/slopes_node.json]``

One control replica, one relay, hollow nodes of one zone as its neighbours and
three real nodes with data planes, a back end that accepts, and no callers.
For several numbers of called services, hence of resources and endpoints held:
idle, changes that the real nodes need, and all neighbours leaving and coming
back (endpoint churn).
"""

from __future__ import annotations

import asyncio
import time
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
from peppershore.process.settings import NodeSettings
from peppershore.version.model import Edit, Overrides, SetOverrides
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.members import Member, settings_text
from peppershore_lab.fleet.readiness import fetch
from peppershore_lab.hollow.cluster import PROGRAM, RealCluster
from peppershore_lab.hollow.fleet import HollowFleet
from peppershore_lab.hollow.layout import (
    FleetLayout,
    initial_edit,
    service_name,
    zone_name,
)
from peppershore_lab.hollow.operator import ScaleOperator
from peppershore_lab.hollow.protocol import Restart
from peppershore_lab.run import run_to_end

CALLED_SERVICES = (1, 3, 8, 16)
REAL_NODES = 3
NEIGHBOURS = 1_240
CHANGES_PER_SECOND = 20.0
RELAY_STARTS_SECONDS = 2.5
READY_SECONDS = 30.0
SETTLE_SECONDS = 4.0
CHURN_SECONDS = 12.0
POLL_SECONDS = 0.2
RECEIVED_METRIC = "peppershore_bytes_received"
SENT_METRIC = "peppershore_bytes_sent"


class NodePhase(msgspec.Struct, frozen=True):
    """One phase; means over the real nodes."""

    seconds: float
    core_share: float
    processor_milliseconds: float
    received_bytes: float
    sent_bytes: float


class NodeSize(msgspec.Struct, frozen=True):
    """Real nodes of a service that calls so many others."""

    called_services: int
    resources: int
    endpoints: int
    resident_bytes: int
    idle: NodePhase
    changes_made: int
    changes: NodePhase
    endpoints_churned: int
    churn: NodePhase


class NodeSlopes(msgspec.Struct, frozen=True):
    """All sizes, and lines over the resources held."""

    command: str
    machine: Machine
    sizes: list[NodeSize]
    memory_bytes: Line
    idle_core_share: Line
    change_milliseconds: Line
    churn_microseconds_per_endpoint: float
    churn_bytes_per_endpoint: list[float]
    change_bytes: list[float]


class RealNodes:
    """Some real nodes of the first service; started on entry, stopped on exit."""

    def __init__(self, cluster: RealCluster, layout: FleetLayout, backend: str) -> None:
        """Choose addresses and write settings; ``backend`` accepts connections."""
        self._backend = backend
        self._block = AddressBlock()
        self._cluster = cluster
        self.members = [
            Member(name=f"real{number}", host=self._block.next_host(), zone=zone_name(0))
            for number in range(REAL_NODES)
        ]
        self.processes = [self._process(member, layout) for member in self.members]

    def __enter__(self) -> RealNodes:
        """Start all."""
        for process in self.processes:
            process.start()
        return self

    def __exit__(self, *_problem: object) -> None:
        """Stop all, by their ids."""
        for process in self.processes:
            process.ask_to_stop()
        for process in self.processes:
            process.wait_or_kill()
        self._block.close()

    async def until_ready(self) -> None:
        """Wait until each node says it is ready."""
        deadline = time.monotonic() + READY_SECONDS
        for member in self.members:
            while True:
                page = await fetch(member.admin_address, "/readyz")
                if page is not None and page.status == 200:
                    break
                assert time.monotonic() < deadline, f"{member.name} is not ready"
                await asyncio.sleep(POLL_SECONDS)

    async def gauge(self, name: str) -> float:
        """Give the sum of a gauge over the nodes."""
        total = 0.0
        for member in self.members:
            page = await fetch(member.admin_address, "/metrics")
            assert page is not None, member.name
            lines = page.body.decode().splitlines()
            total += sum(float(line.split()[-1]) for line in lines if _is(line, name))
        return total

    def _process(self, member: Member, layout: FleetLayout) -> ManagedProcess:
        settings = NodeSettings(
            cluster=layout.cluster,
            node=member.name,
            service=service_name(0),
            zone=member.zone,
            listen=member.http_address,
            internal_listen=member.internal_address,
            admin_listen=member.admin_address,
            relays=self._cluster.relays,
            backend=self._backend,
            data_folder=str(self._cluster.folder / member.name),
        )
        path = self._cluster.folder / f"{member.name}.toml"
        path.write_text(settings_text(settings), encoding="utf-8")
        command = (str(PROGRAM), "serve", "node", "--settings", str(path))
        log = self._cluster.folder / f"{member.name}.log"
        return ManagedProcess(member.name, command, log)


class PhaseMeter:
    """Measures the real nodes over phases."""

    def __init__(self, nodes: RealNodes) -> None:
        """Measure these nodes; ``begin`` starts a phase."""
        self._nodes = nodes
        self._at = 0.0
        self._processor = 0.0
        self._received = 0.0
        self._sent = 0.0

    async def begin(self) -> None:
        """Note the totals now."""
        self._received = await self._nodes.gauge(RECEIVED_METRIC)
        self._sent = await self._nodes.gauge(SENT_METRIC)
        self._processor = self._processor_seconds()
        self._at = time.monotonic()

    async def end(self) -> NodePhase:
        """Give what each node used since ``begin``."""
        seconds = time.monotonic() - self._at
        used = (self._processor_seconds() - self._processor) / REAL_NODES
        received = await self._nodes.gauge(RECEIVED_METRIC) - self._received
        sent = await self._nodes.gauge(SENT_METRIC) - self._sent
        return NodePhase(
            seconds=round(seconds, 3),
            core_share=round(used / seconds, 5),
            processor_milliseconds=round(used * 1e3, 2),
            received_bytes=round(received / REAL_NODES, 1),
            sent_bytes=round(sent / REAL_NODES, 1),
        )

    def _processor_seconds(self) -> float:
        return sum(map(processor_seconds, self._nodes.processes))


async def measure_size(called: int, seconds: float) -> NodeSize:
    """Measure real nodes of a service that calls so many others."""
    layout = FleetLayout(
        nodes=NEIGHBOURS, relays=1, zones=1, regions=1, calls_per_service=called
    )
    with RealCluster(layout, replicas=1) as cluster:
        operator = ScaleOperator(cluster.replicas)
        await operator.submit(initial_edit(layout))
        await asyncio.sleep(RELAY_STARTS_SECONDS)
        backend = await _accepting_backend()
        async with HollowFleet(layout, cluster.relays, processes=2) as fleet:
            with RealNodes(cluster, layout, backend) as nodes:
                await nodes.until_ready()
                await asyncio.sleep(SETTLE_SECONDS)
                return await _phases(nodes, operator, fleet, layout, seconds)


async def _accepting_backend() -> str:
    """Listen on a free port; nodes probe whether their back end accepts."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


async def _phases(
    nodes: RealNodes,
    operator: ScaleOperator,
    fleet: HollowFleet,
    layout: FleetLayout,
    seconds: float,
) -> NodeSize:
    meter = PhaseMeter(nodes)
    memory = max(map(resident_bytes, nodes.processes))
    await meter.begin()
    await asyncio.sleep(seconds)
    idle = await meter.end()
    await meter.begin()
    made = await _change_first_service(operator, seconds)
    await asyncio.sleep(0.5)
    changes = await meter.end()
    await meter.begin()
    await fleet.order(Restart(""))
    await asyncio.sleep(CHURN_SECONDS)
    churn = await meter.end()
    services = 1 + layout.calls_per_service
    endpoints = services * layout.nodes // layout.services
    return NodeSize(
        called_services=layout.calls_per_service,
        resources=services * (1 + layout.routes_per_service),
        endpoints=endpoints,
        resident_bytes=memory,
        idle=idle,
        changes_made=made,
        changes=changes,
        endpoints_churned=endpoints,
        churn=churn,
    )


async def _change_first_service(operator: ScaleOperator, seconds: float) -> int:
    loop = asyncio.get_running_loop()
    began = loop.time()
    count = int(seconds * CHANGES_PER_SECOND)
    path = f"/{service_name(0)}/{zone_name(0)}/route0"
    for number in range(count):
        await asyncio.sleep(max(0.0, began + number / CHANGES_PER_SECOND - loop.time()))
        overrides = Overrides(timeout_milliseconds=2_000 + number)
        edit = Edit(f"change-{number}", operations=(SetOverrides(path, overrides),))
        await operator.submit(edit)
    return count


def _is(line: str, name: str) -> bool:
    return line.startswith((f"{name} ", f"{name}{{"))


def summarise(sizes: list[NodeSize]) -> NodeSlopes:
    """Give the lines through the sizes."""
    resources = [float(size.resources) for size in sizes]
    return NodeSlopes(
        command=command_of("slopes_node"),
        machine=machine_now(),
        sizes=sizes,
        memory_bytes=fitted_line(resources, [float(s.resident_bytes) for s in sizes]),
        idle_core_share=fitted_line(resources, [s.idle.core_share for s in sizes]),
        change_milliseconds=fitted_line(
            resources,
            [_beyond_idle(s, s.changes) / s.changes_made for s in sizes],
        ),
        churn_microseconds_per_endpoint=round(_churn_microseconds(sizes), 1),
        churn_bytes_per_endpoint=[
            round(s.churn.received_bytes / s.endpoints_churned, 1) for s in sizes
        ],
        change_bytes=[round(s.changes.received_bytes / s.changes_made, 1) for s in sizes],
    )


def _churn_microseconds(sizes: list[NodeSize]) -> float:
    """Give the cost of an endpoint over all sizes: one is below the clock's steps."""
    spent = sum(_beyond_idle(size, size.churn) for size in sizes)
    endpoints = sum(size.endpoints_churned for size in sizes)
    return max(0.0, spent) * 1e3 / endpoints


def _beyond_idle(size: NodeSize, phase: NodePhase) -> float:
    """Give milliseconds of processor time beyond the idle cost of the same time."""
    return phase.processor_milliseconds - size.idle.core_share * phase.seconds * 1e3


@click.command()
@click.option("--seconds", type=float, default=8.0, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(seconds: float, output: Path | None) -> None:
    """Measure real nodes at several numbers of called services."""
    sizes = [run_to_end(measure_size(called, seconds)) for called in CALLED_SERVICES]
    write_result(summarise(sizes), output)


if __name__ == "__main__":
    main()
