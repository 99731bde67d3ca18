"""The relay as a step function: replica in, nodes and other relays out.

The parts decide each on its own matter: ``source`` what is followed and how
fresh it is, ``tree_follower`` the accepted tree, ``distribution`` and
``node_service`` the nodes, ``endpoints.exchange`` the other relays.  This module
routes events between them.
"""

from __future__ import annotations

from returns.result import Failure

from peppershore.connection.messages import (
    ConfirmReply,
    EditsCommitted,
    Message,
    Refused,
    RelayHello,
    TreeState,
)
from peppershore.process import events
from peppershore.process.commands import (
    Command,
    Exit,
    Notice,
    Report,
    SendMessage,
    SetTimer,
)
from peppershore.process.endpoints.exchange import PEER_TIMER, EndpointExchange
from peppershore.process.link_numbers import LinkNumbers
from peppershore.process.randomness import Randomness
from peppershore.process.relay import notices
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.endpoint_fanout import (
    FANOUT_SECONDS,
    FANOUT_TIMER,
    EndpointFanout,
)
from peppershore.process.relay.node_service import NodeService
from peppershore.process.relay.progress import (
    PROGRESS_IDLE_SECONDS,
    PROGRESS_SECONDS,
    PROGRESS_TIMER,
    make_report,
)
from peppershore.process.relay.source import (
    CONFIRM_TIMER,
    RECONNECT_TIMER,
    SourceFollower,
)
from peppershore.process.relay.tree_follower import TreeChange, TreeFollower
from peppershore.process.settings import RelaySettings
from peppershore.version.model import Scope

HEARTBEAT_TIMER = "relay.heartbeat"
FLUSH_TIMER = "relay.flush"


