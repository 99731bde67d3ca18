"""Runs a control replica as a process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from peppershore.connection.messages.operators import StatusAnswered
from peppershore.process.consensus.replica_process import ReplicaPlace, ReplicaProcess
from peppershore.process.consensus.replica_shell import ReplicaShell
from peppershore.process.control.clock import ClockObserved
from peppershore.process.control.core import ControlCore
from peppershore.process.control.progress import (
    MILLISECONDS_PER_SECOND,
    RELAY_SILENT_SECONDS,
)
from peppershore.process.settings import ControlSettings
from peppershore.process.status_page import STATUS_PATH, status_page

CLOCK_SECONDS = 1.0
NANOSECONDS_PER_MILLISECOND = 1_000_000


async def run_control(
    settings: ControlSettings, on_ready: Callable[[int], None] | None = None
) -> None:
    """Run a control replica until its planned stop.

    ``on_ready`` is called with the bound port. Raises SystemExit if the store is refused.
    """
    place = ReplicaPlace.of("control", settings)
    process = ReplicaProcess(place, lambda stored: ControlCore(settings, stored))
    state = process.core.state
    _add_gauges(process)
    clock = asyncio.get_running_loop().create_task(_observe_clock(process.shell))
    pages = {
        STATUS_PATH: lambda _query: status_page(process.core.status(), state.tree),
    }
    await process.serve(on_ready, pages)
    clock.cancel()


def _add_gauges(process: ReplicaProcess[ControlCore]) -> None:
    """Add gauges of what this replica knows of the distribution of edits.

    Rotations are counted only while the replica leads.
    """
    gauge = process.metrics.gauge
    core = process.core
    gauge("version", "Newest accepted version.", lambda: core.state.tree.version)
    gauge(
        "in_force",
        "Version that every node of every relay that counts holds.",
        lambda: core.status().in_force,
    )
    gauge("relays", "Relays that count.", lambda: len(core.status().relays))
    gauge(
        "silent_relays",
        "Relays without report for a while, or only heard of by others.",
        lambda: _silent_relays(core.status()),
    )
    gauge(
        "lagging_nodes",
        "Nodes that relays name as lagging, a bounded sample of each.",
        lambda: sum(len(relay.lagging) for relay in core.status().relays),
    )
    gauge(
        "rotations_waiting",
        "Secrets whose signers wait, as the leader knows.",
        lambda: len(core.status().rotations),
    )


def _silent_relays(status: StatusAnswered) -> int:
    limit = RELAY_SILENT_SECONDS * MILLISECONDS_PER_SECOND
    silent = [item for item in status.relays if item.report_age_milliseconds >= limit]
    return len(silent) + len(status.relays_awaited)


async def _observe_clock(shell: ReplicaShell) -> None:
    while True:
        shell.dispatch(ClockObserved(time.time_ns() // NANOSECONDS_PER_MILLISECOND))
        await asyncio.sleep(CLOCK_SECONDS)
