"""One hollow process: its nodes, the orders it takes and the reports it gives."""

from __future__ import annotations

import asyncio
import resource
import sys
import time
from collections import Counter

import msgspec

from peppershore_lab.hollow.layout import PlacedNode, placed_nodes
from peppershore_lab.hollow.node import HollowNode
from peppershore_lab.hollow.protocol import (
    AnyOrder,
    Applied,
    Collect,
    Cut,
    Heal,
    HollowReport,
    HollowTask,
    Restart,
    Stop,
    Traffic,
)

MAX_LINE_BYTES = 1 << 20
PAGE_BYTES = resource.getpagesize()


class HollowProcess:
    """Runs the nodes of one task and carries out the driver's orders."""

    def __init__(self, task: HollowTask) -> None:
        """Make the nodes; none starts before ``run``."""
        self._applied: list[Applied] = []
        self._traffic: Counter[str] = Counter()
        self._traffic_bytes: Counter[str] = Counter()
        self._nodes = [
            HollowNode(placed, task, self._record_applied, self._record_message)
            for placed in _placed(task)
        ]

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Start all nodes, then carry out orders until ``Stop`` or end of input."""
        for node in self._nodes:
            node.start()
        while line := await reader.readline():
            order = msgspec.json.decode(line, type=AnyOrder)
            await self._carry_out(order)
            _print_line(self.report())
            if isinstance(order, Stop):
                return
        await self._carry_out(Stop())

    async def _carry_out(self, order: AnyOrder) -> None:
        match order:
            case Cut():
                for node in self._nodes:
                    node.cut()
            case Heal():
                for node in self._nodes:
                    node.heal()
            case Restart(zone=zone):
                for node in self._nodes:
                    if zone in ("", node.placed.scope.zone):
                        await node.restart()
            case Stop():
                for node in self._nodes:
                    await node.close()
            case Collect():
                pass

    def report(self) -> HollowReport:
        """Give the state now and what was applied since the last report."""
        applied = tuple(self._applied)
        self._applied.clear()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return HollowReport(
            at=time.monotonic(),
            nodes=len(self._nodes),
            holding=sum(node.version > 0 for node in self._nodes),
            connected=sum(node.connected for node in self._nodes),
            lowest_version=min(node.version for node in self._nodes),
            applied=applied,
            steps_back=sum(node.steps_back for node in self._nodes),
            traffic=self._traffic_rows(),
            bytes_received=sum(node.bytes_received for node in self._nodes),
            bytes_sent=sum(node.bytes_sent for node in self._nodes),
            cpu_seconds=usage.ru_utime + usage.ru_stime,
            resident_bytes=_resident_bytes(),
        )

    def _traffic_rows(self) -> tuple[Traffic, ...]:
        return tuple(
            Traffic(name, count, self._traffic_bytes[name])
            for name, count in sorted(self._traffic.items())
        )

    def _record_applied(self, applied: Applied) -> None:
        self._applied.append(applied)

    def _record_message(self, name: str, size: int) -> None:
        self._traffic[name] += 1
        self._traffic_bytes[name] += size


def _placed(task: HollowTask) -> list[PlacedNode]:
    return [
        node
        for node in placed_nodes(task.layout)
        if node.number % task.stride == task.first
    ]


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _print_line(report: HollowReport) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")
    sys.stdout.buffer.flush()


async def run_hollow() -> None:
    """Read the task from the first line of standard input, then run it."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    task = msgspec.json.decode(await reader.readline(), type=HollowTask)
    await HollowProcess(task).run(reader)