class RelayCore:
    """Decides everything a relay does; see ``process.core.Core``."""

    def __init__(self, settings: RelaySettings) -> None:
        """Begin without a tree."""
        numbers = LinkNumbers()
        self._settings = settings
        self.follower = TreeFollower(settings.cluster)
        self.source = SourceFollower(settings, numbers)
        self.distributor = Distributor(self.follower.catalog)
        self.exchange = EndpointExchange(settings, numbers)
        self._fanout = EndpointFanout(self.follower.catalog, self.exchange.table)
        self.nodes = NodeService(
            settings, self.distributor, self.source, self.exchange, self._fanout
        )
        self._unsent_scopes: set[Scope] = set()
        self._timers_set: set[str] = set()
        self._was_fresh = False
        self._now = 0.0
        self._out: list[Command] = []

    def step(self, event: events.Event, now: float) -> list[Command]:
        """Take one event; give the commands it leads to."""
        self._now = now
        self._out = []
        self._take(event)
        self._after_event()
        return self._out

    @property
    def is_fresh(self) -> bool:
        """Whether a quorum confirmed the version recently, as of the last event."""
        return self._was_fresh

    # --- events ----------------------------------------------------------------

    def _take(self, event: events.Event) -> None:
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
            case _:
                raise AssertionError(f"a relay takes no {type(event).__name__}")

    def _started(self, event: events.Started) -> None:
        randomness = Randomness(event.seed)
        incarnation = int(randomness.below(2**53))
        self._do(self.source.start(randomness, self._now))
        self._do(self.exchange.start(randomness, incarnation, self._now))
        self._set_timer(HEARTBEAT_TIMER, self.nodes.slot_seconds)
        self._set_timer(PROGRESS_TIMER, PROGRESS_IDLE_SECONDS)

    def _opened(self, event: events.LinkOpened) -> None:
        if event.link == self.source.link:
            self._do(self.source.opened(self.follower.version, self._now))
        elif self.exchange.owns(event.link):
            self._do(self.exchange.opened(event.link))

    def _closed(self, event: events.LinkClosed) -> None:
        if event.link == self.source.link:
            self._do(self.source.lost(event.reason))
        elif self.exchange.owns(event.link):
            self._do(self.exchange.lost(event.link, event.reason, self._now))
        else:
            self._do(self.nodes.closed(event.link, event.reason, self._now))

    def _message(self, event: events.MessageReceived) -> None:
        link, message = event.link, event.message
        session = self.distributor.sessions.get(link)
        if session is not None:
            self._do(self.nodes.received(session, message, self._now))
        elif link == self.source.link:
            self._from_replica(message)
        elif self.exchange.owns(link):
            self._do(self.exchange.received(link, message, self._now))
        elif isinstance(message, RelayHello):
            self._do(self.exchange.greeted(link, message, self._now))
        else:
            self._do(self.nodes.first_message(link, message, self._now))

    def _timer(self, timer: str) -> None:
        if timer == HEARTBEAT_TIMER:
            self._do(self.nodes.heartbeat(self._now))
            self._set_timer(HEARTBEAT_TIMER, self.nodes.slot_seconds)
        elif timer == CONFIRM_TIMER:
            self._do(self.source.confirm_tick(self._now))
        elif timer == RECONNECT_TIMER:
            self._do(self.source.reconnect(self._now))
        elif timer == PEER_TIMER:
            self._do(self.exchange.tick(self._now, self.source.is_fresh(self._now)))
        elif timer == FLUSH_TIMER:
            self._flush()
        elif timer == FANOUT_TIMER:
            self._do(self.nodes.endpoint_changes())
        elif timer == PROGRESS_TIMER:
            self._report_progress()
        else:
            raise AssertionError(f"a relay sets no timer {timer}")

    def _stop(self) -> None:
        self._report(notices.RelayStopping(len(self.distributor.sessions)))
        self._out.append(Exit("stopped"))

    def _after_event(self) -> None:
        """Do what several kinds of events can make due."""
        self._note_freshness()
        if self.exchange.changed:
            if self.nodes.has_urgent_endpoints:
                self._do(self.nodes.endpoint_changes())
            else:
                self._set_timer_once(FANOUT_TIMER, FANOUT_SECONDS)
        if self.nodes.progress_changed:
            self.nodes.progress_changed = False
            self._set_timer(PROGRESS_TIMER, PROGRESS_SECONDS)

    # --- the replica -----------------------------------------------------------

    def _from_replica(self, message: Message) -> None:
        match message:
            case EditsCommitted():
                self._edits(message)
            case ConfirmReply():
                self.source.confirmed(message, self.follower.version, self._now)
                self._do(self.nodes.release_confirmed(self._now))
            case TreeState():
                change = self.follower.load(message.tree)
                if change is not None:
                    self._report(notices.TreeLoaded(change.version))
                    self._tree_changed(change)
            case Refused():
                self._do(self.source.leave(message.reason))
            case _:
                self._do(self.source.leave(f"unexpected {type(message).__name__}"))

    def _edits(self, message: EditsCommitted) -> None:
        outcome = self.follower.advance(message.edits)
        if isinstance(outcome, Failure):
            problem = outcome.failure()
            self._report(notices.EditUnusable(problem.version, problem.reason))
            self._do(self.source.leave("an edit does not apply"))
            return
        change = outcome.unwrap()
        if change is None:
            return
        self._report(
            notices.TreeAdvanced(change.version, change.edits, len(change.affected))
        )
        self._tree_changed(change)

    def _tree_changed(self, change: TreeChange) -> None:
        self.distributor.tree_changed(change.version, change.affected)
        self.nodes.progress_changed = True
        self.source.tree_reached(change.version)
        self._unsent_scopes |= change.affected
        if self._settings.batching_milliseconds:
            seconds = self._settings.batching_milliseconds / 1_000
            self._set_timer_once(FLUSH_TIMER, seconds)
        else:
            self._flush()
        self._do(self.nodes.release_confirmed(self._now))
        self._do(self.nodes.offer(self.distributor.unanswered(), self._now))

    def _flush(self) -> None:
        scopes = sorted(self._unsent_scopes)
        self._unsent_scopes = set()
        for scope in scopes:
            self._do(self.nodes.offer(self.distributor.sessions_of(scope), self._now))

    def _report_progress(self) -> None:
        self._set_timer(PROGRESS_TIMER, PROGRESS_IDLE_SECONDS)
        if self.source.link is None or not self.source.is_open:
            return
        report = make_report(self._settings, self.distributor, self.nodes.bytes_sent)
        self._out.append(SendMessage(self.source.link, report))

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

    def _do(self, commands: list[Command]) -> None:
        self._out.extend(commands)

    def _report(self, notice: Notice) -> None:
        self._out.append(Report(notice))

    def _set_timer(self, name: str, seconds: float) -> None:
        self._timers_set.add(name)
        self._out.append(SetTimer(name, seconds))

    def _set_timer_once(self, name: str, seconds: float) -> None:
        if name not in self._timers_set:
            self._set_timer(name, seconds)
