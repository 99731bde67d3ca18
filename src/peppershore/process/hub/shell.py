"""Runs a hub: a control replica, its relay and the operators' HTTP interface on one loop.

The relay follows only the replica in its own process. When that replica is cut off, the
relay's confirmations become stale and its nodes move to another hub.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from peppershore.process.consensus.joining import SeedsChanged
from peppershore.process.consensus.replica_process import ReplicaPlace, ReplicaProcess
from peppershore.process.control.clock import ClockObserved
from peppershore.process.control.core import ControlCore
from peppershore.process.control.releases import ReleaseAnswered
from peppershore.process.control.rollout_orders import RolloutAnswered
from peppershore.process.http_service import HttpService, ServiceAnswer, ServiceRequest
from peppershore.process.hub.configuration_api import MAX_BODY_BYTES, ConfigurationApi
from peppershore.process.hub.founding_record import FoundingRecord
from peppershore.process.hub.plan import HubPlan, plan_hub, relay_name
from peppershore.process.hub.rollout_api import ROOT as ROLLOUTS
from peppershore.process.hub.rollout_api import RolloutApi
from peppershore.process.link_report import LinkReporter, TrafficFigures
from peppershore.process.link_security import LinkSecurity
from peppershore.process.quarantine.api import ROOT as QUARANTINE
from peppershore.process.quarantine.sharing import PersistQuarantine
from peppershore.process.quarantine.storage import QuarantineKeeper
from peppershore.process.relay.core import RelayCore, RelaysChanged
from peppershore.process.relay.shell import quarantine_api
from peppershore.process.settings import HubSettings, PeerRelay
from peppershore.process.settings_watch import SettingsWatch
from peppershore.process.shell import Shell

MEMBERS_SECONDS = 0.2
"""Interval between checks of the list of hubs; a changed list is sent to the relay."""

CLOCK_SECONDS = 1.0
NANOSECONDS_PER_MILLISECOND = 1_000_000


class Hub:
    """A control replica, a relay and the HTTP interface for operators, in one process."""

    def __init__(self, settings: HubSettings) -> None:
        """Open the replica's store; create replica, relay and HTTP interface.

        Raises SystemExit if the store cannot be used.
        """
        self._settings = settings
        record = FoundingRecord(settings)
        self._plan = plan_hub(settings)
        self._process = _control_process(self._plan, record)
        security = LinkSecurity("relay", settings.relay_tls)
        notice_sink = self._process.metrics.notice
        if record.problem is not None:
            notice_sink(record.problem)
        self._keeper = QuarantineKeeper(settings.data_folder, settings.cluster, notice_sink)
        core = RelayCore(self._plan.relay, self._keeper.load(), keeps_quarantine=True)
        self._relay = Shell(
            core,
            self._process.metrics.notice,
            security.client,
            security.server,
            security.authorize,
        )
        self._relay.handle(PersistQuarantine, self._store_quarantine)
        self._quarantine_api = quarantine_api(core, self._relay)
        self._api = ConfigurationApi(self._process.shell.dispatch)
        self._process.shell.handle(ReleaseAnswered, self._api.answered)
        self._rollout_api = RolloutApi(self._process.shell.dispatch, self._process.core)
        self._process.shell.handle(RolloutAnswered, self._rollout_api.answered)
        self._service = HttpService(self._answer, MAX_BODY_BYTES)
        self._reporter = LinkReporter(0.0, settings.link_report_milliseconds, notice_sink)
        self._process.metrics.add_source(TrafficFigures())
        self._listed: tuple[PeerRelay, ...] = ()
        self._timers: list[asyncio.TimerHandle] = []

    async def serve(self, on_ready: Callable[[int], None] | None) -> None:
        """Run until the planned stop; call ``on_ready`` with the port for operators."""
        loop = asyncio.get_running_loop()
        host, _, port = self._plan.relay.listen.rpartition(":")
        await self._relay.listen(host, int(port))
        bound = await self._service.start(self._settings.api_listen)
        self._observe_clock()
        self._reporter.start()
        self._relay.start()
        loop.call_soon(self._watch_members)
        await self._process.serve(lambda _port: on_ready(bound) if on_ready else None)
        for timer in self._timers:
            timer.cancel()
        self._reporter.stop()
        await self._service.close()
        await self._relay.close()
        await self._keeper.close()

    async def _answer(self, request: ServiceRequest) -> ServiceAnswer:
        """Route a request to the quarantine, roll-out or configuration interface."""
        subject = request.path.strip("/").partition("/")[0]
        if subject == QUARANTINE:
            return await self._quarantine_api.answer(request)
        if subject == ROLLOUTS:
            return await self._rollout_api.answer(request)
        return await self._api.answer(request)

    def _store_quarantine(self, command: PersistQuarantine) -> None:
        self._keeper.keep(command.records)

    def reload(self, settings: HubSettings) -> None:
        """Apply changed settings, of which only ``seeds`` is used."""
        plan = plan_hub(settings)
        self._process.shell.dispatch(SeedsChanged(plan.control.seeds))

    def _watch_members(self) -> None:
        """Check the group members periodically; report changes to this hub's relay.

        The relay receives the list of all relays, one in each member's hub.
        """
        members = self._process.core.consensus.membership.members
        relays = tuple(
            PeerRelay(
                name=relay_name(member.address, self._settings),
                zone="",
                address=relay_name(member.address, self._settings),
            )
            for member in members
        )
        if relays != self._listed:
            self._listed = relays
            self._relay.dispatch(RelaysChanged(relays))
        self._later(MEMBERS_SECONDS, self._watch_members)

    def _observe_clock(self) -> None:
        milliseconds = time.time_ns() // NANOSECONDS_PER_MILLISECOND
        self._process.shell.dispatch(ClockObserved(milliseconds))
        self._later(CLOCK_SECONDS, self._observe_clock)

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        handle = asyncio.get_running_loop().call_later(seconds, action)
        self._timers = [timer for timer in self._timers if not timer.cancelled()][-4:]
        self._timers.append(handle)


def _control_process(plan: HubPlan, record: FoundingRecord) -> ReplicaProcess[ControlCore]:
    settings = plan.control
    place = ReplicaPlace.of("control", settings)
    return ReplicaProcess(
        place, lambda stored: ControlCore(settings, record.with_first_seeds(stored))
    )


async def run_hub(
    settings: HubSettings,
    on_ready: Callable[[int], None] | None = None,
    watch: SettingsWatch[HubSettings] | None = None,
) -> None:
    """Run a hub until its planned stop; call ``on_ready`` with the port for operators.

    ``watch`` reports changed settings. Raise SystemExit if the store cannot be used.
    """
    hub = Hub(settings)
    if watch is not None:
        watch.start(hub.reload)
    await hub.serve(on_ready)
    if watch is not None:
        watch.stop()
