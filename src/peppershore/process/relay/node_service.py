"""How a relay serves its nodes: hello, updates, heartbeats, endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from peppershore.connection.codec import encode_message
from peppershore.connection.messages import (
    EndpointAnnounced,
    EndpointsChanged,
    EndpointsHeld,
    Freshness,
    Message,
    NodeAlive,
    NodeHello,
    Refused,
    RetryAfter,
    UpdateApplied,
    UpdateRefused,
)
from peppershore.process.commands import (
    CloseLink,
    Command,
    Report,
    SendEncoded,
    SendMessage,
)
from peppershore.process.endpoints.exchange import EndpointExchange
from peppershore.process.events import LinkId
from peppershore.process.relay import notices
from peppershore.process.relay.admission import TokenBucket
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.endpoint_fanout import EndpointFanout, is_urgent
from peppershore.process.relay.session import NodeSession
from peppershore.process.relay.source import SourceFollower
from peppershore.process.settings import RelaySettings
from peppershore.version.model import Scope, Version

HEARTBEAT_SLOTS = 16
"""A heartbeat period is cut into slots, so that sessions don't all have one turn."""
SILENT_PERIODS = 3
"""A node that says nothing for this many heartbeat periods is gone."""


class NodeService:
    """The sessions of a relay's nodes.

    Every method gives the commands it leads to.  ``progress_changed`` and
    ``urgent_endpoints`` tell the core what else there is to do.
    """

    def __init__(
        self,
        settings: RelaySettings,
        distributor: Distributor,
        source: SourceFollower,
        exchange: EndpointExchange,
        fanout: EndpointFanout,
    ) -> None:
        """Serve nodes from these parts."""
        self.progress_changed = False
        self._settings = settings
        self._distributor = distributor
        self._source = source
        self._exchange = exchange
        self._fanout = fanout
        self._admission = TokenBucket(settings.hellos_per_second)
        self._heartbeat_slot = 0
        self._heartbeat_bytes = 0
        self._was_settled = False

    @property
    def slot_seconds(self) -> float:
        """Time between two turns of the heartbeat."""
        return self._settings.freshness_milliseconds / 1_000 / HEARTBEAT_SLOTS

    @property
    def bytes_sent(self) -> int:
        """Payload bytes sent to nodes since the start."""
        return (
            self._distributor.bytes_sent + self._fanout.bytes_sent + self._heartbeat_bytes
        )

    def first_message(self, link: LinkId, message: Message, now: float) -> list[Command]:
        """Take what a link says first: only a hello begins a session."""
        if not isinstance(message, NodeHello):
            return self._refuse(link, "hello_expected", type(message).__name__)
        if message.cluster != self._settings.cluster:
            return self._refuse(link, "another_cluster", message.node)
        if not self._admission.admit(now):
            return self._defer(link, message)
        return self._welcome(link, message, now)

    def received(self, session: NodeSession, message: Message, now: float) -> list[Command]:
        """Take a message of a node."""
        session.last_heard = now
        match message:
            case NodeAlive():
                return self._alive(session, message.version)
            case UpdateApplied():
                return self._applied(session, message, now)
            case UpdateRefused():
                return self._refused(session, message, now)
            case EndpointAnnounced():
                return self._announced(session, message, now)
            case EndpointsHeld():
                settled = self._exchange.is_settled(now)
                return self._fanout.answer_held(session, message, settled)
        self._end(session.link, now)
        return self._refuse(session.link, "unexpected_message", type(message).__name__)

    def closed(self, link: LinkId, reason: str, now: float) -> list[Command]:
        """Forget the session of a link that is gone."""
        session = self._end(link, now)
        if session is None:
            return []
        return [Report(notices.NodeDisconnected(session.node, reason))]

    def offer(self, sessions: Iterable[NodeSession], now: float) -> list[Command]:
        """Send these sessions what they need."""
        return self._distributor.offer_all(sessions, self._source.age_milliseconds(now))

    def release_confirmed(self, now: float) -> list[Command]:
        """Serve the nodes that waited for a confirmation after their hello."""
        confirmed_at = self._source.confirmed_at
        if confirmed_at is None or not self._distributor.unconfirmed:
            return []
        return self.offer(self._distributor.confirm(confirmed_at), now)

    def heartbeat(self, now: float) -> list[Command]:
        """Take one turn: tell some of the sessions how fresh their version is."""
        self._heartbeat_slot = (self._heartbeat_slot + 1) % HEARTBEAT_SLOTS
        silent_bound = SILENT_PERIODS * self._settings.freshness_milliseconds / 1_000
        out: list[Command] = []
        payloads: dict[Version, bytes] = {}
        for session in list(self._distributor.sessions.values()):
            if (session.link // 2) % HEARTBEAT_SLOTS != self._heartbeat_slot:
                continue
            if now - session.last_heard > silent_bound:
                out.extend(self._drop_silent(session, now))
                continue
            out.append(self._freshness(session, payloads, now))
        return [*out, *self._settle(now)]

    def endpoint_changes(self) -> list[Command]:
        """Tell nodes of all endpoints that changed since the last call."""
        changed = tuple(self._exchange.changed.values())
        self._exchange.changed.clear()
        return self._fanout.changes(changed, self._distributor.sessions_by_scope)

    @property
    def has_urgent_endpoints(self) -> bool:
        """Tell whether some changed endpoint must be told without delay."""
        return any(is_urgent(endpoint) for endpoint in self._exchange.changed.values())

    # --- hello -----------------------------------------------------------------

    def _welcome(self, link: LinkId, hello: NodeHello, now: float) -> list[Command]:
        session = NodeSession(
            link=link,
            node=hello.node,
            incarnation=hello.incarnation,
            scope=hello.scope,
            version=hello.version,
            digest=hello.digest,
            floor=hello.floor,
            hello_at=now,
            last_heard=now,
            needs_confirmation=hello.digest == 0 and hello.floor == 0,
        )
        self._distributor.add(session)
        self.progress_changed = True
        out: list[Command] = [Report(_connected(hello))]
        if session.needs_confirmation:
            out.extend(self._source.ask_confirmation(now))
        out.extend(self.offer((session,), now))
        if not session.answered:
            out.append(self._freshness(session, {}, now))
        return out

    def _defer(self, link: LinkId, hello: NodeHello) -> list[Command]:
        milliseconds = round(self._admission.retry_after_seconds() * 1_000)
        return [
            Report(notices.HelloDeferred(hello.node, milliseconds)),
            SendMessage(link, RetryAfter(milliseconds)),
            CloseLink(link, "deferred"),
        ]

    def _refuse(self, link: LinkId, reason: str, detail: str) -> list[Command]:
        return [
            Report(notices.HelloRejected(detail, reason)),
            SendMessage(link, Refused(reason, detail)),
            CloseLink(link, reason),
        ]

    # --- messages of a node ----------------------------------------------------

    def _alive(self, session: NodeSession, version: Version) -> list[Command]:
        if not session.behind_since:
            session.version = max(session.version, version)
        return []

    def _applied(
        self, session: NodeSession, message: UpdateApplied, now: float
    ) -> list[Command]:
        self.progress_changed = True
        is_more_due = self._distributor.applied(session, message)
        return self.offer((session,), now) if is_more_due else []

    def _refused(
        self, session: NodeSession, message: UpdateRefused, now: float
    ) -> list[Command]:
        if not self._distributor.refused(session, message.version):
            return []
        notice = notices.UpdateRejected(session.node, message.version, message.reason)
        return [Report(notice), *self.offer((session,), now)]

    def _announced(
        self, session: NodeSession, message: EndpointAnnounced, now: float
    ) -> list[Command]:
        endpoint = message.endpoint
        if endpoint.node != session.node:
            return []
        newer = self._exchange.newer_than(endpoint)
        if newer is not None:
            return [SendMessage(session.link, EndpointsChanged((newer,)))]
        return self._exchange.announced(endpoint, now)

    # --- heartbeat -------------------------------------------------------------

    def _freshness(
        self, session: NodeSession, payloads: dict[Version, bytes], now: float
    ) -> Command:
        version = self._distributor.effective_version(session)
        payload = payloads.get(version)
        if payload is None:
            age = self._source.age_milliseconds(now)
            payload = encode_message(Freshness(version, age))
            payloads[version] = payload
        self._heartbeat_bytes += len(payload)
        return SendEncoded(session.link, payload)

    def _drop_silent(self, session: NodeSession, now: float) -> list[Command]:
        return [
            *self.closed(session.link, "silent", now),
            CloseLink(session.link, "silent"),
        ]

    def _settle(self, now: float) -> list[Command]:
        """Once the table can be taken for complete, let every node compare its own."""
        if self._was_settled or not self._exchange.is_settled(now):
            return []
        self._was_settled = True
        return [
            self._fanout.digest_for(each) for each in self._distributor.sessions.values()
        ]

    def _end(self, link: LinkId, now: float) -> NodeSession | None:
        session = self._distributor.remove(link)
        if session is None:
            return None
        self.progress_changed = True
        if not self._distributor.has_node(session.node):
            self._exchange.session_lost(session.node, now)
        return session


def _connected(hello: NodeHello) -> notices.NodeConnected:
    scope: Scope = hello.scope
    return notices.NodeConnected(
        hello.node, scope.service, scope.zone, hello.version, hello.digest == 0
    )
