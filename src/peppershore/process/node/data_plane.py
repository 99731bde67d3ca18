"""The data plane of a node: accepts callers' requests, returns back ends' responses."""

from __future__ import annotations

import asyncio
import secrets
import ssl
from collections.abc import Callable

import msgspec

from peppershore.connection.authorization import Authorize, allow_all
from peppershore.connection.head_packing import is_worth_it
from peppershore.connection.http_head import (
    MAX_HEAD_BYTES,
    MAX_REQUEST_LINE_BYTES,
    HeadProblem,
    RequestHead,
)
from peppershore.connection.http_listener import HttpListener
from peppershore.connection.http_server import (
    RequestSink,
    ServerConnection,
    ServerExchange,
)
from peppershore.connection.irregular_answers import IRREGULAR_ANSWERS
from peppershore.connection.messages.calls import CallLinkHello
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.connection.messages.rollouts import RouteEvidence
from peppershore.process.commands import Notice
from peppershore.process.node.back_end_reports import (
    NO_INCARNATION,
    BackEndIncarnation,
    BackEndView,
)
from peppershore.process.node.data import notices
from peppershore.process.node.data.arrival_report import ArrivalReport
from peppershore.process.node.data.backend_probe import STATE_READY, BackendProbe
from peppershore.process.node.data.call import Call
from peppershore.process.node.data.call_listener import CallListener
from peppershore.process.node.data.calls import Calls
from peppershore.process.node.data.checked_claims import CheckedClaims
from peppershore.process.node.data.link_guard import LinkGuard
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.process.node.data.owner_links import OwnerLinks
from peppershore.process.node.profile import need_bounds, retry_bound
from peppershore.process.randomness import Randomness
from peppershore.process.settings import NodeSettings
from peppershore.request.back_ends.local_need import NeedChange
from peppershore.request.body_transfers import BodyTransfers
from peppershore.request.claim import ClaimsClient
from peppershore.request.quarantine import Suspect
from peppershore.request.send_kind import ArrivalCounts
from peppershore.request.version_evidence import VersionEvidence
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import ServiceSettings

TICK_SECONDS = 0.5
IDLE_SECONDS = 75.0
LEAVING_SECONDS = 2.0
"""For this long after ``begin_drain`` calls of other nodes are still served."""

DRAIN_POLL_SECONDS = 0.02
FRESH_CONNECTION_SECONDS = 1.0
"""Minimum idle time before a drain closes a caller's connection while callers still come.

A connection that was just opened looks idle, but closing it would lose a request that is
already in flight.
"""

CALLERS_QUIET_SECONDS = 0.3
"""A drain assumes that callers use other nodes once none came for this long."""

UNRESTRICTED_DRAIN_SHARE = 0.5
"""Share of a planned stop's time limit in which every call is accepted.

After it only calls are accepted that are certain to end within the time limit, because
their deadline lies before its end.
"""

MILLISECONDS = 1_000
LONGEST_CALL_SECONDS = 10.0
"""Longest time-out of a call, assumed while there is no configuration."""


class ListenAddresses(msgspec.Struct, frozen=True):
    """Addresses of a node's listeners, "IP:port".

    ``callers`` is the listener for callers, ``internal`` that for calls from other nodes;
    it is empty without one.
    """

    callers: str
    internal: str

    @property
    def callers_port(self) -> int:
        """Port of the listener for callers."""
        return int(self.callers.rpartition(":")[2])


class DrainReport(msgspec.Struct, frozen=True):
    """How long a drain took, and what was still in flight at its time limit."""

    seconds: float
    calls_at_start: int
    calls_cut: int
    direct_slots_cut: int


