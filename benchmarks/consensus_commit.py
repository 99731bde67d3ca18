"""Commit latency, throughput and processor time of a control group, by its size.

Real replicas on loopback with their stores on one disk.  For each size:

* one operator sends edit after edit: time to the answer (a quorum has synced), and
  from the answer until the last replica has handed the edit to its relays;
* many operators at once: accepted edits a second, and processor time an edit;
* the same replicas without edits: processor time of heartbeats alone;
* the leader is killed (SIGKILL): time until another replica accepts an edit.

    python -m benchmarks.consensus_commit --output results/consensus_commit.json
"""

from __future__ import annotations

import asyncio
import itertools
import os
import statistics
import tempfile
import time
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Any

import click
import msgspec

from benchmarks.measuring import (
    Machine,
    command_of,
    machine_now,
    processor_seconds,
    write_result,
)
from peppershore.connection.messages.relay import EditsCommitted, FollowRequest
from peppershore.version.model import Edit, EditAccepted, Overrides, SetOverrides
from peppershore_lab.peer_link import PeerLink
from peppershore_lab.replica_group import CLUSTER, ReplicaGroup, submit_on

WAIT_SECONDS = 5.0
WARM_UP_EDITS = 50
SERVICES = 20
FAILOVERS = 10
FAILOVER_PAUSE_SECONDS = 0.01
FAILOVER_REST_SECONDS = 1.0
SYNC_BYTES = 4_096
SYNC_TRIES = 200
MILLISECONDS = 1_000
MICROSECONDS = 1_000_000


class Spread(msgspec.Struct, frozen=True):
    """Median, 99th percentile and largest of some times, in milliseconds."""

    p50_milliseconds: float
    p99_milliseconds: float
    max_milliseconds: float


class SizeResult(msgspec.Struct, frozen=True):
    """What one group size gave."""

    replicas: int
    edits: int
    commit: Spread
    last_replica_after_commit: Spread
    operators: int
    accepted_a_second: float
    leader_microseconds_an_edit: float
    follower_microseconds_an_edit: float
    idle_leader_core_percent: float
    idle_follower_core_percent: float
    accepted_again_after_leader_killed: Spread | None
    """None for a single replica."""


class Result(msgspec.Struct, frozen=True):
    """One run of the benchmark."""

    command: str
    machine: Machine
    disk_sync: Spread
    """A bare write of 4 KiB and ``fdatasync`` on the same disk, for comparison."""
    sizes: tuple[SizeResult, ...]


class Follower:
    """Notes when a replica hands each version to a relay."""

    def __init__(self, link: PeerLink) -> None:
        """Follow on this link."""
        self.link = link
        self.seen: dict[int, float] = {}
        self._arrived = asyncio.Event()
        link.send(FollowRequest(CLUSTER, "benchmark", "here", 0))
        self.task = asyncio.get_running_loop().create_task(self._follow())

    async def seen_at(self, version: int) -> float:
        """Wait for a version; give the monotonic time at which it came."""
        async with asyncio.timeout(WAIT_SECONDS):
            while version not in self.seen:
                self._arrived.clear()
                await self._arrived.wait()
        return self.seen[version]

    async def _follow(self) -> None:
        while True:
            message = await self.link.receive(float("inf"))
            now = time.monotonic()
            if isinstance(message, EditsCommitted):
                self.seen |= {each.version: now for each in message.edits}
                self._arrived.set()
            elif message is None:
                return


async def measure_size(size: int, folder: Path, edits: int, operators: int) -> SizeResult:
    """Measure a group of so many replicas."""
    names = [f"c{number}" for number in range(1, size + 1)]
    async with ReplicaGroup(folder, names) as group:
        await group.start()
        await group.submit(_edit("first", 0))
        leader = await group.leader()
        followers = [name for name in names if name != leader]
        commit, spread = await _measure_latency(group, leader, edits)
        idle = await _processor_time(group, names, asyncio.sleep(WAIT_SECONDS))
        accepted = 0
        started = time.monotonic()

        async def load() -> None:
            nonlocal accepted
            accepted = await _load(group, leader, operators)

        busy = await _processor_time(group, names, load())
        seconds = time.monotonic() - started
        failover = await _measure_failover(group) if followers else None
    return SizeResult(
        replicas=size,
        edits=edits,
        commit=commit,
        last_replica_after_commit=spread,
        operators=operators,
        accepted_a_second=round(accepted / seconds, 1),
        leader_microseconds_an_edit=round(busy[leader] / accepted * MICROSECONDS, 1),
        follower_microseconds_an_edit=round(
            _mean(busy[name] for name in followers) / accepted * MICROSECONDS, 1
        ),
        idle_leader_core_percent=round(100 * idle[leader] / WAIT_SECONDS, 2),
        idle_follower_core_percent=round(
            100 * _mean(idle[name] for name in followers) / WAIT_SECONDS, 2
        ),
        accepted_again_after_leader_killed=failover,
    )


