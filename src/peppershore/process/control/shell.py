"""Runs a control replica as a process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from peppershore.process.consensus.replica_process import ReplicaPlace, ReplicaProcess
from peppershore.process.consensus.replica_shell import ReplicaShell
from peppershore.process.control.clock import ClockObserved
from peppershore.process.control.core import ControlCore
from peppershore.process.settings import ControlSettings
from peppershore.process.status_page import STATUS_PATH, status_page

CLOCK_SECONDS = 1.0
NANOSECONDS_PER_MILLISECOND = 1_000_000


async def run_control(
    settings: ControlSettings, on_ready: Callable[[int], None] | None = None
) -> None:
    """Run a control replica until its planned stop; tell ``on_ready`` the port bound.

    Raises SystemExit if the store is refused.
    """
    place = ReplicaPlace(
        role="control",
        replica=settings.replica,
        cluster=settings.cluster,
        listen=settings.listen,
        admin_listen=settings.admin_listen,
        data_folder=settings.data_folder,
        tls=settings.tls,
    )
    process = ReplicaProcess(place, lambda stored: ControlCore(settings, stored))
    state = process.core.state
    process.metrics.gauge("version", "Newest accepted version.", lambda: state.tree.version)
    clock = asyncio.get_running_loop().create_task(_observe_clock(process.shell))
    pages = {
        STATUS_PATH: lambda _query: status_page(process.core.status(), state.tree),
    }
    await process.serve(on_ready, pages)
    clock.cancel()


async def _observe_clock(shell: ReplicaShell) -> None:
    while True:
        shell.dispatch(ClockObserved(time.time_ns() // NANOSECONDS_PER_MILLISECOND))
        await asyncio.sleep(CLOCK_SECONDS)
