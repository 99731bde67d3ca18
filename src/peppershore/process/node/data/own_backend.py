"""This node's own back end: the one authority over its slots and its drain.

Every call to it passes here, so what was acknowledged to the back end binds here: one
that leaves gets no new call after a bound, and a call is meant for one life of it.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable

import msgspec

from peppershore.connection.http_head import AnswerHead, HeaderList, first_value
from peppershore.connection.http_pool import ConnectionPool
from peppershore.connection.messages.calls import MICROSECONDS, HeaderFields, OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.node.back_end_reports import (
    STATE_GONE,
    STATE_READY,
    BackEndView,
)
from peppershore.process.node.data.attempt import AttemptRequest, AttemptSink
from peppershore.process.node.data.call_story import ServedRecord
from peppershore.process.node.data.direct_attempt import (
    OWN_TERMS,
    BackEndTerms,
    DirectAttempt,
)
from peppershore.process.node.data.verdicts import verdict_of_failure, verdict_of_status
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.body_transfers import (
    MOST_SECONDS,
    TRANSFER_SECONDS,
    BodyTransfers,
)
from peppershore.request.endpoint_state import Verdict
from peppershore.request.outcome import (
    BUSY,
    NO_SLOT_IN_TIME,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
    out_of_time,
)
from peppershore.request.picker import RandomSource
from peppershore.request.running_calls import RunningCalls
from peppershore.request.waiting import Ticket
from peppershore.request.wire_names import OWN_NAMES, WireNames
from peppershore.version.model import ServiceSettings

LEAVING_RETRY_AFTER_MILLISECONDS = 100
MILLISECONDS = 1_000
KICK_SECONDS = 0.02
NOT_THERE_REASONS = frozenset({"back-end-unreachable", "other-back-end"})


class OwnBackend:
    """Admits every call to the back end beside this node."""

    def __init__(
        self,
        endpoint: Endpoint,
        settings: ServiceSettings,
        random: RandomSource,
        names: WireNames = OWN_NAMES,
        transfers: BodyTransfers | None = None,
    ) -> None:
        """Start with all slots free; ``transfers`` bounds large bodies on their way."""
        self.leaving = False
        self.on_not_there: Callable[[str], None] = lambda instance: None
        self.slots = endpoint.slots
        self.running = RunningCalls()
        self.transfers = transfers or BodyTransfers()
        self._awaiting_transfer: dict[OwnAttempt, None] = {}
        self._endpoint = endpoint
        self.service = endpoint.service
        self._names = names
        self._instance = ""
        self._refuse: asyncio.TimerHandle | None = None
        self._offered_slots = endpoint.slots
        self._lent = 0
        self.pool = ConnectionPool(endpoint.address, endpoint.connections)
        self._node = endpoint.node
        now = asyncio.get_running_loop().time()
        self.admission = Admission(endpoint.service, settings, endpoint.zone, random)
        self.admission.use_endpoints((endpoint,), now)
        self._numbers = itertools.count(1)
        self._waiting: dict[int, OwnAttempt] = {}
        self._kick: asyncio.TimerHandle | None = None

    @property
    def in_flight(self) -> int:
        """Calls that hold a slot or wait for one here."""
        waiting = self.admission.waiting + len(self._awaiting_transfer)
        return self.admission.in_flight + waiting

    def load(self, route: str) -> OwnerLoad:
        """Give what other nodes are told of it with a call of this route."""
        admission = self.admission
        work = round(admission.known_work(route) * MICROSECONDS)
        return OwnerLoad(admission.in_flight, admission.waiting, self.slots, work)

    def request_id(self, request: AttemptRequest) -> bytes:
        """Give the id under which the back end is given a request."""
        return first_value(request.headers, self._names.request_id)

    @property
    def terms(self) -> BackEndTerms:
        """How to speak with the present life of the back end."""
        return BackEndTerms(self._names, self._instance.encode("latin-1"))

    def record(self, headers: HeaderFields) -> ServedRecord:
        """Give what is known now that a peer's call comes."""
        return ServedRecord(
            request_id=first_value(headers, self._names.request_id),
            service=self.service,
            instance=self._instance,
            began_at=asyncio.get_running_loop().time(),
            running=self.admission.in_flight,
            waiting=self.admission.waiting,
            slots=self.slots,
        )

    def use_view(self, view: BackEndView, leaving_bound_seconds: float) -> None:
        """Take what the back end says of itself by heartbeats.

        One that leaves takes what is on its way for the bound, and nothing after it.
        """
        if view.instance != self._instance:
            self._instance = view.instance
            self._begin_life()
            self._stop_refusing_later()
            self.leaving = False
        if view.slots:
            self._offered_slots = view.slots
            self.slots = view.slots
        self._apply_limit()
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
        self.admission.use_endpoints((self._endpoint,), now)

    def leave(self) -> None:
        """Give the back end no new call from now on; what it runs goes on."""
        self._stop_refusing_later()
        self.leaving = True
        self.refuse_waiting()

    def refuse_not_there(self, instance: str) -> None:
        """Nobody answers at its address, or another life of it does."""
        if instance == self._instance:
            self.on_not_there(instance)

    def use_settings(self, settings: ServiceSettings) -> None:
        """Take new settings; the tree may lower the slots, not raise them."""
        if not self._instance:
            self.slots = min(self._offered_slots, settings.slots)
        self.admission.use_settings(settings)
        self._apply_limit()

    def lend(self, slots: int) -> None:
        """Keep ``slots`` back for nodes that call the back end themselves."""
        self._lent = slots
        self._apply_limit()

    def start_ramp(self) -> None:
        """The back end has come up: give it its calls little by little."""
        state = self.admission.state(self._node)
        if state is not None:
            state.ramp_started = asyncio.get_running_loop().time()

    def attempt(
        self,
        request: AttemptRequest,
        sink: AttemptSink,
        want_body: Callable[[], None] | None = None,
    ) -> OwnAttempt:
        """Give an attempt to be started.

        ``want_body`` asks for a large body ahead of a slot; ``body_is_in`` answers it.
        """
        return OwnAttempt(self, request, sink, want_body)

    @property
    def has_free_slot(self) -> bool:
        """Whether a call would be given a slot at once."""
        return self.admission.in_flight < max(0, self.slots - self._lent)

    def admit(
        self, attempt: OwnAttempt, request: AttemptRequest
    ) -> Dispatch | NotRun | Ticket:
        """Give the slot, the refusal, or the place in the queue."""
        refusal = self.refusal_of(request)
        if refusal is not None:
            return refusal
        now = asyncio.get_running_loop().time()
        ticket = Ticket(
            next(self._numbers),
            request.call_class,
            request.deadline,
            may_wait=request.may_wait,
            priority=request.priority,
            start_by=request.start_by,
            is_client_retry=request.is_client_retry,
            route=request.route,
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

    def refusal_of(self, request: AttemptRequest) -> NotRun | None:
        """Give why the back end takes no such call now, whatever its load."""
        advice = LEAVING_RETRY_AFTER_MILLISECONDS
        if request.service and request.service != self.service:
            return NotRun(STATUS_UNAVAILABLE, "other-service", advice, True)
        if self.leaving:
            return NotRun(STATUS_UNAVAILABLE, "back-end-leaving", advice, True)
        return None

    def await_transfer(self, attempt: OwnAttempt) -> None:
        """Let an attempt with a large body wait until there is room on the link."""
        self._awaiting_transfer[attempt] = None

    def give_up_transfer(self, attempt: OwnAttempt) -> None:
        """An attempt waits for room no more."""
        self._awaiting_transfer.pop(attempt, None)

    @property
    def awaiting_transfer(self) -> tuple[OwnAttempt, ...]:
        """The attempts that wait for room on the link, the oldest first."""
        return tuple(self._awaiting_transfer)

    def transfer_ended(self) -> None:
        """A large body is in or given up: the next one may come."""
        self.transfers.end()
        while self._awaiting_transfer and self.transfers.begin():
            attempt = self._next_transfer()
            del self._awaiting_transfer[attempt]
            attempt.transfer_begun()

    def _next_transfer(self) -> OwnAttempt:
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
        self.admission.finished(dispatch, latency, verdict, now)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the waiting attempts that have room now."""
        if not self.admission.waiting:
            return
        now = asyncio.get_running_loop().time()
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
        self._stop_refusing_later()
        if self._kick is not None:
            self._kick.cancel()
        self.pool.close()

    def _apply_limit(self) -> None:
        self.admission.set_limit(self._node, max(0, self.slots - self._lent))
        self.start_waiting()

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


class OwnAttempt:
    """An attempt at this node's own back end: waits for a slot, then goes direct."""

    __slots__ = (
        "_backend",
        "_direct",
        "_dispatch",
        "_done",
        "_request",
        "_sink",
        "_started",
        "_status",
        "_terms",
        "_ticket",
        "_timer",
        "_transfer_timer",
        "_transferring",
        "_want_body",
    )

    def __init__(
        self,
        backend: OwnBackend,
        request: AttemptRequest,
        sink: AttemptSink,
        want_body: Callable[[], None] | None = None,
    ) -> None:
        """Nothing happens before ``start``."""
        self._want_body = want_body
        self._backend = backend
        self._request = request
        self._sink = sink
        self._direct: DirectAttempt | None = None
        self._dispatch: Dispatch | None = None
        self._ticket: Ticket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._started = 0.0
        self._terms = OWN_TERMS
        self._status = 0
        self._done = False
        self._transferring = False
        self._transfer_timer: asyncio.TimerHandle | None = None

    @property
    def is_client_retry(self) -> bool:
        """Whether the caller was refused before."""
        return self._request.is_client_retry

    def start(self) -> None:
        """Ask for room for a large body, then for a slot."""
        if not self._request.body_on_credit:
            self._ask_for_slot()
            return
        self._started = asyncio.get_running_loop().time()
        refusal = self._backend.refusal_of(self._request)
        if refusal is None and self._may_take_body and self._backend.transfers.begin():
            self.transfer_begun()
        elif refusal is None and self._request.may_wait:
            self._backend.await_transfer(self)
            self._wait()
        else:
            self._done = True
            self._sink.attempt_failed(refusal or _no_room(BUSY))

    @property
    def _may_take_body(self) -> bool:
        """Whether to take a body in: not for a mere question after a free slot in vain."""
        return self._request.may_wait or self._backend.has_free_slot

    def transfer_begun(self) -> None:
        """There is room for the large body: take it in, or ask for a slot at once.

        A body that is taken in ahead holds no slot while it comes, half of the time that
        an upload would hold one; other calls find more of them free.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transferring = True
        loop = asyncio.get_running_loop()
        self._transfer_timer = loop.call_later(MOST_SECONDS, self._transferred)
        if self._want_body is None:
            self._ask_for_slot()
            return
        self._timer = loop.call_at(self._request.deadline, self._waited_enough)
        self._want_body()

    def body_is_in(self) -> None:
        """The body is here: ask for a slot, with as much patience as for the room.

        To refuse it soon would waste what the link carried for it.
        """
        if self._done or self._ticket is not None or self._dispatch is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = asyncio.get_running_loop().time()
        patience = self._request.start_by - self._started
        self._request = msgspec.structs.replace(
            self._request, may_wait=True, start_by=now + patience
        )
        self._ask_for_slot()

    def _ask_for_slot(self) -> None:
        admitted = self._backend.admit(self, self._request)
        if isinstance(admitted, NotRun):
            self._end(None)
            self._sink.attempt_failed(admitted)
        elif isinstance(admitted, Ticket):
            self._ticket = admitted
            self._wait()
        else:
            self.admitted(admitted)

    def admitted(self, dispatch: Dispatch) -> None:
        """A slot is free: go to the back end."""
        loop = asyncio.get_running_loop()
        self._ticket = None
        self._dispatch = dispatch
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(self._request.deadline, self._expired)
        self._started = loop.time()
        self._backend.running.began(self._backend.request_id(self._request))
        self._terms = self._backend.terms
        self._direct = DirectAttempt(
            self._backend.pool, self._request, self, terms=self._terms
        )
        self._direct.start()

    def refused(self, refusal: NotRun) -> None:
        """A waiting attempt is refused."""
        self._end(None)
        self._sink.attempt_failed(refusal)

    # --- Attempt

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the request's body."""
        if self._direct is not None:
            self._direct.send_data(data)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the request's end."""
        if self._direct is not None:
            self._direct.send_end(trailers)
        self._transferred()

    def flush(self) -> None:
        """Send what is queued."""
        if self._direct is not None:
            self._direct.flush()

    def cancel(self) -> None:
        """Give the attempt up and free its slot."""
        if self._done:
            return
        direct = self._direct
        if direct is not None:
            direct.cancel()
        self._end(None)

    def settle(self) -> bool:
        """Nobody else knows more about this attempt."""
        return False

    def pause_answer(self) -> None:
        """Take no more answer bytes for now."""
        if self._direct is not None:
            self._direct.pause_answer()

    def resume_answer(self) -> None:
        """Go on taking answer bytes."""
        if self._direct is not None:
            self._direct.resume_answer()

    # --- AttemptSink of the direct attempt

    def attempt_begun(self) -> None:
        """Connected: the body may follow."""
        self._sink.attempt_begun()

    def answer_head(self, head: AnswerHead) -> None:
        """Hand the answer's head on."""
        self._status = head.status
        self._sink.answer_head(head)

    def answer_data(self, data: bytes) -> None:
        """Hand a piece of the answer's body on."""
        self._sink.answer_data(data)

    def answer_batch_ended(self) -> None:
        """Hand on that no more is at hand for now."""
        self._sink.answer_batch_ended()

    def answer_ended(self, trailers: HeaderList) -> None:
        """Hand the answer's end on, then free the slot."""
        self._sink.answer_ended(trailers)
        self._end(verdict_of_status(self._status))

    def attempt_failed(self, failed: Failed) -> None:
        """Free the slot, then hand the failure on."""
        self._end(verdict_of_failure(failed))
        if failed.reason in NOT_THERE_REASONS:
            self._backend.refuse_not_there(self._terms.instance.decode("latin-1"))
        self._sink.attempt_failed(failed)

    def sending_paused(self) -> None:
        """Hand the back end's slowness on."""
        self._sink.sending_paused()

    def sending_resumed(self) -> None:
        """The back end reads again."""
        self._sink.sending_resumed()

    # --- inside

    def _transferred(self) -> None:
        """The body is in, given up, or has had its time."""
        if self._transfer_timer is not None:
            self._transfer_timer.cancel()
            self._transfer_timer = None
        if self._transferring:
            self._transferring = False
            self._backend.transfer_ended()

    def _wait(self) -> None:
        """Wait for room or for a slot, for as long as the call may."""
        until = min(self._request.deadline, self._request.start_by)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(until, self._waited_enough)

    def _waited_enough(self) -> None:
        """Neither room nor a slot came in time: better to say so than to wait on."""
        now = asyncio.get_running_loop().time()
        if now >= self._request.deadline:
            refusal = out_of_time()
        elif self._ticket is None:
            refusal = _no_room(NO_SLOT_IN_TIME)
        else:
            refusal = self._backend.admission.refusal_of_impatient(self._ticket, now)
        self._end(None)
        self._sink.attempt_failed(refusal)

    def _expired(self) -> None:
        """The deadline passed; what was not sent has not run."""
        begun = self._direct is not None and self._direct.begun
        self.cancel()
        if begun:
            self._sink.attempt_failed(Unknown(STATUS_GATEWAY_TIMEOUT, "deadline-passed"))
        else:
            self._sink.attempt_failed(out_of_time())

    def _end(self, verdict: Verdict | None) -> None:
        if self._done:
            return
        self._done = True
        if self._timer is not None:
            self._timer.cancel()
        self._backend.give_up_transfer(self)
        self._transferred()
        if self._ticket is not None:
            self._backend.withdraw(self._ticket)
            self._ticket = None
        dispatch = self._dispatch
        self._dispatch = None
        if dispatch is not None:
            latency = asyncio.get_running_loop().time() - self._started
            self._backend.running.ended(self._backend.request_id(self._request))
            self._backend.finished(dispatch, latency, verdict)


def _no_room(reason: str) -> NotRun:
    """Give the refusal of a large body that finds the link full of others."""
    advice = math.ceil(TRANSFER_SECONDS * MILLISECONDS)
    return NotRun(STATUS_UNAVAILABLE, reason, advice, retryable=True)
