"""The node core as a step function: it maps one event to a list of commands.

``relay_sessions`` decides which relay is used and ``configuration`` which snapshot.
``endpoints`` holds the live endpoints that are known, ``own_endpoint`` that of the local
back end. This module routes events between them.
"""

from __future__ import annotations

import math

from returns.result import Failure

from peppershore.connection.endpoint_packing import unpack_endpoints
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.crashes import CrashesTold
from peppershore.connection.messages.endpoints import (
    EndpointAnnounced,
    EndpointsChanged,
    EndpointsHeld,
    EndpointsPacked,
)
from peppershore.connection.messages.node import (
    Current,
    Freshness,
    NodeAlive,
    NodeHello,
    RelaysListed,
    UpdateApplied,
    UpdateOffered,
    UpdateRefused,
)
from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted
from peppershore.connection.messages.rollouts import BackEndEvidence, EvidenceTold
from peppershore.connection.messages.session import Goodbye, Refused, RetryAfter
from peppershore.connection.update_packing import unpack_update
from peppershore.process import events
from peppershore.process.commands import (
    Command,
    Exit,
    Notice,
    Report,
    SendMessage,
    SetTimer,
)
from peppershore.process.endpoints.table import STATE_GONE, STATE_LEAVING
from peppershore.process.link_numbers import LinkNumbers
from peppershore.process.node import notices
from peppershore.process.node.back_end_reports import (
    STATE_READY,
    BackEndReport,
    BackEndReports,
)
from peppershore.process.node.commands import (
    BackEndViewed,
    ConfigurationSwapped,
    DrainBackend,
    EndpointsSwapped,
    PersistSnapshot,
    QuotaAnswered,
)
from peppershore.process.node.configuration import ConfigurationHolder
from peppershore.process.node.endpoints import KnownEndpoints
from peppershore.process.node.inputs import (
    BackendDrained,
    BackEndEnded,
    BackEndLeft,
    BackEndNotThere,
    BackEndReported,
    BackEndReportRefused,
    BackendStateChanged,
    EvidenceGathered,
    NodeSeedsChanged,
    QuotaWanted,
    SuspectEndedWell,
)
from peppershore.process.node.own_endpoint import OwnEndpoint
from peppershore.process.node.quarantine import NodeQuarantine
from peppershore.process.node.refusals import BUSY, NOT_NEWER, UNCONFIRMED
from peppershore.process.node.relay_sessions import (
    CONNECT_TIMER,
    WATCH_TIMER,
    RelaySession,
    RelaySessions,
)
from peppershore.process.randomness import Randomness
from peppershore.process.settings import NodeSettings, PeerRelay
from peppershore.version.model import Scope, Snapshot, Version
from peppershore.version.snapshot import open_snapshot

PERSIST_TIMER = "node.persist"
PERSIST_RETRY_SECONDS = 1.0
LEAVING_TIMER = "node.leaving"
LEAVING_ANNOUNCED_SECONDS = 1.0
"""Delay from the start of a planned stop until the back end is announced as leaving.

Other nodes continue to send calls to it in the meantime: this node serves callers for some
time in any case, and its back end would be idle otherwise.
"""
SUSPENSION_THRESHOLD_SECONDS = 3.0
"""A process without any event for this long must have been suspended."""
UNUSABLE_REPORT_LOG_SECONDS = 10.0
"""Minimum time between log lines on invalid reports of the local back end.

The first one is logged at once.
"""

MAX_REASON_CHARACTERS = 200
"""Maximum length, in characters, of the reason in a log line on an invalid report."""

MILLISECONDS = 1_000
ROUNDING_MILLISECONDS = 1
"""Tolerance for times on the wire, which are rounded down to whole milliseconds."""


class NodeMemory:
    """State with which a node starts, part of which survives restarts.

    ``incarnation`` is above that of every earlier start. ``floor``, the lowest version
    that the node may still accept, and ``snapshot`` come from the disk, if the node has
    one.
    """

    def __init__(
        self, incarnation: int, floor: Version = 0, snapshot: Snapshot | None = None
    ) -> None:
        """Hold the values; a node without stored state has no floor and no snapshot."""
        self.incarnation = incarnation
        self.floor = floor
        self.snapshot = snapshot


