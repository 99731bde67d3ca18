"""State machine of a relay: receives events, returns commands, does no I/O.

This module routes events to the components that handle them. ``source`` follows a
control replica and tracks how fresh its data is. ``tree_follower`` holds the accepted
configuration tree. ``distribution`` and ``node_service`` serve the nodes, and
``endpoints.exchange`` synchronizes the endpoint table with the other relays.
"""

from __future__ import annotations

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.crashes import (
    CrashesDigest,
    CrashesTold,
    CrashRecord,
)
from peppershore.connection.messages.endpoints import RelayHello
from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted
from peppershore.connection.messages.relay import ConfirmReply, EditsCommitted, TreeState
from peppershore.connection.messages.rollouts import EvidenceShared, EvidenceTold
from peppershore.connection.messages.session import Goodbye, Refused
from peppershore.process import events
from peppershore.process.commands import (
    CloseLink,
    Command,
    Exit,
    Notice,
    Report,
    SendMessage,
    SetTimer,
)
from peppershore.process.endpoints.exchange import (
    PEER_CONNECT_TIMER,
    PEER_TIMER,
    EndpointExchange,
)
from peppershore.process.endpoints.table import STATE_READY
from peppershore.process.link_numbers import LinkNumbers
from peppershore.process.quarantine.sharing import QuarantineSharing
from peppershore.process.quotas.relay_pool import QUOTA_TIMER, RelayPool
from peppershore.process.randomness import Randomness
from peppershore.process.relay import notices
from peppershore.process.relay.departures import Departures
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.endpoint_fanout import (
    FANOUT_TIMER,
    EndpointFanout,
    is_urgent,
)
from peppershore.process.relay.fanout_scheduler import FanoutScheduler
from peppershore.process.relay.hold import HoldTracker
from peppershore.process.relay.node_service import NodeService
from peppershore.process.relay.planned_stop import (
    STOP_BATCH_SECONDS,
    STOP_TIMER,
    STOPPING,
    PlannedStop,
)
from peppershore.process.relay.progress import (
    PROGRESS_IDLE_SECONDS,
    PROGRESS_SECONDS,
    PROGRESS_TIMER,
    RelayStatus,
    make_report,
)
from peppershore.process.relay.rollout import Rollout
from peppershore.process.relay.source import (
    CONFIRM_TIMER,
    RECONNECT_TIMER,
    SourceFollower,
)
from peppershore.process.relay.tree_follower import TreeChange, TreeFollower
from peppershore.process.settings import PeerRelay, RelaySettings

HEARTBEAT_TIMER = "relay.heartbeat"
FLUSH_TIMER = "relay.flush"
HOLD_TIMER = "relay.hold"

HOLD_CHECK_SECONDS = 0.1
SUSPENSION_SECONDS = 3.0
"""If no event arrives for this long, the process must have been suspended."""
CLOCK_READING_MAX_GAP_SECONDS = 0.5
"""After this long without an event, this relay's clock may have advanced while its
nodes' clocks did not. It then needs a new reading of each node's clock. The bound is
many times the interval between two heartbeat slots."""
HELLO_SECONDS = 10.0
"""A link on which no hello arrives within this time is closed."""


class RelaysChanged(events.Event, frozen=True):
    """The set of relays in the cluster changed to this list."""

    relays: tuple[PeerRelay, ...]


class RequestReleased(events.Event, frozen=True):
    """An operator released a quarantined request so that it may run again."""

    key: bytes