class DataPlane:
    """Listeners, calls, local back end and call links of one node."""

    def __init__(
        self,
        settings: NodeSettings,
        notice_sink: Callable[[Notice], None],
        seed: int | None = None,
        *,
        client_tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
        authorize: Authorize = allow_all,
    ) -> None:
        """Create the data plane; must be called on the running event loop.

        ``seed`` makes random choices reproducible. The TLS contexts secure links between
        nodes, and ``authorize`` decides which messages a peer on them may send.
        """
        self.draining = False
        self.on_back_end_ended: Callable[[str, tuple[Suspect, ...]], None] = (
            lambda life, under: None
        )
        """Called with the name of a crashed incarnation of the local back end.

        The second argument holds the requests that ran there.
        """
        self.on_back_end_leaving: Callable[[BackEndIncarnation], None] = lambda life: None
        """Called with the incarnation of the local back end that says it is leaving."""
        self.on_evidence: Callable[[int, tuple[RouteEvidence, ...]], None] = (
            lambda began, routes: None
        )
        """Called with the call statistics of the local back end during a roll-out.

        The first argument is the start of the roll-out in Unix milliseconds.
        """
        self._settings = settings
        self._notice_sink = notice_sink
        self._loop = asyncio.get_running_loop()
        random = Randomness(secrets.randbits(63) if seed is None else seed)
        hello = CallLinkHello(settings.cluster, settings.node, 0)
        guard = LinkGuard(authorize, notice_sink)
        packs_heads = is_worth_it(settings.link_megabits)
        self._links = OwnerLinks(hello, client_tls, guard, packs_heads=packs_heads)
        self.calls = Calls(settings, notice_sink, random, self._links)
        self._connections: set[ServerConnection] = set()
        self._listener = HttpListener(lambda: ServerConnection(self))
        self._own = _own_backend(settings, random, self.calls)
        self.calls.use_own_back_end(self._own)
        if self._own is not None:
            self._own.crashes.on_ended = self._back_end_ended
            self._own.on_unused_fields = self._unused_fields_seen
            self._own.on_need_changed = self._need_changed
        self._call_listener = CallListener(
            settings.cluster,
            lambda: self._own,
            self._longest_call_seconds,
            server_tls,
            guard,
            log=self.calls.log,
            packs_heads=packs_heads,
        )
        self._arrival_report = ArrivalReport(settings.service, self._loop.time())
        self._probe: BackendProbe | None = None
        self._on_backend_state: Callable[[str], None] | None = None
        self._tick: asyncio.TimerHandle | None = None
        self._listening: asyncio.Task[None] | None = None
        self._drain_began = 0.0
        self._caller_seen_at = 0.0
        self._calls_at_drain = 0

    # --- for the node's shell

    def use_configuration(self, active: ActiveConfiguration) -> None:
        """Use this configuration for new calls."""
        self.calls.use_configuration(active)
        if not self._listener.listening and not self.draining:
            self._listening = self._loop.create_task(self._listener.listen())
        settings = active.services.get(self._settings.service)
        if self._own is not None and settings is not None:
            self._own.use_settings(settings)

    def use_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Replace the live endpoints of the services that this node may call."""
        self.calls.use_endpoints(endpoints)

    def use_claims(self, claims: ClaimsClient) -> None:
        """Record claims with this client before calls with an idempotency key are sent."""
        self.calls.claims.client = CheckedClaims(claims)

    def use_back_end(self, view: BackEndView) -> None:
        """Apply the state that the local back end reports by heartbeats."""
        if self._own is None:
            return
        had_other_life = self._own.life not in (NO_INCARNATION, view.life)
        self._own.use_view(view)
        if had_other_life:
            self._call_listener.recall_loans()

    def on_back_end_absent(self, callback: Callable[[str, bool], None]) -> None:
        """Call ``callback`` with the name of an incarnation that is not at its address.

        It is one of the local back end. The second argument says that another incarnation
        answered there.
        """
        if self._own is not None:
            self._own.on_absent = callback

    def on_backend_state(self, callback: Callable[[str], None]) -> None:
        """Start to probe the local back end; call ``callback`` with each new state.

        A back end that reports its state by heartbeats is not probed.
        """
        self._on_backend_state = callback
        is_reported = bool(self._settings.back_end_listen)
        if self._settings.backend and not is_reported and self._probe is None:
            self._probe = BackendProbe(self._settings.backend, self._backend_changed)
            self._probe.start()

    async def start(self) -> ListenAddresses:
        """Listen for callers and, if configured, for other nodes.

        A node that takes over from an older process listens for callers only once it has
        a configuration. Raise OSError if an address is in use.
        """
        host, _, port = self._settings.listen.rpartition(":")
        callers = self._listener.bind(host, int(port), self._settings.take_over)
        if not self._settings.take_over:
            await self._listener.listen()
        internal = ""
        if self._settings.internal_listen:
            host, _, port = self._settings.internal_listen.rpartition(":")
            bound = await self._call_listener.start(host, int(port))
            internal = f"{host}:{bound}"
        self._tick = self._loop.call_later(TICK_SECONDS, self._ticked)
        return ListenAddresses(callers, internal)

    def begin_drain(self) -> None:
        """Begin a drain: recall slot loans and let a successor accept new connections.

        The successor is a younger process that listens on the same address, if there is
        one. Calls in flight continue.
        """
        if self.draining:
            return
        self.draining = True
        self._drain_began = self._loop.time()
        self._calls_at_drain = self._in_flight
        self._call_listener.recall_loans()
        self._listener.hand_over()

    async def drained(self, bound_seconds: float) -> DrainReport:
        """Wait until nothing is in flight, at most ``bound_seconds``; return a report."""
        self.begin_drain()
        end = self._drain_began + bound_seconds
        self.calls.end_at(end, self._drain_began + UNRESTRICTED_DRAIN_SHARE * bound_seconds)
        leaving_ends = min(end, self._drain_began + LEAVING_SECONDS)
        await asyncio.sleep(max(0.0, leaving_ends - self._loop.time()))
        if self._own is not None:
            self._own.stop()
        await self._wait_until_back_end_idle(end)
        await self._wait_until_callers_left(end)
        self._listener.close()
        while self._busy and self._loop.time() < end:
            self._close_idle(0.0)
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._close_idle(0.0)
        return self._report_drain()

    async def _wait_until_back_end_idle(self, end: float) -> None:
        """Wait until the local back end is idle: its work may make calls via this node."""
        own = self._own
        while own is not None and own.in_flight and self._loop.time() < end:
            self._close_idle(FRESH_CONNECTION_SECONDS)
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _wait_until_callers_left(self, end: float) -> None:
        """Wait until no more callers come; some may not know another ready node yet."""
        while self._loop.time() < min(end, self._caller_seen_at + CALLERS_QUIET_SECONDS):
            self._close_idle(FRESH_CONNECTION_SECONDS)
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def close(self) -> None:
        """Close listeners and connections immediately."""
        if self._tick is not None:
            self._tick.cancel()
        if self._probe is not None:
            self._probe.stop()
        self._listener.close()
        self.calls.close()
        for connection in list(self._connections):
            connection.close()
        await self._call_listener.close()
        self._links.close()
        if self._own is not None:
            self._own.close()

    @property
    def listening(self) -> bool:
        """Whether callers are accepted."""
        return self._listener.listening

    @property
    def lent_slots(self) -> int:
        """Slots of the local back end on loan, which other nodes may use directly."""
        return self._call_listener.lent(self._loop.time())

    @property
    def arrivals(self) -> ArrivalCounts:
        """Sends that reached the local back end since the start; none without one."""
        return ArrivalCounts() if self._own is None else self._own.repeats.arrivals

    @property
    def streams_served(self) -> int:
        """Number of other nodes' calls accepted for the local back end since the start."""
        return self._call_listener.streams_served

    # --- interface ServerOwner, called by callers' connections

    def request_received(self, exchange: ServerExchange, head: RequestHead) -> RequestSink:
        """Create the call for a received request; its body is passed to the result."""
        self._caller_seen_at = self._loop.time()
        return Call(self.calls, exchange, head)

    @property
    def max_head_bytes(self) -> int:
        """Longest head of a caller's request in bytes, by the configuration in use."""
        settings = self._own_settings
        if settings is None:
            return MAX_HEAD_BYTES
        return settings.max_header_bytes + MAX_REQUEST_LINE_BYTES

    def is_safe_to_retry(self, head: RequestHead) -> bool:
        """Return whether the route of a request declares it safe to retry."""
        return self.calls.is_safe_to_retry(head)

    def request_refused(self, problem: HeadProblem) -> bytes:
        """Count a malformed request; return the body of the error response."""
        self._notice_sink(notices.MalformedRequest(problem.reason, problem.status))
        return f"not-run: {problem.reason}\n".encode()

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a caller's new connection."""
        self._caller_seen_at = self._loop.time()
        self._connections.add(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a caller's closed connection."""
        self._connections.discard(connection)

    # --- internal

    @property
    def _in_flight(self) -> int:
        return self.calls.in_flight + self._call_listener.streams

    @property
    def _busy(self) -> bool:
        return (
            self._in_flight > 0
            or self.lent_slots > 0
            or any(c.busy for c in self._connections)
        )

    def _ticked(self) -> None:
        now = self._loop.time()
        self._tick = self._loop.call_later(TICK_SECONDS, self._ticked)
        self.calls.tick(now)
        self._call_listener.reclaim_expired(now)
        if self._own is not None:
            self._own.pool.trim(now)
            self._send_evidence(self._own.evidence)
            self._report_arrivals(self._own, now)
        self._report_irregular_answers()
        self._close_idle(self._idle_seconds)

    def _report_irregular_answers(self) -> None:
        recent = IRREGULAR_ANSWERS.take()
        if recent is not None:
            notice = notices.IrregularAnswersSeen(recent.counts, recent.request_ids)
            self._notice_sink(notice)

    def _send_evidence(self, evidence: VersionEvidence) -> None:
        routes = evidence.take_changes()
        if routes is not None and evidence.began_milliseconds:
            self.on_evidence(evidence.began_milliseconds, routes)

    def _report_arrivals(self, own: LocalBackEnd, now: float) -> None:
        repeats = own.repeats
        notice = self._arrival_report.take(repeats.arrivals, repeats.sharers(now), now)
        if notice is not None:
            self._notice_sink(notice)

    @property
    def _idle_seconds(self) -> float:
        """Idle time-out of callers' connections, from the configuration if there is one."""
        settings = self._own_settings
        if settings is None:
            return IDLE_SECONDS
        return settings.idle_timeout_milliseconds / MILLISECONDS

    @property
    def _own_settings(self) -> ServiceSettings | None:
        """Settings of this node's service; None as long as no configuration has them."""
        active = self.calls.configuration
        return None if active is None else active.services.get(self._settings.service)

    def _close_idle(self, seconds: float) -> None:
        now = self._loop.time()
        for connection in list(self._connections):
            if not connection.busy and connection.idle_seconds(now) >= seconds:
                connection.close()

    def _backend_changed(self, state: str) -> None:
        if self.draining:
            return
        self._notice_sink(notices.BackendStateSeen(state))
        if state == STATE_READY and self._own is not None:
            self._own.start_ramp()
        if self._on_backend_state is not None:
            self._on_backend_state(state)

    def _unused_fields_seen(self, fields: tuple[str, ...]) -> None:
        if self._own is not None:
            instance = self._own.life.instance
            service = self._settings.service
            self._notice_sink(notices.AnswerFieldsUnused(service, instance, fields))

    def _need_changed(self, change: NeedChange) -> None:
        """Log a change of the local back end's need; recall the slots that were lent.

        A peer that calls the back end directly counts its calls for itself alone.
        """
        own = self._own
        assert own is not None
        service, instance = self._settings.service, own.life.instance
        if change.limit_began:
            rate = own.need.rate_limit.rate or 0.0
            self._notice_sink(notices.RateLimitNamed(service, instance, rate))
        if change.limit_ended:
            self._notice_sink(notices.RateLimitEnded(service, instance))
        if change.began_leaving:
            self._notice_sink(notices.LeavingAnswered(service, instance))
            if own.life != NO_INCARNATION:
                self.on_back_end_leaving(own.life)
        if change.limit_began or change.began_leaving:
            self._call_listener.recall_loans()

    def _back_end_ended(self, life: str, under: tuple[Suspect, ...]) -> None:
        keys = tuple(each.key.hex() for each in under)
        self._notice_sink(notices.BackEndEnded(self._settings.service, life, keys))
        self.on_back_end_ended(life, under)
        if self._own is not None:
            self._own.report_absent(life)

    def _longest_call_seconds(self) -> float:
        """Return the longest time-out of calls from other nodes to the local back end."""
        active = self.calls.configuration
        if active is None:
            return LONGEST_CALL_SECONDS
        own = self._settings.service
        timeouts = [
            route.settings.timeout_milliseconds
            for route in active.routes
            if (route.settings.target or route.service) == own
        ]
        return max(timeouts, default=0) / MILLISECONDS or LONGEST_CALL_SECONDS

    def _report_drain(self) -> DrainReport:
        now = self._loop.time()
        report = DrainReport(
            now - self._drain_began,
            self._calls_at_drain,
            self._in_flight,
            self.lent_slots,
        )
        self._notice_sink(
            notices.DrainEnded(
                report.seconds,
                report.calls_at_start,
                report.calls_cut,
                report.direct_slots_cut,
            )
        )
        return report


def _own_backend(
    settings: NodeSettings, random: Randomness, calls: Calls
) -> LocalBackEnd | None:
    if not settings.backend:
        return None
    endpoint = Endpoint(
        node=settings.node,
        service=settings.service,
        zone=settings.zone,
        incarnation=0,
        sequence=0,
        state=STATE_READY,
        address=settings.backend,
        owner_address="",
        slots=settings.slots,
        connections=settings.connections,
    )
    transfers = BodyTransfers(settings.link_megabits)
    backend = LocalBackEnd(
        endpoint,
        ServiceSettings(),
        random,
        calls.names,
        transfers=transfers,
        quarantine=calls.quarantine,
        large_answers=calls.large_answers,
        weights=calls.weights,
        bounds=need_bounds(settings),
        retry_bound=retry_bound(settings.shared_retries),
    )
    if settings.back_end_listen:
        backend.leave()
    return backend