class NodeCore:
    """Decides how a node interacts with its relays; see ``process.core.Core``."""

    def __init__(
        self, settings: NodeSettings, memory: NodeMemory, owner_address: str = ""
    ) -> None:
        """Start from ``memory``, without a link to a relay.

        ``owner_address`` is the address at which this node accepts calls of other nodes.
        """
        scope = Scope(settings.service, settings.zone)
        self._settings = settings
        self._has_disk = bool(settings.data_folder)
        self.holder = ConfigurationHolder(scope, memory.floor, memory.snapshot)
        self.known = KnownEndpoints()
        self.quarantine = NodeQuarantine()
        self._own = OwnEndpoint(settings, memory.incarnation, owner_address)
        self.sessions = RelaySessions(settings, LinkNumbers(), self._hello)
        silent_seconds = settings.back_end_silent_milliseconds / 1_000
        self._reports = BackEndReports(settings.service, silent_seconds)
        self._services: frozenset[str] = frozenset()
        self._ready: dict[str, tuple[str, ...]] = {}
        self._pending: Snapshot | None = None
        self._pending_from: RelaySession | None = None
        self._pending_confirmed_at: int | None = None
        self._token = 0
        self._is_stopping = False
        self._evidence_number = 0
        self.unusable_reports = 0
        """Number of reports of the local back end that were not used, since the start."""
        self._unusable_logged_at = -math.inf
        self._confirmed_at = -math.inf
        self._now = 0.0
        self._out: list[Command] = []

    def step(self, event: events.Event, now: float) -> list[Command]:
        """Handle one event and return the commands that result from it."""
        self._out = []
        self._detect_suspension(event, now)
        self._now = now
        self._handle(event)
        return self._out

    @property
    def confirmed_at(self) -> float:
        """When a quorum last confirmed the snapshot in use; -inf for never.

        The time is in monotonic seconds of this node. A message that waited in a socket
        while the process was suspended does not make it look recent, because the age of
        its confirmation counts from when it was sent.
        """
        return self._confirmed_at

    @property
    def incarnation(self) -> int:
        """Number of this start of the node, above that of every earlier start."""
        return self._own.incarnation

    # --- events ----------------------------------------------------------------

    def _handle(self, event: events.Event) -> None:
        match event:
            case events.MessageReceived():
                self._message(event)
            case events.TimerFired():
                self._timer(event.timer)
            case events.LinkOpened() | events.LinkClosed():
                self._link_changed(event)
            case events.RecordsPersisted():
                self._persisted(event.token)
            case events.RecordsFailed():
                self._not_persisted(event)
            case BackendStateChanged():
                self._backend_state(event.state)
            case BackendDrained():
                self._drained()
            case events.Started():
                self._started(event)
            case events.StopRequested():
                self._stop()
            case BackEndEnded() | SuspectEndedWell():
                active = self.sessions.active
                relay = None if active is None else active.link
                self._emit(self.quarantine.record_outcome(event, relay, self._now))
            case QuotaWanted():
                self._request_quota(event.ask)
            case _:
                self._handle_other_event(event)

    def _handle_other_event(self, event: events.Event) -> None:
        """Handle reports and statistics of the local back end, and changed settings."""
        match event:
            case BackEndReported():
                self._back_end_reported(event.report)
            case BackEndLeft():
                self._view_changed(self._reports.mark_leaving(event.instance, event.born))
            case BackEndReportRefused():
                self._log_unusable_report(event.reason)
            case BackEndNotThere(is_replaced=True):
                self._view_changed(self._reports.mark_replaced(event.life, self._now))
            case BackEndNotThere():
                self._view_changed(self._reports.mark_unreachable(event.life))
            case EvidenceGathered():
                self._send_evidence(event)
            case NodeSeedsChanged():
                self.sessions.use_seeds(event.relays)
            case _:
                raise AssertionError(f"a node core does not handle {type(event).__name__}")

    def _send_evidence(self, event: EvidenceGathered) -> None:
        """Send call statistics of the local back end since a roll-out's start to the relay.

        They are cumulative, so a lost message is covered by the next one.
        """
        active = self.sessions.active
        if active is None:
            return
        self._evidence_number += 1
        evidence = BackEndEvidence(
            node=self._settings.node,
            service=self._settings.service,
            version=self._reports.view.version,
            began_milliseconds=event.began_milliseconds,
            incarnation=self._own.incarnation,
            number=self._evidence_number,
            routes=event.routes,
        )
        self._out.append(SendMessage(active.link, EvidenceTold(evidence)))

    def _request_quota(self, ask: QuotaAsked) -> None:
        """Send a request for quota grants to the relay in use.

        Without a relay it is dropped; the data plane repeats it a moment later.
        """
        if self.sessions.active is not None:
            self._out.append(SendMessage(self.sessions.active.link, ask))

    def _back_end_reported(self, report: BackEndReport) -> None:
        reason = self._reports.reason_not_used(report)
        if reason:
            self._log_unusable_report(reason)
        self._view_changed(self._reports.apply(report, self._now))

    def _log_unusable_report(self, reason: str) -> None:
        """Log a back-end report without use at a limited rate: its sender may send many."""
        self.unusable_reports += 1
        if self._now >= self._unusable_logged_at + UNUSABLE_REPORT_LOG_SECONDS:
            reason = reason[:MAX_REASON_CHARACTERS]
            count = self.unusable_reports
            self._report(notices.BackEndReportNotUsed(reason, count))
            self._unusable_logged_at = self._now

    def _detect_suspension(self, event: events.Event, now: float) -> None:
        """Reconnect to the relays if the process was suspended before this event."""
        silence_seconds = now - self._now
        if (
            isinstance(event, events.Started)
            or silence_seconds < SUSPENSION_THRESHOLD_SECONDS
        ):
            return
        self._now = now
        self._report(notices.NodePaused(round(silence_seconds * 1_000)))
        self._emit(self.sessions.reconnect_all(now))

    def _started(self, event: events.Started) -> None:
        if not self.holder.holds_nothing:
            self._report(notices.VersionRestored(self.holder.snapshot.version))
            active = open_snapshot(self.holder.snapshot)
            self._services = frozenset(active.services)
            self._out.append(ConfigurationSwapped(active))
        self._emit(self.sessions.start(Randomness(event.seed), self._now))

    def _link_changed(self, event: events.LinkOpened | events.LinkClosed) -> None:
        session = self.sessions.find(event.link)
        if session is None:
            return
        if isinstance(event, events.LinkOpened):
            self._emit(self.sessions.opened(session, self._now))
        else:
            self._emit(self.sessions.closed(session, event.reason, self._now))

    def _timer(self, timer: str) -> None:
        if timer == WATCH_TIMER:
            self._view_changed(self._reports.tick(self._now))
            self.quarantine.table.forget_old(self._now)
            self._emit(self.sessions.watch(self._now))
        elif timer == CONNECT_TIMER:
            self._emit(self.sessions.connect(self._now))
        elif timer == PERSIST_TIMER:
            self._persist()
        elif timer == LEAVING_TIMER:
            self._backend_state(STATE_LEAVING)
        else:
            raise AssertionError(f"a node sets no timer {timer}")

    def _message(self, event: events.MessageReceived) -> None:
        session = self.sessions.find(event.link)
        if session is not None:
            self._from_relay(session, event.message)

    # --- the relay -------------------------------------------------------------

    def _from_relay(self, session: RelaySession, message: Message) -> None:
        self.sessions.note_received(session, self._now)
        match message:
            case UpdateOffered():
                self._handle_answer(session, message)
                self._handle_offer(session, message)
            case Current():
                self._handle_answer(session, message)
                self._still_current(message)
                self._send_applied(session)
            case Freshness():
                self._handle_answer(session, message)
                self._still_current(message)
                self._send_alive(session)
            case EndpointsPacked():
                self._endpoints_packed(session, message)
            case EndpointsHeld():
                self._compare_endpoints(session, message)
            case RelaysListed():
                listed = tuple(
                    PeerRelay(name=each.name, zone=each.zone, address=each.address)
                    for each in message.relays
                )
                self._emit(self.sessions.use_listed(listed, self._now))
            case CrashesTold():
                self._emit(self.quarantine.merge_records(message, self._now))
            case QuotaGranted():
                self._out.append(QuotaAnswered(message))
            case RetryAfter():
                self._emit(self.sessions.deferred(session, message.milliseconds, self._now))
            case Goodbye():
                self._emit(self.sessions.goodbye(session, message.reason, self._now))
            case Refused():
                self._emit(self.sessions.drop(session, message.reason, self._now))
            case _:
                self._emit(self.sessions.drop(session, "unexpected message", self._now))

    def _handle_answer(
        self, session: RelaySession, message: UpdateOffered | Current | Freshness
    ) -> None:
        """Record a relay's answer and when a quorum confirmed the version of that relay.

        The answer may make a candidate the active relay.
        """
        session.record_confirmation(message.confirmed_at_milliseconds)
        session.answered = True
        was_active = session is self.sessions.active
        self._emit(self.sessions.resolve_candidate(session, self._now))
        if session is self.sessions.active and not was_active:
            self._introduce(session)

    def _introduce(self, session: RelaySession) -> None:
        """Send local endpoint, endpoint digest and quarantine to a newly chosen relay."""
        if self._own.exists:
            self._announce()
        self._out.append(SendMessage(session.link, EndpointsHeld(self.known.digest)))
        self._emit(self.quarantine.send_all_to(session.link, self._now))

    def _send_alive(self, session: RelaySession) -> None:
        alive = NodeAlive(self.holder.effective_version, self._clock_milliseconds)
        self._out.append(SendMessage(session.link, alive))

    @property
    def _clock_milliseconds(self) -> int:
        """Time of this node's monotonic clock in milliseconds, rounded down."""
        return math.floor(self._now * MILLISECONDS)

    def _still_current(self, message: Current | Freshness) -> None:
        """Apply a confirmation if its digest is that of the snapshot in use.

        The relay sends no digest while it holds an update back or has one in flight.
        """
        if self._pending is None and message.digest == self.holder.digest:
            self.holder.confirm_current(message.version)
            self._confirm(message.confirmed_at_milliseconds)

    def _confirm(self, at_milliseconds: int | None) -> None:
        """Record that the snapshot in use was the latest at this time.

        The time is in milliseconds of this node's clock; None if it is unknown.
        """
        if at_milliseconds is not None and not self.holder.holds_nothing:
            self._confirmed_at = max(self._confirmed_at, at_milliseconds / MILLISECONDS)

    def _handle_offer(self, session: RelaySession, offer: UpdateOffered) -> None:
        held = self.holder.snapshot
        unpacked = unpack_update(offer.packed_update, held.scope, held.digest)
        if isinstance(unpacked, Failure):
            self._emit(self.sessions.drop(session, "undecodable update", self._now))
            return
        update = unpacked.unwrap()
        if self._pending is not None and session is not self._pending_from:
            self._refuse(session, update.version, BUSY)
            return
        if not self._is_acceptable(session, offer):
            self._refuse(session, update.version, UNCONFIRMED)
            return
        prepared = self.holder.prepare(update)
        if isinstance(prepared, Failure):
            self._answer_refusal(session, update.version, prepared.failure())
            return
        self._pending = prepared.unwrap()
        self._pending_from = session
        self._pending_confirmed_at = offer.confirmed_at_milliseconds
        self._persist()

    def _is_acceptable(self, session: RelaySession, offer: UpdateOffered) -> bool:
        """Return whether an offered version is confirmed recently enough.

        A node with a floor accepts any offer here, since the floor excludes old versions.
        A node without one requires that a quorum confirmed it no earlier than its hello.
        """
        if self.holder.floor > 0:
            return True
        confirmed_at = offer.confirmed_at_milliseconds
        if confirmed_at is None:
            return False
        hello_at = math.floor(session.opened_at * MILLISECONDS)
        return confirmed_at >= hello_at - ROUNDING_MILLISECONDS

    def _answer_refusal(self, session: RelaySession, version: Version, reason: str) -> None:
        if reason == NOT_NEWER:
            self._send_applied(session)
        else:
            self._refuse(session, version, reason)

    def _refuse(self, session: RelaySession, version: Version, reason: str) -> None:
        self._report(notices.VersionRefused(version, reason))
        self._out.append(SendMessage(session.link, UpdateRefused(version, reason)))

    def _send_applied(self, session: RelaySession) -> None:
        applied = UpdateApplied(self.holder.effective_version, self.holder.digest)
        self._out.append(SendMessage(session.link, applied))

    # --- storing and using a version -------------------------------------------

    def _persist(self) -> None:
        """Store the prepared version, which is used only once it is synced to disk."""
        if self._pending is None:
            return
        if not self._has_disk:
            self._use_pending()
            return
        self._token += 1
        self._out.append(PersistSnapshot(self._token, self._pending))

    def _persisted(self, token: int) -> None:
        if token == self._token and self._pending is not None:
            self._use_pending()

    def _not_persisted(self, event: events.RecordsFailed) -> None:
        if event.token != self._token or self._pending is None:
            return
        self._report(notices.FloorNotPersisted(self._pending.version, event.reason))
        self._out.append(SetTimer(PERSIST_TIMER, PERSIST_RETRY_SECONDS))

    def _use_pending(self) -> None:
        snapshot = self._pending
        assert snapshot is not None
        self._pending = None
        self._pending_from = None
        self.holder.use(snapshot)
        self._confirm(self._pending_confirmed_at)
        active = open_snapshot(snapshot)
        self._out.append(ConfigurationSwapped(active))
        resources = len(snapshot.resources)
        applied = notices.VersionApplied(snapshot.version, resources, snapshot.digest)
        self._report(applied)
        self._services_changed(frozenset(active.services))
        for session in self.sessions.all_answered():
            self._send_applied(session)

    # --- endpoints -------------------------------------------------------------

    def _services_changed(self, services: frozenset[str]) -> None:
        """Drop endpoints of removed services; request those of new ones from the relay.

        A relay sends the endpoints of new services before the update. They may be missing
        here: they are dropped if an intermediate version from another relay does not
        contain those services.
        """
        if self.known.retain_services(services):
            self._swap_endpoints()
        has_new = not services <= self._services
        self._services = services
        if has_new and self.sessions.active is not None:
            held = EndpointsHeld(self.known.digest)
            self._out.append(SendMessage(self.sessions.active.link, held))

    def _endpoints_packed(self, session: RelaySession, message: EndpointsPacked) -> None:
        unpacked = unpack_endpoints(message)
        if isinstance(unpacked, Failure):
            self._emit(self.sessions.drop(session, "undecodable endpoints", self._now))
            return
        self._endpoints_changed(session, unpacked.unwrap())

    def _endpoints_changed(self, session: RelaySession, message: EndpointsChanged) -> None:
        """Apply endpoints from the relay in use, or from any relay while none is in use.

        Endpoints arrive without a relay in use before the node's first update.
        """
        for endpoint in message.endpoints:
            if endpoint.node == self._settings.node:
                self._view_changed(self._reports.overtaken(endpoint.born))
                if self._own.raise_incarnation_above(endpoint):
                    self._announce()
        is_accepted = self.sessions.active in (None, session)
        if is_accepted and self.known.take(message):
            self._swap_endpoints()

    def _compare_endpoints(self, session: RelaySession, message: EndpointsHeld) -> None:
        digest = self.known.digest
        if message.digest != digest:
            self._out.append(SendMessage(session.link, EndpointsHeld(digest)))

    def _swap_endpoints(self) -> None:
        """Use the known endpoints for calls; report services whose ready nodes changed."""
        endpoints = self.known.endpoints
        self._out.append(EndpointsSwapped(endpoints))
        ready: dict[str, list[str]] = {}
        for endpoint in endpoints:
            of_service = ready.setdefault(endpoint.service, [])
            if endpoint.state == STATE_READY:
                of_service.append(endpoint.node)
        known = {service: tuple(sorted(nodes)) for service, nodes in ready.items()}
        for service in sorted(known.keys() | self._ready.keys()):
            nodes = known.get(service, ())
            if nodes != self._ready.get(service):
                self._report(notices.BackEndsKnown(service, nodes))
        self._ready = known

    def _view_changed(self, changed: bool) -> None:
        """Pass a changed state of the local back end to the data plane and other nodes."""
        if not changed:
            return
        view = self._reports.view
        self._out.append(BackEndViewed(view))
        self._report(notices.BackEndViewChanged(view.instance, view.state, view.slots))
        if not self._is_stopping and self._own.apply_view(view):
            self._apply_local_endpoint()
            self._announce()

    def _apply_local_endpoint(self) -> None:
        """Apply the local endpoint to this node's calls without waiting for a relay."""
        if self.known.take(EndpointsChanged((self._own.current,))):
            self._swap_endpoints()

    def _backend_state(self, state: str) -> None:
        if self._own.exists and self._own.change_state(state):
            self._announce()

    def _announce(self) -> None:
        active = self.sessions.active
        if active is None:
            return
        endpoint = self._own.current
        self._out.append(SendMessage(active.link, EndpointAnnounced(endpoint)))
        self._report(notices.OwnEndpointAnnounced(endpoint.state, endpoint.sequence))

    # --- planned stop ----------------------------------------------------------

    def _stop(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        self._report(notices.NodeStopping(self._own.exists))
        self._out.append(SetTimer(LEAVING_TIMER, LEAVING_ANNOUNCED_SECONDS))
        self._out.append(DrainBackend())

    def _drained(self) -> None:
        self._backend_state(STATE_GONE)
        self._out.append(Exit("stopped"))

    # --- helpers ---------------------------------------------------------------

    def _hello(self) -> NodeHello:
        holder = self.holder
        return NodeHello(
            cluster=self._settings.cluster,
            node=self._settings.node,
            incarnation=self._own.incarnation,
            scope=holder.snapshot.scope,
            version=holder.effective_version,
            digest=holder.digest,
            floor=holder.floor,
            sent_at_milliseconds=self._clock_milliseconds,
        )

    def _emit(self, commands: list[Command]) -> None:
        self._out.extend(commands)

    def _report(self, notice: Notice) -> None:
        self._out.append(Report(notice))
