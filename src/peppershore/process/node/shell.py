"""Runs a node as a process: its core, its disk and its data plane."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, ClassVar

import msgspec
from returns.result import Failure

from peppershore.process import events
from peppershore.process.admin_http import AdminServer, Readiness
from peppershore.process.claims.node_claims import node_claims
from peppershore.process.commands import Notice
from peppershore.process.configuration_page import (
    CONFIGURATION_PATH,
    configuration_page,
)
from peppershore.process.http_service import HttpService
from peppershore.process.link_report import LinkReporter, TrafficFigures
from peppershore.process.link_security import LinkSecurity
from peppershore.process.logging import LogIdentity
from peppershore.process.metrics import ProcessMetrics
from peppershore.process.node.back_end_api import MAX_BODY_BYTES, BackEndApi
from peppershore.process.node.commands import (
    BackEndViewed,
    ConfigurationSwapped,
    DrainBackend,
    EndpointsSwapped,
    PersistSnapshot,
    QuarantineChanged,
    QuotaAnswered,
)
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.node.data.gauges import add_call_gauges
from peppershore.process.node.data_plane import DataPlane
from peppershore.process.node.inputs import (
    BackendDrained,
    BackEndEnded,
    BackEndLeft,
    BackEndNotThere,
    BackEndReportRefused,
    BackendStateChanged,
    EvidenceGathered,
    NodeSeedsChanged,
    QuotaWanted,
    SuspectEndedWell,
)
from peppershore.process.node.storage import NodeRecord, NodeStorage
from peppershore.process.seeds import seed_relays
from peppershore.process.settings import NodeSettings
from peppershore.process.settings_watch import SettingsWatch
from peppershore.process.shell import NoticeSink, Shell
from peppershore.process.signals import stop_on_signals

LAST_ANNOUNCEMENT_SECONDS = 0.1
"""Time to send the last state of the local back end before the links are closed."""

EXIT_SECONDS = 0.5
"""Time reserved for the process to exit after its drain."""

CLAIMS_STORED_SECONDS = 2.0
"""Time limit of a planned stop until the claims group has stored the node's last messages.

These are the results of calls with an idempotency key, and claims that are given back.
"""


class StoredStateUnusable(Notice, frozen=True):
    """The node's state file cannot be used; the node accepts only confirmed versions."""

    level: ClassVar[str] = "warning"
    path: str
    reason: str
    advice: str


