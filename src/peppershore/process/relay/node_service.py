"""Serve the nodes of a relay: hello, updates, heartbeats and endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from peppershore.connection.endpoint_packing import pack_endpoints
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.endpoints import (
    EndpointAnnounced,
    EndpointsChanged,
    EndpointsHeld,
)
from peppershore.connection.messages.node import (
    NodeAlive,
    NodeHello,
    RelayListed,
    RelaysListed,
    UpdateApplied,
    UpdateRefused,
)
from peppershore.connection.messages.session import (
    CUT_OFF,
    Goodbye,
    Refused,
    RetryAfter,
)
from peppershore.process.commands import CloseLink, Command, Report, SendMessage
from peppershore.process.endpoints.exchange import EndpointExchange
from peppershore.process.endpoints.table import STATE_GONE, STATE_LEAVING
from peppershore.process.events import LinkId
from peppershore.process.node.refusals import UNCONFIRMED
from peppershore.process.relay import notices
from peppershore.process.relay.departures import Departures
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.endpoint_fanout import EndpointFanout
from peppershore.process.relay.heartbeats import Heartbeats
from peppershore.process.relay.node_clock import NodeClock
from peppershore.process.relay.session import NodeSession
from peppershore.process.relay.source import SourceFollower
from peppershore.process.settings import RelaySettings
from peppershore.process.token_bucket import TokenBucket
from peppershore.version.model import Version

STOPPED_STATES = frozenset((STATE_LEAVING, STATE_GONE))


class NodeService:
    """Handles the sessions of a relay's nodes.

    Most methods return the commands to execute. ``progress_changed`` is set when there
    is new progress for the core to report.
    """

    def __init__(
        self,
        settings: RelaySettings,
        *,
        distributor: Distributor,
        departures: Departures,
        source: SourceFollower,
        exchange: EndpointExchange,
        fanout: EndpointFanout,
    ) -> None:
        """Start without sessions; the components are shared with the relay's core."""
        self.progress_changed = False
        self.deferred_until = 0.0
        """Latest monotonic time, in seconds, at which a deferred node is to return."""
        self.heartbeats = Heartbeats(
            settings.freshness_milliseconds / 1_000, distributor.freshness
        )
        self._settings = settings
        self._distributor = distributor
        self._departures = departures
        self._source = source
        self._exchange = exchange
        self._fanout = fanout
        self._admission = TokenBucket(settings.hellos_per_second)
        self._was_settled = False
        self._listed_last: RelaysListed | None = None

    @property
    def bytes_sent(self) -> int:
        """Payload bytes sent to nodes since the start."""
        return (
            self._distributor.bytes_sent
            + self._fanout.bytes_sent
            + self.heartbeats.bytes_sent
        )

    def list_relays(self) -> list[Command]:
        """Send every node the list of relays, if that is enabled and the list changed."""
        if not self._settings.lists_relays:
            return []
        listed = self._listed()
        if listed == self._listed_last:
            return []
        self._listed_last = listed
        return [SendMessage(link, listed) for link in self._distributor.sessions]

    def first_message(self, link: LinkId, message: Message, now: float) -> list[Command]:
        """Handle the first message on a link; only a hello starts a session."""
        if not isinstance(message, NodeHello):
            return _refuse(link, "hello_expected", type(message).__name__)
        if message.cluster != self._settings.cluster:
            return _refuse(link, "another_cluster", message.node)
        if not self._admission.admit(now):
            return self._defer(link, message, now)
        return self._welcome(link, message, now)

    def received(self, session: NodeSession, message: Message, now: float) -> list[Command]:
        """Handle a message from a node that has a session."""
        session.last_heard = now
        out = self._advertise_again(session, now)
        match message:
            case NodeAlive():
                session.clock = NodeClock(message.sent_at_milliseconds, now)
                self._alive(session, message.version)
            case UpdateApplied():
                out += self._applied(session, message)
            case UpdateRefused():
                out += self._refused(session, message, now)
            case EndpointAnnounced():
                out += self._announced(session, message, now)
            case EndpointsHeld():
                settled = self._exchange.is_settled(now)
                out += self._fanout.answer_held(session, message, settled)
            case _:
                self._end(session.link, now)
                out += _refuse(session.link, "unexpected_message", type(message).__name__)
        return out

    def closed(self, link: LinkId, reason: str, now: float) -> list[Command]:
        """Remove the session of a closed link."""
        session = self._end(link, now)
        if session is None:
            return []
        return [Report(notices.NodeDisconnected(session.node, reason))]

    def offer(self, sessions: Iterable[NodeSession]) -> list[Command]:
        """Send each session the update it needs."""
        return self._distributor.offer_all(sessions, self._source.confirmed_at)

    def release_confirmed(self) -> list[Command]:
        """Send updates to nodes whose wait for a confirmation is over."""
        confirmed_at = self._source.confirmed_at
        if confirmed_at is None or not self._distributor.unconfirmed:
            return []
        return self.offer(self._distributor.confirm(confirmed_at))

    def heartbeat(self, now: float) -> list[Command]:
        """Send the heartbeats of the next slot of the period; close its silent sessions."""
        alive, silent = self.heartbeats.next_slot(now)
        out = self.heartbeats.send_to(alive, self._source.confirmed_at)
        for session in silent:
            out += self.closed(session.link, "silent", now)
            out.append(CloseLink(session.link, "silent"))
        if self._departures.drop_expired(now):
            self.progress_changed = True
        return out + self._settle(now)

    def redirect_nodes(self) -> list[Command]:
        """Redirect every node to another relay, and serve each until it leaves."""
        links = list(self._distributor.sessions)
        if not links:
            return []
        goodbyes = [SendMessage(link, Goodbye(CUT_OFF)) for link in links]
        return [Report(notices.NodesSentAway(len(links))), *goodbyes]

    def endpoint_changes(self, now: float) -> list[Command]:
        """Send nodes all endpoints that changed since the previous call."""
        changed = tuple(self._exchange.changed.values())
        self._exchange.changed.clear()
        for endpoint in changed:
            if endpoint.state != STATE_GONE:
                self._departures.seen_elsewhere(endpoint.node, now)
        return self._fanout.changes(changed, self._distributor.sessions_by_scope)

    def resumed(self, suspension_seconds: float, now: float) -> None:
        """Resume after a suspension; advertise no node until it sends a message again."""
        sessions = self._distributor.sessions.values()
        for session in sessions:
            session.heard_since_resume = False
            session.clock = None
        nodes = [session.node for session in sessions]
        self._exchange.resumed(nodes, suspension_seconds, now)
        self._was_settled = False

    def invalidate_clocks(self) -> None:
        """Discard the clock readings of all nodes.

        A node is sent no confirmation times until a new reading of its clock arrives.
        """
        for session in self._distributor.sessions.values():
            session.clock = None

    # --- hello -----------------------------------------------------------------

    def _welcome(self, link: LinkId, hello: NodeHello, now: float) -> list[Command]:
        """Start a session and answer at once, with a heartbeat ahead of any update.

        A complete configuration takes one second on a 1 Mbit/s link, but a node leaves
        a relay that sends nothing for half a second.
        """
        session = _session(link, hello, now)
        self._distributor.add(session)
        self._departures.node_reconnected(hello.node)
        self.heartbeats.add(session)
        self.progress_changed = True
        out: list[Command] = [Report(_connected(session))]
        if self._settings.lists_relays:
            out.append(SendMessage(link, self._listed()))
        if session.needs_confirmation:
            out += self._source.request_confirmation(now)
        answer = self.offer((session,))
        if session.outstanding_version or not session.answered:
            out += self.heartbeats.send_to([session], self._source.confirmed_at)
        return out + answer

    def _listed(self) -> RelaysListed:
        settings = self._settings
        own = RelayListed(settings.relay, settings.zone, settings.listen)
        others = self._exchange.listed()
        return RelaysListed(tuple(sorted((own, *others), key=lambda each: each.name)))

    def _defer(self, link: LinkId, hello: NodeHello, now: float) -> list[Command]:
        seconds = self._admission.retry_after_seconds()
        self.deferred_until = max(self.deferred_until, now + seconds)
        milliseconds = round(seconds * 1_000)
        return [
            Report(notices.HelloDeferred(hello.node, milliseconds)),
            SendMessage(link, RetryAfter(milliseconds)),
            CloseLink(link, "deferred"),
        ]

    # --- messages of a node ----------------------------------------------------

    def _advertise_again(self, session: NodeSession, now: float) -> list[Command]:
        if session.heard_since_resume:
            return []
        session.heard_since_resume = True
        if session.endpoint is None:
            return []
        return self._exchange.announced(session.endpoint, now)

    def _alive(self, session: NodeSession, version: Version) -> None:
        if not session.behind_since:
            session.version = max(session.version, version)

    def _applied(self, session: NodeSession, message: UpdateApplied) -> list[Command]:
        self.progress_changed = True
        is_more_due = self._distributor.applied(session, message)
        return self.offer((session,)) if is_more_due else []

    def _refused(
        self, session: NodeSession, message: UpdateRefused, now: float
    ) -> list[Command]:
        is_unconfirmed = message.reason == UNCONFIRMED
        notice = notices.UpdateRejected(session.node, message.version, message.reason)
        out: list[Command] = [Report(notice)]
        if self._distributor.refused(session, message.version, is_unconfirmed, now):
            out += self.offer((session,))
        elif is_unconfirmed:
            out += self._source.request_confirmation(now)
        return out

    def _announced(
        self, session: NodeSession, message: EndpointAnnounced, now: float
    ) -> list[Command]:
        endpoint = message.endpoint
        if endpoint.node != session.node:
            return []
        session.endpoint = endpoint
        session.is_leaving = endpoint.state in STOPPED_STATES
        newer = self._exchange.newer_than(endpoint)
        if newer is not None:
            packed = pack_endpoints(EndpointsChanged((newer,)))
            return [SendMessage(session.link, packed)]
        return self._exchange.announced(endpoint, now)

    # --- internals -------------------------------------------------------------

    def _settle(self, now: float) -> list[Command]:
        """Send every node the endpoint digest once, when the table becomes complete."""
        if self._was_settled or not self._exchange.is_settled(now):
            return []
        self._was_settled = True
        sessions = self._distributor.sessions.values()
        return [self._fanout.digest_for(session) for session in sessions]

    def _end(self, link: LinkId, now: float) -> NodeSession | None:
        session = self._distributor.remove(link, now)
        if session is None:
            return None
        self.heartbeats.remove(session)
        self.progress_changed = True
        if self._distributor.has_node(session.node):
            return session
        self._exchange.session_lost(session.node, now)
        if not session.is_leaving:
            self._departures.session_ended(session, now)
        return session


def _refuse(link: LinkId, reason: str, detail: str) -> list[Command]:
    return [
        Report(notices.HelloRejected(detail, reason)),
        SendMessage(link, Refused(reason, detail)),
        CloseLink(link, reason),
    ]


def _session(link: LinkId, hello: NodeHello, now: float) -> NodeSession:
    return NodeSession(
        link=link,
        node=hello.node,
        incarnation=hello.incarnation,
        scope=hello.scope,
        version=hello.version,
        digest=hello.digest,
        floor=hello.floor,
        hello_at=now,
        last_heard=now,
        clock=NodeClock(hello.sent_at_milliseconds, now),
        needs_confirmation=hello.version == 0 and hello.floor == 0,
    )


def _connected(session: NodeSession) -> notices.NodeConnected:
    scope = session.scope
    return notices.NodeConnected(
        session.node, scope.service, scope.zone, session.version, session.holds_nothing
    )
