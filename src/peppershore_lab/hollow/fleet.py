"""Starts hollow processes, sends them orders and joins their reports."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from peppershore.process.settings import PeerRelay
from peppershore_lab.hollow.layout import FleetLayout
from peppershore_lab.hollow.protocol import (
    AnyOrder,
    Collect,
    HollowReport,
    HollowTask,
    Stop,
)

MAX_REPORT_BYTES = 256 << 20
STOP_SECONDS = 20.0


class HollowFleet:
    """The hollow processes of a run; use as an asynchronous context manager."""

    def __init__(
        self, layout: FleetLayout, relays: tuple[PeerRelay, ...], processes: int
    ) -> None:
        """Split the layout's nodes evenly over ``processes``."""
        self._tasks = [
            HollowTask(layout=layout, first=first, stride=processes, relays=relays)
            for first in range(processes)
        ]
        self._processes: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> HollowFleet:
        """Start the processes and give each its task."""
        for task in self._tasks:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "peppershore_lab.hollow",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=MAX_REPORT_BYTES,
            )
            self._processes.append(process)
            _write_line(process, task)
        return self

    async def __aexit__(self, *_problem: object) -> None:
        """Ask each process to stop; kill, by its id, what does not end in time."""
        for process in self._processes:
            if process.returncode is None:
                _write_line(process, Stop())
        for process in self._processes:
            try:
                await asyncio.wait_for(process.communicate(), STOP_SECONDS)
            except TimeoutError:
                process.kill()
                await process.wait()

    async def order(self, order: AnyOrder) -> list[HollowReport]:
        """Send one order to every process; give their reports."""
        for process in self._processes:
            _write_line(process, order)
        return list(await asyncio.gather(*map(_read_report, self._processes)))

    async def collect(self) -> list[HollowReport]:
        """Give the reports of every process."""
        return await self.order(Collect())


def _write_line(process: asyncio.subprocess.Process, value: AnyOrder | HollowTask) -> None:
    assert process.stdin is not None
    process.stdin.write(msgspec.json.encode(value) + b"\n")


async def _read_report(process: asyncio.subprocess.Process) -> HollowReport:
    assert process.stdout is not None
    line = await process.stdout.readline()
    assert line, f"hollow process {process.pid} ended"
    return msgspec.json.decode(line, type=HollowReport)