class RelayCore:
    """State machine of a relay; implements ``process.core.Core``."""

    def __init__(
        self,
        settings: RelaySettings,
        remembered: tuple[CrashRecord, ...] = (),
        keeps_quarantine: bool = False,
    ) -> None:
        """Start without a configuration tree.

        ``remembered`` holds the quarantine records stored before the start. If
        ``keeps_quarantine``, the shell writes the quarantine to disk when it changes.
        """
        numbers = LinkNumbers()
        self._settings = settings
        self.follower = TreeFollower(settings.cluster)
        self.source = SourceFollower(settings, numbers)
        self.exchange = EndpointExchange(settings, numbers)
        catalog, table = self.follower.catalog, self.exchange.table
        self._remembered = remembered
        self.holds = HoldTracker(catalog, table, settings.hold_milliseconds / 1_000)
        self._fanout = EndpointFanout(catalog, table)
        self.distributor = Distributor(catalog, self.holds, self._fanout)
        self.quarantine = QuarantineSharing(
            self.exchange, self.distributor.sessions, keeps_quarantine
        )
        self.departures = Departures(catalog)
        self.quotas = RelayPool(settings.quotas)
        self.nodes = NodeService(
            settings,
            distributor=self.distributor,
            departures=self.departures,
            source=self.source,
            exchange=self.exchange,
            fanout=self._fanout,
        )
        self._links_without_hello: dict[events.LinkId, float] = {}
        self._planned_stop: PlannedStop | None = None
        self.rollout = Rollout(self.distributor, self.holds, self.nodes)
        self._fanout_scheduler = FanoutScheduler()
        self._timers_set: set[str] = set()
        self._was_fresh = False
        self._is_cut_off = False
        self._suspension_milliseconds = 0
        self._incarnation = 0
        self._reports = 0
        self._report_soon = False
        self._now = 0.0
        self._out: list[Command] = []

    def step(self, event: events.Event, now: float) -> list[Command]:
        """Handle one event and return the commands to execute."""
        self._detect_suspension(now)
        self._now = now
        self._out = []
        self._dispatch(event)
        self.exchange.confirmed_at = self.source.confirmed_at
        self._after_event()
        return self._out

    @property
    def is_fresh(self) -> bool:
        """Whether, as of the last event, a quorum recently confirmed the version."""
        return self._was_fresh

    # --- events ----------------------------------------------------------------

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.MessageReceived():
                self._message(event)
            case events.TimerFired():
                self._timers_set.discard(event.timer)
                self._timer(event.timer)
            case events.LinkOpened():
                self._opened(event)
            case events.LinkClosed():
                self._closed(event)
            case events.Started():
                self._started(event)
            case events.StopRequested():
                self._stop()
            case RequestReleased():
                self._emit(self.quarantine.release(event.key, self._now))
            case RelaysChanged():
                self._emit(self.exchange.use_relays(event.relays, self._now))
            case _:
                raise AssertionError(f"relay cannot handle event {type(event).__name__}")

    def _started(self, event: events.Started) -> None:
        randomness = Randomness(event.seed)
        self.quarantine.remember(self._remembered, self._now)
        self._incarnation = int(randomness.below(2**53))
        self.quotas.life = self._incarnation
        self._emit(self.source.start(randomness, self._now))
        self._emit(self.exchange.start(randomness, self._incarnation, self._now))
        self._set_timer(HEARTBEAT_TIMER, self.nodes.heartbeats.slot_seconds)
        self._set_timer(PROGRESS_TIMER, PROGRESS_IDLE_SECONDS)

    def _opened(self, event: events.LinkOpened) -> None:
        if event.link == self.source.link:
            self._emit(self.source.opened(self.follower.version, self._now))
        elif self.exchange.owns(event.link):
            self._emit(self.exchange.opened(event.link))
        else:
            self._links_without_hello[event.link] = self._now

    def _closed(self, event: events.LinkClosed) -> None:
        self._links_without_hello.pop(event.link, None)
        if event.link == self.source.link:
            self._emit(self.source.lost(event.reason))
        elif self.exchange.owns(event.link):
            self._emit(self.exchange.lost(event.link, event.reason, self._now))
        else:
            self._emit(self.nodes.closed(event.link, event.reason, self._now))
            self.quotas.link_closed(event.link)

    def _message(self, event: events.MessageReceived) -> None:
        link, message = event.link, event.message
        session = self.distributor.sessions.get(link)
        if isinstance(message, CrashesTold | CrashesDigest):
            self._emit(self.quarantine.received(link, message, self._now))
        elif session is not None and isinstance(message, EvidenceTold):
            self._forward_evidence(session.node, message)
        elif session is not None and isinstance(message, QuotaAsked):
            commands = self.quotas.node_asked(
                link, message, self.source.open_link, self._now
            )
            self._emit(commands)
        elif session is not None:
            self._emit(self.nodes.received(session, message, self._now))
        elif link == self.source.link:
            self._from_replica(message)
        elif self.exchange.owns(link):
            self._emit(self.exchange.received(link, message, self._now))
            if isinstance(message, RelayHello):
                self._emit(self.quarantine.welcome_relay(link, self._now))
        else:
            self._first_message(link, message)

    def _forward_evidence(self, node: str, message: EvidenceTold) -> None:
        """Forward a node's call statistics of its local back end to the replica.

        Roll-outs of the back ends' software are decided by these statistics.
        """
        if message.evidence.node == node and self.source.is_open:
            assert self.source.link is not None
            shared = EvidenceShared(message.evidence)
            self._out.append(SendMessage(self.source.link, shared))

    def _first_message(self, link: events.LinkId, message: Message) -> None:
        if self._links_without_hello.pop(link, None) is None:
            return
        if isinstance(message, RelayHello):
            self._emit(self.exchange.handle_hello(link, message, self._now))
            self._emit(self.quarantine.welcome_relay(link, self._now))
        elif self._planned_stop is not None:
            self._out.append(SendMessage(link, Goodbye(STOPPING)))
            self._out.append(CloseLink(link, STOPPING))
        else:
            welcome = self.nodes.first_message(link, message, self._now)
            if link in self.distributor.sessions:
                self._emit(self.quarantine.welcome_node(link, self._now))
            self._emit(welcome)

    def _timer(self, timer: str) -> None:
        if timer == HEARTBEAT_TIMER:
            self._emit(self.nodes.heartbeat(self._now))
            self._redirect_nodes_if_cut_off()
            self._set_timer(HEARTBEAT_TIMER, self.nodes.heartbeats.slot_seconds)
        elif timer == CONFIRM_TIMER:
            self._emit(self.source.confirm_tick(self._now))
        elif timer == RECONNECT_TIMER:
            self._emit(self.source.reconnect(self._now))
        elif timer == PEER_TIMER:
            self._peer_tick()
        elif timer == PEER_CONNECT_TIMER:
            self._emit(self.exchange.connect_again(self._now))
        elif timer == HOLD_TIMER:
            self._emit(self.rollout.release_held(self._now))
        elif timer == STOP_TIMER:
            self._continue_stop()
        elif timer == FLUSH_TIMER:
            self._emit(self.rollout.flush())
        elif timer == FANOUT_TIMER:
            self._send_due_endpoints()
        elif timer == QUOTA_TIMER:
            self._emit(self.quotas.timer(self.source.open_link, self._now))
        elif timer == PROGRESS_TIMER:
            self._report_progress()
        else:
            raise AssertionError(f"unknown relay timer: {timer}")

    def _stop(self) -> None:
        if self._planned_stop is not None:
            return
        links = list(self.distributor.sessions)
        self._report(notices.RelayStopping(len(links)))
        self._planned_stop = PlannedStop(links, self._now)
        self._continue_stop()

    def _redirect_nodes_if_cut_off(self) -> None:
        """Redirect nodes if this relay lacks confirmations that other relays have."""
        was_cut_off = self._is_cut_off
        elsewhere = self.exchange.confirmed_elsewhere()
        self._is_cut_off = self.source.is_cut_off(elsewhere, self._now)
        if self._is_cut_off and not was_cut_off:
            self._emit(self.nodes.redirect_nodes())

    def _continue_stop(self) -> None:
        assert self._planned_stop is not None
        self._emit(self._planned_stop.next_batch())
        if self._planned_stop.is_over(len(self.distributor.sessions), self._now):
            self._out.append(Exit("stopped"))
        else:
            self._set_timer(STOP_TIMER, STOP_BATCH_SECONDS)

    def _peer_tick(self) -> None:
        self._emit(self.exchange.tick(self._now, self.source.is_fresh(self._now)))
        self._emit(self.quarantine.tick(self._now))
        for scope in self.distributor.drop_idle_scopes(self._now):
            self._fanout.forget_scope(scope)
        for link, opened_at in list(self._links_without_hello.items()):
            if self._now - opened_at > HELLO_SECONDS:
                del self._links_without_hello[link]
                self._out.append(CloseLink(link, "no hello"))

    def _detect_suspension(self, now: float) -> None:
        """Detect that this process was suspended, for instance stopped by a signal."""
        gap_seconds = now - self._now
        is_started = bool(self._timers_set)
        if not is_started or gap_seconds < CLOCK_READING_MAX_GAP_SECONDS:
            return
        self.nodes.invalidate_clocks()
        if gap_seconds < SUSPENSION_SECONDS:
            return
        self.nodes.resumed(gap_seconds, now)
        self._suspension_milliseconds = round(gap_seconds * 1_000)

    def _after_event(self) -> None:
        """Run the follow-up work that several kinds of events can trigger."""
        self._emit(self.nodes.list_relays())
        self._note_freshness()
        if self._suspension_milliseconds:
            self._report(notices.ProcessPaused(self._suspension_milliseconds))
            self._suspension_milliseconds = 0
        if self.exchange.changed:
            self._endpoints_changed()
        if self.rollout.is_holding:
            self._set_timer_once(HOLD_TIMER, HOLD_CHECK_SECONDS)
        if self.nodes.progress_changed and not self._report_soon:
            self._report_soon = True
            self._set_timer(PROGRESS_TIMER, PROGRESS_SECONDS)

    def _endpoints_changed(self) -> None:
        """Send urgent endpoint changes at once and plan the others for a later batch."""
        changed = self.exchange.changed.values()
        if self.holds.held and any(each.state == STATE_READY for each in changed):
            self._emit(self.rollout.release_held(self._now))
        wait = self._fanout_scheduler.plan(any(map(is_urgent, changed)), self._now)
        if wait == 0.0:
            self._send_endpoint_changes()
        elif wait is not None:
            self._set_timer(FANOUT_TIMER, wait)

    def _send_due_endpoints(self) -> None:
        """Send all changed endpoints to nodes, unless a burst of changes delays them."""
        changed = self.exchange.changed.values()
        if not changed:
            return
        is_any_urgent = any(map(is_urgent, changed))
        wait = self._fanout_scheduler.postpone(len(changed), is_any_urgent, self._now)
        if wait:
            self._set_timer(FANOUT_TIMER, wait)
        else:
            self._send_endpoint_changes()

    def _send_endpoint_changes(self) -> None:
        self._fanout_scheduler.sent(self._now)
        self._emit(self.nodes.endpoint_changes(self._now))

    # --- the replica -----------------------------------------------------------

    def _from_replica(self, message: Message) -> None:
        match message:
            case EditsCommitted():
                self._edits(message)
            case ConfirmReply():
                self.source.confirmed(message, self.follower.version, self._now)
                self._emit(self.nodes.release_confirmed())
            case TreeState():
                change = self.follower.load(message.tree)
                if change is not None:
                    self._report(notices.TreeLoaded(change.version))
                    self._tree_changed(change)
            case QuotaGranted():
                link = self.source.open_link
                self._emit(self.quotas.granted(message, link, self._now))
            case Refused() | Goodbye():
                self._emit(self.source.leave(message.reason))
            case _:
                self._emit(self.source.leave(f"unexpected {type(message).__name__}"))

    def _edits(self, message: EditsCommitted) -> None:
        change = self.follower.advance(message.edits)
        if change is None:
            return
        self._report(
            notices.TreeAdvanced(change.version, change.edits, len(change.affected))
        )
        self._tree_changed(change)

    def _tree_changed(self, change: TreeChange) -> None:
        self._emit(self.rollout.tree_changed(change, self._now))
        self.nodes.progress_changed = True
        self.source.tree_reached(change.version)
        if self._settings.batching_milliseconds:
            seconds = self._settings.batching_milliseconds / 1_000
            self._set_timer_once(FLUSH_TIMER, seconds)
        else:
            self._emit(self.rollout.flush())
        self._emit(self.nodes.release_confirmed())

    def _report_progress(self) -> None:
        self._report_soon = False
        self.nodes.progress_changed = False
        self._set_timer(PROGRESS_TIMER, PROGRESS_IDLE_SECONDS)
        if self.source.link is None or not self.source.is_open:
            return
        report = make_report(
            self._relay_status(),
            self.distributor,
            self.departures,
            self.holds,
            self.nodes.bytes_sent,
        )
        self._out.append(SendMessage(self.source.link, report))

    def _relay_status(self) -> RelayStatus:
        self._reports += 1
        now = self._now
        settled = self.exchange.is_settled(now) and now >= self.nodes.deferred_until
        heard = self.exchange.heard(now)
        return RelayStatus(
            self._settings.relay,
            self._settings.zone,
            self._incarnation,
            self._reports,
            settled,
            heard,
            now,
        )

    def _note_freshness(self) -> None:
        is_fresh = self.source.is_fresh(self._now)
        if is_fresh == self._was_fresh:
            return
        self._was_fresh = is_fresh
        if is_fresh:
            self._report(notices.ConfirmationFresh(self.follower.version))
        else:
            age = self.source.age_milliseconds(self._now)
            self._report(notices.ConfirmationStale(age))

    # --- helpers ---------------------------------------------------------------

    def _emit(self, commands: list[Command]) -> None:
        self._out.extend(commands)

    def _report(self, notice: Notice) -> None:
        self._out.append(Report(notice))

    def _set_timer(self, name: str, seconds: float) -> None:
        self._timers_set.add(name)
        self._out.append(SetTimer(name, seconds))

    def _set_timer_once(self, name: str, seconds: float) -> None:
        if name not in self._timers_set:
            self._set_timer(name, seconds)
