"""Runs a control replica as a process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from returns.result import Failure

from peppershore.process.admin_http import AdminServer, Readiness
from peppershore.process.commands import Notice
from peppershore.process.consensus.replica_shell import ReplicaShell
from peppershore.process.control.clock import ClockObserved
from peppershore.process.control.core import ControlCore
from peppershore.process.logging import LogIdentity
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.settings import ControlSettings
from peppershore.process.signals import stop_on_signals
from peppershore.process.storage.log_store import OpenedStore, open_store

CLOCK_SECONDS = 1.0
NANOSECONDS_PER_MILLISECOND = 1_000_000
EXIT_STORE_REFUSED = 3


class StoreNotOpened(Notice, frozen=True):
    """The replica's store is damaged, newer, foreign or in use; nothing was changed."""

    level = "error"
    path: str
    refusal: str
    detail: str


async def run_control(
    settings: ControlSettings, on_ready: Callable[[int], None] | None = None
) -> None:
    """Run a control replica until its planned stop; tell ``on_ready`` the port bound.

    Raises SystemExit if the store is refused.
    """
    metrics = ProcessMetrics(LogIdentity("control", settings.replica))
    opened = open_store(Path(settings.data_folder), settings.cluster, settings.replica)
    if isinstance(opened, Failure):
        refused = opened.failure()
        metrics.notice(StoreNotOpened(refused.path, refused.refusal.value, refused.detail))
        raise SystemExit(EXIT_STORE_REFUSED)
    await _serve(settings, opened.unwrap(), metrics, on_ready)


async def _serve(
    settings: ControlSettings,
    opened: OpenedStore,
    metrics: ProcessMetrics,
    on_ready: Callable[[int], None] | None,
) -> None:
    core = ControlCore(settings, opened.stored)
    shell = ReplicaShell(core, opened.store, metrics.notice)
    _add_gauges(metrics, core, shell)
    stop_on_signals(shell)
    host, _, port = settings.listen.rpartition(":")
    bound_port = await shell.listen(host, int(port))
    admin = AdminServer(metrics, lambda: _readiness(core))
    if settings.admin_listen:
        await admin.start(settings.admin_listen)
    clock = asyncio.get_running_loop().create_task(_observe_clock(shell))
    shell.start()
    if on_ready is not None:
        on_ready(bound_port)
    await shell.stopped.wait()
    clock.cancel()
    await admin.close()
    await shell.close()
    opened.store.close()


async def _observe_clock(shell: ReplicaShell) -> None:
    while True:
        shell.dispatch(ClockObserved(time.time_ns() // NANOSECONDS_PER_MILLISECOND))
        await asyncio.sleep(CLOCK_SECONDS)


def _readiness(core: ControlCore) -> Readiness:
    if core.consensus.disk_refused:
        return Readiness(False, "the disk refuses writes")
    if not core.consensus.leader:
        return Readiness(False, "no leader is known")
    return Readiness(True)


def _add_gauges(metrics: ProcessMetrics, core: ControlCore, shell: ReplicaShell) -> None:
    metrics.gauge("version", "Newest accepted version.", lambda: core.state.tree.version)
    metrics.gauge("term", "Term of the consensus group.", lambda: core.consensus.term)
    metrics.gauge("leads", "1 while this replica leads.", lambda: float(core.leads))
    metrics.gauge("commit_index", "Committed entries.", lambda: core.consensus.commit_index)
    metrics.gauge("synced_commits", "Synced commits to disk.", lambda: shell.commits)
    metrics.gauge("link_bytes_sent", "Bytes sent on links.", lambda: shell.bytes_sent)