async def _measure_failover(group: ReplicaGroup) -> Spread:
    """Kill the leader again and again; each time until an edit is accepted."""
    times: list[float] = []
    for number in range(FAILOVERS):
        leader = await group.leader()
        others = [name for name in group.processes if name != leader]
        group.kill(leader)
        started = time.monotonic()
        await _accepted_by_any(group, others, _edit("failover", number))
        times.append(time.monotonic() - started)
        await group.start(leader)
        await asyncio.sleep(FAILOVER_REST_SECONDS)
    return _spread(times)


async def _accepted_by_any(group: ReplicaGroup, names: list[str], edit: Edit) -> None:
    """Ask in turn, without redirects, until one of these replicas accepts."""
    for name in itertools.cycle(names):
        link = await _opened(group, name)
        outcome = await submit_on(link, edit)
        link.close()
        if isinstance(outcome, EditAccepted):
            return
        await asyncio.sleep(FAILOVER_PAUSE_SECONDS)


async def _measure_latency(
    group: ReplicaGroup, leader: str, edits: int
) -> tuple[Spread, Spread]:
    link = await _opened(group, leader)
    followers = [Follower(await _opened(group, name)) for name in group.processes]
    commits: list[float] = []
    spreads: list[float] = []
    for number in range(WARM_UP_EDITS + edits):
        started = time.monotonic()
        version = await _accepted(link, _edit("single", number))
        answered = time.monotonic()
        last = max([await each.seen_at(version) for each in followers])
        if number >= WARM_UP_EDITS:
            commits.append(answered - started)
            spreads.append(last - answered)
    for follower in followers:
        follower.task.cancel()
        follower.link.close()
    link.close()
    return _spread(commits), _spread(spreads)


async def _load(group: ReplicaGroup, leader: str, operators: int) -> int:
    """Let operators send edit after edit for a while; give how many were accepted."""
    until = time.monotonic() + WAIT_SECONDS

    async def operate(name: str) -> int:
        link = await _opened(group, leader)
        count = 0
        while time.monotonic() < until:
            await _accepted(link, _edit(name, count))
            count += 1
        link.close()
        return count

    names = (f"operator-{number}" for number in range(operators))
    return sum(await asyncio.gather(*(operate(name) for name in names)))


async def _processor_time(
    group: ReplicaGroup, names: list[str], work: Coroutine[Any, Any, None]
) -> dict[str, float]:
    """Processor seconds of each replica while ``work`` is done."""
    before = {name: processor_seconds(group.processes[name]) for name in names}
    await work
    after = {name: processor_seconds(group.processes[name]) for name in names}
    return {name: after[name] - before[name] for name in names}


async def _opened(group: ReplicaGroup, name: str) -> PeerLink:
    link = await PeerLink.open(group.address(name))
    assert link is not None, f"{name} accepts no link"
    return link


async def _accepted(link: PeerLink, edit: Edit) -> int:
    outcome = await submit_on(link, edit)
    assert isinstance(outcome, EditAccepted), outcome
    return outcome.version


def _edit(operator: str, number: int) -> Edit:
    path = f"/service{number % SERVICES}"
    slots = 1 + number % 1_000
    return Edit(f"{operator}-{number}", (SetOverrides(path, Overrides(slots=slots)),))


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return statistics.fmean(listed) if listed else 0.0


def _spread(seconds: list[float]) -> Spread:
    ordered = sorted(seconds)
    p99 = ordered[min(len(ordered) - 1, round(0.99 * len(ordered)))]
    chosen = (statistics.median(ordered), p99, ordered[-1])
    return Spread(*(round(each * MILLISECONDS, 3) for each in chosen))


def _measure_disk(folder: Path) -> Spread:
    times: list[float] = []
    with (folder / "sync").open("wb") as file:
        for _ in range(SYNC_TRIES):
            started = time.monotonic()
            file.write(b"\0" * SYNC_BYTES)
            file.flush()
            os.fdatasync(file.fileno())
            times.append(time.monotonic() - started)
    return _spread(times)


@click.command()
@click.option("--sizes", default="1,3,5", show_default=True, help="Replicas, by comma.")
@click.option("--edits", default=500, show_default=True, help="Edits one by one.")
@click.option("--operators", default=32, show_default=True, help="Operators at once.")
@click.option("--output", type=click.Path(path_type=Path), help="File for the result.")
def main(sizes: str, edits: int, operators: int, output: Path | None) -> None:
    """Measure control groups of several sizes, one after the other."""
    results: list[SizeResult] = []
    with tempfile.TemporaryDirectory(prefix="peppershore-bench-") as name:
        disk = _measure_disk(Path(name))
        for size in (int(each) for each in sizes.split(",")):
            folder = Path(name) / str(size)
            folder.mkdir()
            results.append(asyncio.run(measure_size(size, folder, edits, operators)))
    machine = machine_now()
    write_result(
        Result(command_of("consensus_commit"), machine, disk, tuple(results)), output
    )


if __name__ == "__main__":
    main()
