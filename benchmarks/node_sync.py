"""What syncing a node's file costs the calls, on the loop and on a thread.

Run: ``python -m benchmarks.node_sync [--folder F] [--output results/node_sync.json]``

A node stores each version before it uses it.  This measures how long one
replacement of the file takes, and by how much a loop that wakes every
millisecond is late while versions are stored in one way or the other.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import msgspec

from benchmarks.measuring import Machine, command_of, machine_now, write_result
from peppershore.process.node.storage import NodeRecord, NodeStorage
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.tree import apply_edit, empty_tree
from peppershore_lab.hollow.layout import FleetLayout, initial_edit, placed_nodes

VERSIONS = 300
GAP_SECONDS = 0.02
WAKE_SECONDS = 0.001

Save = Callable[[], Awaitable[None]]


class Times(msgspec.Struct, frozen=True):
    """Milliseconds: median, 99th percentile, largest."""

    median: float
    p99: float
    largest: float


class NodeSync(msgspec.Struct, frozen=True):
    """The result; lateness is that of the loop's wake-ups, in milliseconds."""

    command: str
    machine: Machine
    versions: int
    file_bytes: int
    replacement: Times
    lateness_without: Times
    lateness_on_the_loop: Times
    lateness_on_a_thread: Times


def _times(seconds: list[float]) -> Times:
    ordered = sorted(1_000 * each for each in seconds)
    return Times(
        round(statistics.median(ordered), 3),
        round(ordered[round(0.99 * (len(ordered) - 1))], 3),
        round(ordered[-1], 3),
    )


def _record() -> NodeRecord:
    """Give what a node of the scale layout holds."""
    layout = FleetLayout()
    tree = apply_edit(empty_tree(layout.cluster), initial_edit(layout), 1).unwrap().tree
    catalog = ScopeCatalog()
    catalog.load(tree)
    snapshot = catalog.snapshot(next(iter(placed_nodes(layout))).scope)
    return NodeRecord(layout.cluster, 1, snapshot.version, snapshot)


async def _lateness(save: Save | None) -> list[float]:
    """Give how late each wake-up was while versions were stored."""
    late: list[float] = []
    is_over = False

    async def wake() -> None:
        while not is_over:
            due = time.perf_counter() + WAKE_SECONDS
            await asyncio.sleep(WAKE_SECONDS)
            late.append(max(0.0, time.perf_counter() - due))

    waking = asyncio.create_task(wake())
    for _ in range(VERSIONS):
        await asyncio.sleep(GAP_SECONDS)
        if save is not None:
            await save()
    is_over = True
    await waking
    return late


def _measure(folder: Path) -> NodeSync:
    storage = NodeStorage(str(folder))
    record = _record()
    replacements: list[float] = []

    def replace() -> None:
        started = time.perf_counter()
        storage.save(record)
        replacements.append(time.perf_counter() - started)

    async def on_the_loop() -> None:
        replace()

    async def on_a_thread() -> None:
        await asyncio.get_running_loop().run_in_executor(threads, replace)

    with ThreadPoolExecutor(max_workers=1) as threads:
        without = asyncio.run(_lateness(None))
        loop = asyncio.run(_lateness(on_the_loop))
        thread = asyncio.run(_lateness(on_a_thread))
    return NodeSync(
        command=command_of("node_sync"),
        machine=machine_now(),
        versions=VERSIONS,
        file_bytes=sum(path.stat().st_size for path in folder.iterdir()),
        replacement=_times(replacements),
        lateness_without=_times(without),
        lateness_on_the_loop=_times(loop),
        lateness_on_a_thread=_times(thread),
    )


@click.command()
@click.option("--folder", type=click.Path(path_type=Path), default=None)
@click.option("--output", type=click.Path(path_type=Path), default=None)
def main(folder: Path | None, output: Path | None) -> None:
    """Measure in a folder of its own (``--folder``: its parent) and write the result."""
    with tempfile.TemporaryDirectory(dir=folder) as own_folder:
        result = _measure(Path(own_folder))
    write_result(result, output)


if __name__ == "__main__":
    main()