class NodeShell(Shell):
    """Executes the commands of a node core."""

    def __init__(
        self,
        settings: NodeSettings,
        core: NodeCore,
        data_plane: DataPlane,
        notice_sink: NoticeSink,
        security: LinkSecurity,
    ) -> None:
        """Connect ``core`` to ``data_plane`` and to the node's state file."""
        super().__init__(
            core, notice_sink, security.client, security.server, security.authorize
        )
        self._settings = settings
        self._node_core = core
        self._data_plane = data_plane
        self._storage = NodeStorage(settings.data_folder)
        self._disk = ThreadPoolExecutor(max_workers=1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.handle(ConfigurationSwapped, self._use_configuration)
        self.handle(EndpointsSwapped, self._use_endpoints)
        self.handle(PersistSnapshot, self._persist)
        self.handle(DrainBackend, self._drain)
        self.handle(BackEndViewed, self._use_back_end)
        self.handle(QuarantineChanged, self._use_quarantine)
        self.handle(QuotaAnswered, self._use_grants)
        data_plane.calls.quotas.on_request = lambda ask: self.dispatch(QuotaWanted(ask))

    def dispatch(self, event: events.Event) -> None:
        """Step the core; pass the time of the latest confirmation to the data plane."""
        super().dispatch(event)
        self._data_plane.calls.freshness.confirmed(self._node_core.confirmed_at)

    def _use_configuration(self, command: ConfigurationSwapped) -> None:
        self._data_plane.use_configuration(command.active)

    def _use_endpoints(self, command: EndpointsSwapped) -> None:
        self._data_plane.use_endpoints(command.endpoints)

    def _use_back_end(self, command: BackEndViewed) -> None:
        self._data_plane.use_back_end(command.view)

    def _use_quarantine(self, command: QuarantineChanged) -> None:
        self._data_plane.calls.quarantine.use(command.records)

    def _use_grants(self, command: QuotaAnswered) -> None:
        self._data_plane.calls.quotas.answered(command.granted)

    def _persist(self, command: PersistSnapshot) -> None:
        self._run(self._save(command))

    async def _save(self, command: PersistSnapshot) -> None:
        """Write the state file on a separate thread: a slow disk must not delay calls."""
        record = NodeRecord(
            self._settings.cluster,
            self._node_core.incarnation,
            command.snapshot.version,
            command.snapshot,
        )
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._disk, self._storage.save, record)
        except OSError as problem:
            self.dispatch(events.RecordsFailed(command.token, str(problem)))
            return
        self.dispatch(events.RecordsPersisted(command.token))

    def _drain(self, command: DrainBackend) -> None:
        del command
        self._run(self._drain_backend())

    async def _drain_backend(self) -> None:
        self._data_plane.begin_drain()
        await self._data_plane.drained(stop_bound_seconds(self._settings))
        self.dispatch(BackendDrained())

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def stop_bound_seconds(settings: NodeSettings) -> float:
    """Return the maximum time in seconds that a planned stop waits for calls."""
    if settings.stop_grace_seconds > 0.0:
        return max(0.0, settings.stop_grace_seconds - EXIT_SECONDS)
    return settings.stop_bound_milliseconds / 1_000


def load_memory(settings: NodeSettings, notice_sink: NoticeSink) -> NodeMemory:
    """Load the stored state of the node, with a new incarnation for this start."""
    started_milliseconds = int(time.time() * 1_000)
    if not settings.data_folder:
        return NodeMemory(started_milliseconds)
    storage = NodeStorage(settings.data_folder)
    loaded = storage.load()
    if isinstance(loaded, Failure):
        problem = loaded.failure()
        notice_sink(StoredStateUnusable(problem.path, problem.reason, problem.advice))
        return NodeMemory(started_milliseconds)
    record = loaded.unwrap()
    if record is None or record.cluster != settings.cluster:
        return NodeMemory(started_milliseconds)
    incarnation = max(record.incarnation + 1, started_milliseconds)
    return NodeMemory(incarnation, record.floor, record.snapshot)


def _with_seeds(settings: NodeSettings) -> NodeSettings:
    """Return the settings with ``relays`` replaced by the relays of the hubs in ``seeds``.

    ``seeds`` are addresses of hubs; settings without any are returned unchanged.
    """
    if not settings.seeds:
        return settings
    relays = seed_relays(settings.seeds, settings.relay_port)
    return msgspec.structs.replace(settings, relays=relays)


