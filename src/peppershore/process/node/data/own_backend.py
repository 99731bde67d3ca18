"""This node's own back end: the one authority over its slots and its drain.

Every call to it passes here, so what was acknowledged to the back end binds here: one
that leaves gets no new call after a bound, and a call is meant for one life of it.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from peppershore.connection.http_head import first_value
from peppershore.connection.http_pool import ConnectionPool
from peppershore.connection.messages.calls import MICROSECONDS, HeaderFields, OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.node.back_end_reports import (
    NO_LIFE,
    STATE_GONE,
    STATE_LEAVING,
    STATE_READY,
    BackEndView,
    Life,
)
from peppershore.process.node.data.attempt import AttemptRequest
from peppershore.process.node.data.call_story import ServedRecord
from peppershore.process.node.data.crash_watch import CrashWatch
from peppershore.process.node.data.direct_attempt import BackEndTerms
from peppershore.process.node.data.large_answers import LargeAnswers
from peppershore.process.node.data.quarantine_gate import QuarantineGate
from peppershore.process.node.data.waiting_attempt import WaitingAttempt
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.back_ends.own_report import OwnReport
from peppershore.request.back_ends.told_load import read_load
from peppershore.request.bodies_ahead import BodiesAhead
from peppershore.request.body_transfers import BodyTransfers
from peppershore.request.endpoint_state import Verdict
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import SLOW_NOW, STATUS_UNAVAILABLE, NotRun
from peppershore.request.picker import RandomSource
from peppershore.request.running_calls import RunningCalls
from peppershore.request.tenants.weights import ConfiguredWeights
from peppershore.request.version_evidence import VersionEvidence
from peppershore.request.waiting import Ticket
from peppershore.request.wire_names import OWN_NAMES, WireNames
from peppershore.version.model import ServiceSettings

LEAVING_RETRY_AFTER_MILLISECONDS = 100
SLOW_RETRY_AFTER_MILLISECONDS = 100
KICK_SECONDS = 0.02
MILLISECONDS = 1_000


class OwnBackend:
    """Admits every call to the back end beside this node."""

    def __init__(
        self,
        endpoint: Endpoint,
        settings: ServiceSettings,
        random: RandomSource,
        names: WireNames = OWN_NAMES,
        *,
        transfers: BodyTransfers | None = None,
        quarantine: QuarantineGate | None = None,
        large_answers: LargeAnswers | None = None,
        weights: ConfiguredWeights | None = None,
    ) -> None:
        """Start with all slots free; ``transfers`` bounds large bodies on their way.

        ``large_answers`` go out by this node's link; None: it is wide enough.
        ``weights`` are those of the tenants of the configuration in use.
        """
        self.large_answers = large_answers
        self.leaving = False
        self.on_not_there: Callable[[str], None] = lambda life: None
        self.slots = endpoint.slots
        self.running = RunningCalls()
        self.crashes = CrashWatch(endpoint.node, endpoint.address)
        self.quarantine = quarantine or QuarantineGate(asyncio.get_running_loop().time)
        self.transfers = transfers or BodyTransfers()
        self.evidence = VersionEvidence()
        self.report = OwnReport()
        self.sent_on = 0
        """Calls refused since the machine was slow, so that they go elsewhere."""
        self._warm_at = 0.0
        self._ahead = BodiesAhead()
        self._awaiting_transfer: dict[WaitingAttempt, None] = {}
        self._endpoint = endpoint
        self.service = endpoint.service
        self._names = names
        self._life = NO_LIFE
        self._refuse: asyncio.TimerHandle | None = None
        self._offered_slots = endpoint.slots
        self._lent = 0
        self.pool = ConnectionPool(endpoint.address, endpoint.connections)
        self._node = endpoint.node
        now = asyncio.get_running_loop().time()
        self.admission = Admission(
            endpoint.service, settings, endpoint.zone, random, weights=weights
        )
        self.admission.use_endpoints((endpoint,), now)
        self._numbers = itertools.count(1)
        self._waiting: dict[int, WaitingAttempt] = {}
        self._kick: asyncio.TimerHandle | None = None

    @property
    def life(self) -> Life:
        """The life that calls are meant for now."""
        return self._life

    @property
    def in_flight(self) -> int:
        """Calls that hold a slot or wait for one here."""
        waiting = self.admission.waiting + len(self._awaiting_transfer)
        return self.admission.in_flight + self._ahead.coming + waiting

    def load(self, route: str) -> OwnerLoad:
        """Give what other nodes are told of it with a call of this route.

        A call whose body is on its way counts as running: its slot is spoken for.  So
        does what the back end says it has and this node knows nothing of.
        """
        admission, report = self.admission, self.report
        now = asyncio.get_running_loop().time()
        work = report.usual_work(route) or admission.known_work(route)
        running = admission.in_flight + self._ahead.coming + report.taken(self.slots, now)
        desk = self.large_answers
        return OwnerLoad(
            running,
            admission.waiting,
            self.slots,
            round(work * MICROSECONDS),
            pace_percent=report.pace_percent,
            pace_age_milliseconds=report.pace_age_milliseconds(now),
            link_wait_milliseconds=0 if desk is None else desk.wait_milliseconds,
        )

    def heard(self, told: bytes, life: str) -> None:
        """Take what the back end said of its load with an answer."""
        load = read_load(told)
        if load is not None and life == self._life.name:
            now = asyncio.get_running_loop().time()
            self.report.heard(load, self.admission.in_flight + self._lent, now)

    def request_id(self, request: AttemptRequest) -> bytes:
        """Give the id under which the back end is given a request."""
        return first_value(request.headers, self._names.request_id)

    @property
    def terms(self) -> BackEndTerms:
        """How to speak with the present life of the back end."""
        life = self._life
        return BackEndTerms(self._names, life.instance.encode("latin-1"), life.name)

    def record(self, headers: HeaderFields, fingerprint: Fingerprint) -> ServedRecord:
        """Give what is known now that a peer's call comes."""
        return ServedRecord(
            request_id=first_value(headers, self._names.request_id),
            service=self.service,
            instance=self._life.instance,
            began_at=asyncio.get_running_loop().time(),
            running=self.admission.in_flight,
            waiting=self.admission.waiting,
            slots=self.slots,
            fingerprint=fingerprint,
        )

    def use_view(self, view: BackEndView, leaving_bound_seconds: float) -> None:
        """Take what the back end says of itself by heartbeats.

        One that leaves takes what is on its way for the bound, and nothing after it.
        """
        if view.life != self._life:
            self._life = view.life
            self.crashes.begin_life(view.life.name)
            self._begin_life()
            self._stop_refusing_later()
            self.leaving = False
            now = asyncio.get_running_loop().time()
            self._warm_at = now + max(0, view.warming_milliseconds) / MILLISECONDS
            self.evidence.begin(self.evidence.began_milliseconds)
        if view.slots:
            self._offered_slots = view.slots
            self.slots = view.slots
        self._apply_limit()
        if view.state == STATE_LEAVING:
            self.crashes.says_it_leaves()
        if view.state == STATE_READY:
            self._stop_refusing_later()
            self.leaving = False
        elif view.state == STATE_GONE:
            self.leave()
        elif not self.leaving and self._refuse is None:
            loop = asyncio.get_running_loop()
            self._refuse = loop.call_later(leaving_bound_seconds, self.leave)

    def _begin_life(self) -> None:
        """Offer all slots of another life; calls under way keep theirs.

        It may still be slow, and callers' nodes send it less for that.  Here a slot that
        is free is given: a call comes where it could not go to a warmer one.
        """
        self._endpoint = msgspec.structs.replace(
            self._endpoint,
            incarnation=self._endpoint.incarnation + 1,
            warming_milliseconds=0,
        )
        now = asyncio.get_running_loop().time()
        self.report = OwnReport()
        self.admission.use_endpoints((self._endpoint,), now)
        self.pool.close_idle()

    def leave(self) -> None:
        """Give the back end no new call from now on; what it runs goes on."""
        self._stop_refusing_later()
        self.leaving = True
        self.refuse_waiting()

    def ended_well(self, fingerprint: Fingerprint) -> None:
        """The back end answered a call: it is not its like that ends back ends."""
        self.crashes.ended_well(fingerprint)
        self.quarantine.ended_well(fingerprint)

    def refuse_not_there(self, life: str) -> None:
        """Nobody answers at its address, or another life of it does."""
        if life == self._life.name:
            self.on_not_there(life)

    def use_settings(self, settings: ServiceSettings) -> None:
        """Take new settings; the tree may lower the slots, not raise them."""
        self.evidence.use_settings(settings)
        if not self._life.instance:
            self.slots = min(self._offered_slots, settings.slots)
        self.admission.use_settings(settings)
        self._apply_limit()

    def lend(self, slots: int) -> None:
        """Keep ``slots`` back for nodes that call the back end themselves."""
        self._lent = slots
        self._apply_limit()

    def start_ramp(self) -> None:
        """The back end has come up: give it its calls little by little."""
        self.crashes.begin_life(self._life.name)
        state = self.admission.state(self._node)
        if state is not None:
            state.ramp_started = asyncio.get_running_loop().time()

    def admit(
        self, attempt: WaitingAttempt, request: AttemptRequest
    ) -> Dispatch | NotRun | Ticket:
        """Give the slot, the refusal, or the place in the queue."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        now = asyncio.get_running_loop().time()
        self._set_limit(now)
        ticket = Ticket(
            next(self._numbers),
            request.call_class,
            request.deadline,
            may_wait=request.may_wait,
            priority=request.priority,
            start_by=request.start_by,
            is_client_retry=request.is_client_retry,
            route=request.route,
            tenant=request.tenant,
        )
        decision = self.admission.offer(ticket, now)
        if isinstance(decision, NotRun):
            return msgspec.structs.replace(decision, retryable=True)
        if isinstance(decision, Dispatch):
            return decision
        self._waiting[ticket.number] = attempt
        self._refuse_evicted(decision, now)
        self._kick_later()
        return ticket

    def begin_body(self, request: AttemptRequest) -> bool:
        """Take in the body of a call that holds no slot yet, if it will have one soon."""
        if self._refusal(request) is not None:
            return False
        admission = self.admission
        return self._ahead.begin(admission.in_flight, admission.waiting, self.slots)

    def body_ended(self) -> None:
        """A body that came ahead of its slot is in or given up."""
        self._ahead.end()

    def _refusal(self, request: AttemptRequest) -> NotRun | None:
        advice = LEAVING_RETRY_AFTER_MILLISECONDS
        if request.service and request.service != self.service:
            return NotRun(STATUS_UNAVAILABLE, "other-service", advice, True)
        if self.leaving:
            return NotRun(STATUS_UNAVAILABLE, "back-end-leaving", advice, True)
        now = asyncio.get_running_loop().time()
        if not request.may_wait and self.report.is_slow(now):
            self.sent_on += 1
            return NotRun(STATUS_UNAVAILABLE, SLOW_NOW, SLOW_RETRY_AFTER_MILLISECONDS, True)
        return None

    def await_transfer(self, attempt: WaitingAttempt) -> None:
        """Let an attempt with a large body wait until there is room on the link."""
        self._awaiting_transfer[attempt] = None

    def give_up_transfer(self, attempt: WaitingAttempt) -> None:
        """An attempt waits for room no more."""
        self._awaiting_transfer.pop(attempt, None)

    @property
    def awaiting_transfer(self) -> tuple[WaitingAttempt, ...]:
        """The attempts that wait for room on the link, the oldest first."""
        return tuple(self._awaiting_transfer)

    def transfer_ended(self) -> None:
        """A large body is in or given up: the next one may come."""
        self.transfers.end()
        while self._awaiting_transfer and self.transfers.begin():
            attempt = self._next_transfer()
            del self._awaiting_transfer[attempt]
            attempt.transfer_begun()

    def _next_transfer(self) -> WaitingAttempt:
        """Give the newest first call; one that was refused before if there is no other.

        More come than the link carries only under overload: whoever waited longest would
        then be late by the time its body is in, and so would each after it.
        """
        waiting = self.awaiting_transfer
        first_calls = [attempt for attempt in waiting if not attempt.is_client_retry]
        return (first_calls or waiting)[-1]

    def withdraw(self, ticket: Ticket) -> None:
        """A waiting attempt was given up."""
        self._waiting.pop(ticket.number, None)
        self.admission.withdraw(ticket)

    def finished(self, dispatch: Dispatch, latency: float, verdict: Verdict | None) -> None:
        """Free a slot and give it to the next."""
        now = asyncio.get_running_loop().time()
        route, is_warm = dispatch.ticket.route, now >= self._warm_at
        self.evidence.note(route, latency, verdict, is_warm)
        if verdict == "good":
            self.report.ended(route, latency, now)
        self.admission.finished(dispatch, latency, verdict, now)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the waiting attempts that have room now."""
        if not self.admission.waiting:
            return
        now = asyncio.get_running_loop().time()
        self._set_limit(now)
        for ticket in self.admission.hopeless(now):
            given_up = self._waiting.pop(ticket.number)
            given_up.refused(self.admission.refusal_of_hopeless(ticket, now))
        for dispatch in self.admission.ready(now):
            attempt = self._waiting.pop(dispatch.ticket.number, None)
            if attempt is not None:
                attempt.admitted(dispatch)
            else:
                self.admission.finished(dispatch, 0.0, None, now)
        self._kick_later()

    def refuse_waiting(self) -> None:
        """Refuse all that wait: the back end leaves."""
        refusal = NotRun(
            STATUS_UNAVAILABLE, "back-end-leaving", LEAVING_RETRY_AFTER_MILLISECONDS, True
        )
        for attempt in (*self._waiting.values(), *self._awaiting_transfer):
            attempt.refused(refusal)

    def _stop_refusing_later(self) -> None:
        if self._refuse is not None:
            self._refuse.cancel()
            self._refuse = None

    def close(self) -> None:
        """Close idle connections."""
        self.crashes.close()
        self._stop_refusing_later()
        if self._kick is not None:
            self._kick.cancel()
        self.pool.close()

    def _apply_limit(self) -> None:
        self._set_limit(asyncio.get_running_loop().time())
        self.start_waiting()

    def _set_limit(self, now: float) -> None:
        """Offer the slots that are neither lent nor taken by unknown work."""
        kept_back = self._lent + self.report.taken(self.slots, now)
        self.admission.set_limit(self._node, max(0, self.slots - kept_back))

    def _refuse_evicted(self, decision: Waiting, now: float) -> None:
        if decision.evicted is None:
            return
        attempt = self._waiting.pop(decision.evicted.number)
        attempt.refused(self.admission.refusal_of_evicted(decision.evicted, now))

    def _kick_later(self) -> None:
        """Look again soon: ramps and ejections end without an event."""
        if self._kick is None and self.admission.waiting:
            loop = asyncio.get_running_loop()
            self._kick = loop.call_later(KICK_SECONDS, self._kicked)

    def _kicked(self) -> None:
        self._kick = None
        self.start_waiting()
