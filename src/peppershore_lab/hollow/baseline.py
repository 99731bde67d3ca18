"""Runs the baseline of ``naive`` beside a scale run and measures it."""

from __future__ import annotations

import asyncio
import sys
import time

import msgspec

from peppershore_lab.hollow.layout import FleetLayout
from peppershore_lab.hollow.measure import MILLISECONDS, Distribution, distribution
from peppershore_lab.hollow.naive import NaiveOrder, NaiveReport, PusherTask, SinkTask

POLL_SECONDS = 0.05
CHANGE_TIMEOUT_SECONDS = 120.0
STOP_SECONDS = 20.0


class BaselineResult(msgspec.Struct, frozen=True, kw_only=True):
    """The baseline's cost for some changes, one after the other."""

    changes: int
    nodes: int
    tree_bytes: int
    bytes_per_change: float
    convergence_milliseconds: Distribution
    pusher_cpu_seconds_per_change: float
    node_cpu_seconds_per_change: float


class NaiveProcess:
    """One process of the baseline."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Take a process that was started."""
        self._process = process

    async def ask(self, message: PusherTask | SinkTask | NaiveOrder) -> NaiveReport:
        """Send one line; give the report that answers it."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write(msgspec.json.encode(message) + b"\n")
        line = await self._process.stdout.readline()
        return msgspec.json.decode(line, type=NaiveReport)

    async def stop(self) -> None:
        """End its input; kill it, by its id, if it does not end in time."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.communicate(), STOP_SECONDS)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def _start() -> NaiveProcess:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "peppershore_lab.hollow.naive",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    return NaiveProcess(process)


async def run_baseline(layout: FleetLayout, processes: int, changes: int) -> BaselineResult:
    """Push ``changes`` whole configurations to the layout's nodes, one at a time."""
    pushers = [await _start() for _ in range(layout.relays)]
    sinks = [await _start() for _ in range(processes)]
    try:
        ports = [(await pusher.ask(PusherTask(layout))).port for pusher in pushers]
        links = [layout.nodes // processes] * processes
        links[0] += layout.nodes % processes
        await asyncio.gather(
            *(
                sink.ask(SinkTask(tuple(ports), count))
                for sink, count in zip(sinks, links, strict=True)
            )
        )
        return await _measure(layout, pushers, sinks, changes)
    finally:
        for process in [*pushers, *sinks]:
            await process.stop()


async def _measure(
    layout: FleetLayout,
    pushers: list[NaiveProcess],
    sinks: list[NaiveProcess],
    changes: int,
) -> BaselineResult:
    before_pushers = await _reports(pushers)
    before_sinks = await _reports(sinks)
    spans = [
        await _one_change(layout, pushers, sinks, number + 1) for number in range(changes)
    ]
    after_pushers = await _reports(pushers)
    after_sinks = await _reports(sinks)
    sent = sum(report.bytes for report in after_pushers)
    return BaselineResult(
        changes=changes,
        nodes=layout.nodes,
        tree_bytes=sent // (changes * layout.nodes),
        bytes_per_change=sent / changes,
        convergence_milliseconds=distribution(spans),
        pusher_cpu_seconds_per_change=_cpu(before_pushers, after_pushers) / changes,
        node_cpu_seconds_per_change=_cpu(before_sinks, after_sinks) / changes,
    )


async def _one_change(
    layout: FleetLayout, pushers: list[NaiveProcess], sinks: list[NaiveProcess], number: int
) -> float:
    started = time.monotonic()
    await asyncio.gather(*(pusher.ask(NaiveOrder(number)) for pusher in pushers))
    deadline = started + CHANGE_TIMEOUT_SECONDS
    while True:
        reports = await _reports(sinks)
        if sum(report.messages for report in reports) >= number * layout.nodes:
            break
        assert time.monotonic() < deadline, "the baseline did not converge"
        await asyncio.sleep(POLL_SECONDS)
    return (max(report.last_at for report in reports) - started) * MILLISECONDS


async def _reports(processes: list[NaiveProcess]) -> list[NaiveReport]:
    return list(await asyncio.gather(*(process.ask(NaiveOrder()) for process in processes)))


def _cpu(before: list[NaiveReport], after: list[NaiveReport]) -> float:
    used = sum(report.cpu_seconds for report in after)
    return used - sum(report.cpu_seconds for report in before)