async def run_node(
    settings: NodeSettings,
    on_ready: Callable[[int], None] | None = None,
    watch: SettingsWatch[NodeSettings] | None = None,
) -> None:
    """Run a node until its planned stop; call ``on_ready`` with the port for callers.

    ``watch`` reports changed settings, of which only ``seeds`` is applied.
    """
    settings = _with_seeds(settings)
    metrics = ProcessMetrics(LogIdentity("node", settings.node))
    security = LinkSecurity("node", settings.tls)
    data_plane = DataPlane(
        settings,
        metrics.notice,
        client_tls=security.client,
        server_tls=security.server,
        authorize=security.authorize,
    )
    claims = node_claims(settings, metrics, security)
    if claims is not None:
        data_plane.use_claims(claims)
    addresses = await data_plane.start()
    core = NodeCore(settings, load_memory(settings, metrics.notice), addresses.internal)
    shell = NodeShell(settings, core, data_plane, metrics.notice, security)
    _pass_events(data_plane, shell)
    reports = HttpService(_back_end_api(shell).answer, MAX_BODY_BYTES)
    if settings.back_end_listen:
        await reports.start(settings.back_end_listen)
    if watch is not None:
        watch.start(
            lambda changed: shell.dispatch(NodeSeedsChanged(_with_seeds(changed).relays))
        )
    _add_gauges(metrics, core, shell)
    add_call_gauges(metrics, data_plane)
    reporter = _start_reporter(settings, metrics)
    security.start(metrics)
    pages = {
        CONFIGURATION_PATH: lambda _query: configuration_page(
            settings.node, data_plane.calls.configuration
        )
    }
    admin = AdminServer(metrics, lambda: _readiness(core, data_plane), pages)
    if settings.admin_listen:
        await admin.start(settings.admin_listen)
    extra_admin = AdminServer(metrics, lambda: _readiness(core, data_plane), pages)
    if settings.metrics_listen:
        await extra_admin.start(settings.metrics_listen)
    stop_on_signals(shell)
    shell.start()
    if on_ready is not None:
        on_ready(addresses.callers_port)
    await shell.stopped.wait()
    reporter.stop()
    await asyncio.sleep(LAST_ANNOUNCEMENT_SECONDS)
    await shell.close()
    await data_plane.close()
    if claims is not None:
        await claims.settle(CLAIMS_STORED_SECONDS)
        await claims.close()
    await admin.close()
    await extra_admin.close()
    await reports.close()
    if watch is not None:
        watch.stop()
    security.close()


def _pass_events(data_plane: DataPlane, shell: Shell) -> None:
    """Pass what the data plane sees of the local back end to the core, as events."""
    data_plane.on_backend_state(lambda state: shell.dispatch(BackendStateChanged(state)))
    data_plane.on_back_end_absent(
        lambda life, is_replaced: shell.dispatch(BackEndNotThere(life, is_replaced))
    )
    data_plane.on_back_end_leaving = lambda life: shell.dispatch(
        BackEndLeft(life.instance, life.born)
    )
    data_plane.on_back_end_ended = lambda life, under: shell.dispatch(
        BackEndEnded(life, under)
    )
    data_plane.on_evidence = lambda began, routes: shell.dispatch(
        EvidenceGathered(began, routes)
    )
    data_plane.calls.quarantine.on_cleared = lambda key: shell.dispatch(
        SuspectEndedWell(key)
    )


def _back_end_api(shell: Shell) -> BackEndApi:
    return BackEndApi(
        shell.dispatch, lambda reason: shell.dispatch(BackEndReportRefused(reason))
    )


def _start_reporter(settings: NodeSettings, metrics: ProcessMetrics) -> LinkReporter:
    """Report the bytes on links as metrics and, if configured, as log lines."""
    metrics.add_source(TrafficFigures())
    reporter = LinkReporter(
        settings.link_megabits, settings.link_report_milliseconds, metrics.notice
    )
    reporter.start()
    return reporter


def _add_gauges(metrics: ProcessMetrics, core: NodeCore, shell: Shell) -> None:
    metrics.gauge(
        "back_end_reports_unused",
        "Reports of the local back end that were not used.",
        lambda: core.unusable_reports,
    )
    metrics.gauge("bytes_sent", "Bytes sent on links.", lambda: shell.bytes_sent)
    metrics.gauge(
        "bytes_received", "Bytes received on links.", lambda: shell.bytes_received
    )
    metrics.gauge(
        "version",
        "Version in effect at this node.",
        lambda: core.holder.effective_version,
    )
    metrics.gauge("endpoints", "Back ends known.", lambda: len(core.known.endpoints))


def _readiness(core: NodeCore, data_plane: DataPlane) -> Readiness:
    if data_plane.draining:
        return Readiness(False, "a planned stop is under way")
    if core.holder.holds_nothing:
        return Readiness(False, "no configuration is held yet")
    return Readiness(True)
