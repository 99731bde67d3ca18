"""This node's local back end: the one authority over its slots and its drain.

Every call to the back end passes through here, so what was acknowledged to the back end is
enforced here. A back end that is leaving gets no new call after a bounded time, and a call
runs only at the incarnation (one run of the back end's process) that it was meant for.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence

import msgspec

from peppershore.connection.http_head import AnswerHead, first_value
from peppershore.connection.http_pool import ConnectionPool
from peppershore.connection.messages.calls import (
    MICROSECONDS,
    BackEndNeed,
    OwnerLoad,
)
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.node.back_end_reports import (
    NO_INCARNATION,
    STATE_GONE,
    STATE_LEAVING,
    BackEndIncarnation,
    BackEndView,
)
from peppershore.process.node.data.attempt import AttemptRequest
from peppershore.process.node.data.call_story import ServedRecord
from peppershore.process.node.data.crash_watch import CrashWatch
from peppershore.process.node.data.direct_attempt import BackEndTerms
from peppershore.process.node.data.granted_repeats import GrantedRepeats
from peppershore.process.node.data.large_answers import LargeAnswers
from peppershore.process.node.data.quarantine_gate import QuarantineGate
from peppershore.process.node.data.waiting_attempt import WaitingAttempt
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.back_ends.known_needs import UNIDENTIFIED_SECONDS
from peppershore.request.back_ends.local_need import LocalNeed, NeedChange
from peppershore.request.back_ends.local_report import LocalReport
from peppershore.request.back_ends.need_bounds import DEFAULT_BOUNDS, NeedBounds
from peppershore.request.back_ends.reported_load import read_load
from peppershore.request.back_ends.reported_need import read_need
from peppershore.request.back_ends.unused_fields import UnusedFields
from peppershore.request.body_prefetch import BodyPrefetch
from peppershore.request.body_transfers import BodyTransfers
from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import (
    SLOW_NOW,
    STATUS_MISDIRECTED,
    STATUS_UNAVAILABLE,
    NotRun,
)
from peppershore.request.picker import RandomSource
from peppershore.request.running_calls import RunningCalls
from peppershore.request.shared_retries import RetryBound
from peppershore.request.tenants.weights import ConfiguredWeights
from peppershore.request.version_evidence import VersionEvidence
from peppershore.request.waiting import Ticket
from peppershore.request.wire_names import OWN_NAMES, WireNames
from peppershore.version.model import ServiceSettings

LEAVING_RETRY_AFTER_MILLISECONDS = 100
SLOW_RETRY_AFTER_MILLISECONDS = 100
RECHECK_SECONDS = 0.02
MIN_RECHECK_SECONDS = 0.001
MILLISECONDS = 1_000


class LocalBackEnd:
    """Admits every call to the back end that is co-located with this node."""

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
        bounds: NeedBounds = DEFAULT_BOUNDS,
        retry_bound: RetryBound | None = None,
    ) -> None:
        """Start with all slots free.

        ``transfers`` bounds the large request bodies in transit. ``large_answers``
        schedules the large answers on this node's link; None if the link is wide enough.
        ``weights`` holds the tenants' weights of the configuration in use. ``bounds`` says
        within what time a need that the back end reports takes effect. ``retry_bound`` is
        the retry bound shared by all nodes, None if there is none.
        """
        self._bounds = bounds
        self.need = LocalNeed(NO_INCARNATION.name, bounds.limit_seconds)
        self.on_need_changed: Callable[[NeedChange], None] = lambda change: None
        """Called when a rate limit begins or ends, or the back end begins to leave."""
        self.large_answers = large_answers
        self.leaving = False
        self.on_absent: Callable[[str, bool], None] = lambda life, is_replaced: None
        """Called with the name of an incarnation that is not at the back end's address.

        The second argument says that another incarnation answered there.
        """
        self.on_unused_fields: Callable[[tuple[str, ...]], None] = lambda names: None
        """Called with the names of answer fields that the node has no use for."""
        self.slots = endpoint.slots
        self.running = RunningCalls()
        self.crashes = CrashWatch(endpoint.node, endpoint.address)
        self.quarantine = quarantine or QuarantineGate(asyncio.get_running_loop().time)
        self.transfers = transfers or BodyTransfers()
        self.evidence = VersionEvidence()
        self.report = LocalReport()
        self.refused_while_slow = 0
        """Number of calls refused while the machine was slow, so that they go elsewhere."""
        self._warm_at = 0.0
        self._prefetches = BodyPrefetch()
        self._awaiting_transfer: dict[WaitingAttempt, None] = {}
        self._endpoint = endpoint
        self.service = endpoint.service
        self._names = names
        self._unused_fields = UnusedFields(names)
        self._life = NO_INCARNATION
        self._refuse_timer: asyncio.TimerHandle | None = None
        self._return_timer: asyncio.TimerHandle | None = None
        self._offered_slots = endpoint.slots
        self._lent = 0
        self.pool = ConnectionPool(endpoint.address, endpoint.connections)
        self._node = endpoint.node
        now = asyncio.get_running_loop().time()
        self._started_at = now
        self.repeats = GrantedRepeats(endpoint.service, retry_bound, now)
        self.admission = Admission(
            endpoint.service,
            settings,
            endpoint.zone,
            random,
            weights=weights,
            rate_wait=self._rate_wait,
        )
        self.admission.use_endpoints((endpoint,), now)
        self._ticket_numbers = itertools.count(1)
        self._waiting: dict[int, WaitingAttempt] = {}
        self._recheck_timer: asyncio.TimerHandle | None = None

    @property
    def life(self) -> BackEndIncarnation:
        """The current incarnation, to which new calls are sent."""
        return self._life

    @property
    def in_flight(self) -> int:
        """Number of calls here that hold a slot, wait, or have their body prefetched.

        Those that wait are queued for a slot or, with a large body, for room on the link.
        """
        waiting = self.admission.waiting + len(self._awaiting_transfer)
        return self.admission.in_flight + self._prefetches.coming + waiting

    def load(self, route: str) -> OwnerLoad:
        """Return the load that is reported to other nodes with a call of this route.

        A call whose body is being prefetched counts as running, because a slot is planned
        for it. So does work that the back end reports and this node does not know of.
        """
        admission, report = self.admission, self.report
        now = asyncio.get_running_loop().time()
        work = report.usual_work(route) or admission.known_work(route)
        running = (
            admission.in_flight + self._prefetches.coming + report.taken(self.slots, now)
        )
        scheduler = self.large_answers
        return OwnerLoad(
            running,
            admission.waiting,
            self.slots,
            round(work * MICROSECONDS),
            pace_percent=report.pace_percent,
            pace_age_milliseconds=report.pace_age_milliseconds(now),
            link_wait_milliseconds=0 if scheduler is None else scheduler.wait_milliseconds,
            need=self.need.report(now),
        )

    def answer_received(self, head: AnswerHead, life: str, sent_at: float) -> None:
        """Process what ``life`` reports in the answer to a call sent at ``sent_at``.

        An answer of another incarnation, late or in the place of ``life``, is ignored.
        """
        if life != self._life.name or head.status == STATUS_MISDIRECTED:
            return
        if self._names.load:
            self.load_reported(first_value(head.headers, self._names.load), life)
        reported = read_need(head.headers, self._names)
        now = asyncio.get_running_loop().time()
        self._need_changed(self.need.answered(reported, head.status, sent_at, now))
        unused = self._unused_fields.find(head.headers)
        if unused:
            self.on_unused_fields(unused)

    def call_sent(self) -> None:
        """Record that a call is sent to the back end now."""
        self.need.rate_limit.sent(asyncio.get_running_loop().time())

    def calls_sent_before(self, by_age: Sequence[int]) -> None:
        """Count the calls that a peer sent before this process started, by their age."""
        now = asyncio.get_running_loop().time()
        self.need.rate_limit.calls.add_earlier(by_age, now, self._started_at)
        self._set_limit(now)

    def need_seen_elsewhere(self, need: BackEndNeed) -> None:
        """Process the need that an answer to a call sent directly reported."""
        now = asyncio.get_running_loop().time()
        self._need_changed(self.need.seen_elsewhere(need, now))

    def need_known_elsewhere(self, need: BackEndNeed | None, left: tuple[str, ...]) -> None:
        """Process what a peer remembers of the back end: its need, incarnations that left.

        One that is leaving by a peer's word gets no call from now on: when it began to
        leave is not known here.
        """
        if need is None and not left:
            return
        now = asyncio.get_running_loop().time()
        change = self.need.known_elsewhere(need, left, now)
        self._need_changed(change)
        if change.began_leaving:
            self.leave()

    def _need_changed(self, change: NeedChange) -> None:
        if change.limit_began or change.limit_ended:
            self._apply_limit()
        if change.began_leaving:
            self.crashes.mark_leaving()
            self._leave_soon()
            if not self._life.instance:
                loop = asyncio.get_running_loop()
                self._return_timer = loop.call_later(UNIDENTIFIED_SECONDS, self._return)
        if change.limit_began or change.limit_ended or change.began_leaving:
            self.on_need_changed(change)

    def load_reported(self, told: bytes, life: str) -> None:
        """Process the load field ``told`` of an answer of the incarnation ``life``.

        A report of another incarnation or one that cannot be parsed is ignored.
        """
        load = read_load(told)
        if load is not None and life == self._life.name:
            now = asyncio.get_running_loop().time()
            self.report.heard(load, self.admission.in_flight + self._lent, now)

    def _rate_wait(self, calls: int, now: float) -> float:
        return self.need.rate_limit.wait(calls, now)

    def request_id(self, request: AttemptRequest) -> bytes:
        """Return the request id that is sent to the back end; empty if there is none."""
        return first_value(request.headers, self._names.request_id)

    @property
    def terms(self) -> BackEndTerms:
        """Header names for calls to the back end, and its instance and incarnation."""
        life = self._life
        return BackEndTerms(self._names, life.instance.encode("latin-1"), life.name)

    def record(self, request: AttemptRequest) -> ServedRecord:
        """Return the record of a peer's call that arrives now, with the load it finds."""
        return ServedRecord(
            request_id=self.request_id(request),
            service=self.service,
            instance=self._life.instance,
            began_at=asyncio.get_running_loop().time(),
            running=self.admission.in_flight,
            waiting=self.admission.waiting,
            slots=self.slots,
            fingerprint=request.fingerprint,
            send_kind=request.send_kind,
        )

    def use_view(self, view: BackEndView) -> None:
        """Apply the state that the back end reports in its heartbeats.

        A back end that is leaving still gets the calls that arrive within
        ``NeedBounds.leaving_seconds``, and none after.
        """
        if view.life != self._life:
            self._life = view.life
            self._begin_need(view.life)
            self.crashes.begin_incarnation(view.life.name)
            self._begin_incarnation()
            self._cancel_leaving_timers()
            self.leaving = False
            now = asyncio.get_running_loop().time()
            self._warm_at = now + max(0, view.warming_milliseconds) / MILLISECONDS
            self.evidence.begin(self.evidence.began_milliseconds)
        if view.slots:
            self._offered_slots = view.slots
            self.slots = view.slots
        self._apply_limit()
        if view.state == STATE_LEAVING:
            self.crashes.mark_leaving()
        if view.state == STATE_GONE:
            self.leave()
        elif view.state == STATE_LEAVING or self.need.is_leaving:
            self._leave_soon()
        else:
            self._cancel_leaving_timers()
            self.leaving = False

    def _return(self) -> None:
        """Accept calls again: a back end without a name may have been replaced."""
        self._cancel_leaving_timers()
        self.need = LocalNeed(self._life.name, self._bounds.limit_seconds)
        self.leaving = False

    def stop(self) -> None:
        """Refuse new calls for good: this node stops. Waiting calls are still served."""
        self._cancel_leaving_timers()
        self.leaving = True

    def _begin_need(self, life: BackEndIncarnation) -> None:
        """Begin without a need; what was sent to a still unnamed incarnation counts on."""
        before = self.need
        self.need = LocalNeed(life.name, self._bounds.limit_seconds)
        if not before.life:
            self.need.rate_limit.calls = before.rate_limit.calls

    def _leave_soon(self) -> None:
        """Refuse calls from the end of the bound on: some are still on their way."""
        if not self.leaving and self._refuse_timer is None:
            loop = asyncio.get_running_loop()
            bound = self._bounds.leaving_seconds
            self._refuse_timer = loop.call_later(bound, self.leave)

    def _begin_incarnation(self) -> None:
        """Offer all slots of a new incarnation; calls in progress keep theirs.

        It may not be warmed up yet, and callers' nodes send it fewer calls for that reason.
        Here every free slot is granted: a call is sent here only if it could not go to a
        back end that is warmer.
        """
        self._endpoint = msgspec.structs.replace(
            self._endpoint,
            incarnation=self._endpoint.incarnation + 1,
            warming_milliseconds=0,
        )
        now = asyncio.get_running_loop().time()
        self.report = LocalReport()
        self._unused_fields = UnusedFields(self._names)
        self.admission.use_endpoints((self._endpoint,), now)
        self.pool.close_idle()

    def leave(self) -> None:
        """Refuse new and waiting calls from now on; running calls continue."""
        if self._refuse_timer is not None:
            self._refuse_timer.cancel()
            self._refuse_timer = None
        self.leaving = True
        self.refuse_waiting()

    def record_answered(self, fingerprint: Fingerprint) -> None:
        """Record that the back end answered such a request: it causes no crash."""
        self.crashes.record_answered(fingerprint)
        self.quarantine.record_answered(fingerprint)

    def report_absent(self, life: str, *, is_replaced: bool = False) -> None:
        """Report that ``life`` is not at the address: nothing or another one answers.

        Ignored unless ``life`` is the current incarnation. ``is_replaced``: another
        incarnation answered.
        """
        if life == self._life.name:
            self.on_absent(life, is_replaced)

    def use_settings(self, settings: ServiceSettings) -> None:
        """Apply new settings.

        They may lower the slots below the number that the back end offers, not raise them
        above it. The slots that a back end reports itself are not changed.
        """
        self.evidence.use_settings(settings)
        if not self._life.instance:
            self.slots = min(self._offered_slots, settings.slots)
        self.admission.use_settings(settings)
        self._apply_limit()

    def reserve_lent_slots(self, slots: int) -> None:
        """Reserve ``slots`` for other nodes, which call the back end directly."""
        self._lent = slots
        self._apply_limit()

    def start_ramp(self) -> None:
        """Ramp up a back end that has come up: the rate of its calls rises gradually.

        It is another process, so what the one before reported no longer holds.
        """
        if self.need.is_leaving and not self._life.instance:
            self._return()
        self.need = LocalNeed(self._life.name, self._bounds.limit_seconds)
        self.crashes.begin_incarnation(self._life.name)
        state = self.admission.state(self._node)
        if state is not None:
            state.ramp_started = asyncio.get_running_loop().time()

    def admit(
        self, attempt: WaitingAttempt, request: AttemptRequest
    ) -> Dispatch | NotRun | Ticket:
        """Return the granted slot, the refusal, or the ticket of the queued attempt."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        now = asyncio.get_running_loop().time()
        unpaid = self.repeats.refusal(request.send_kind, now)
        if unpaid is not None:
            return unpaid
        self._set_limit(now)
        ticket = Ticket(
            next(self._ticket_numbers),
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
        self._schedule_recheck()
        return ticket

    def begin_prefetch(self, request: AttemptRequest) -> bool:
        """Return whether the body of a call without a slot is to be prefetched now.

        True if the call is likely to have a slot by the time its body is complete. The
        caller must then call ``end_prefetch`` once.
        """
        now = asyncio.get_running_loop().time()
        if self._refusal(request) or not self.repeats.covers(request.send_kind, now):
            return False
        admission = self.admission
        if self.need.rate_limit.room(now) <= self._prefetches.coming:
            return False
        return self._prefetches.begin(admission.in_flight, admission.waiting, self.slots)

    def end_prefetch(self) -> None:
        """Record that a prefetched body is complete or was given up."""
        self._prefetches.end()

    def _refusal(self, request: AttemptRequest) -> NotRun | None:
        advice = LEAVING_RETRY_AFTER_MILLISECONDS
        if request.service and request.service != self.service:
            return NotRun(STATUS_UNAVAILABLE, "other-service", advice, True)
        if self.leaving:
            return NotRun(STATUS_UNAVAILABLE, "back-end-leaving", advice, True)
        now = asyncio.get_running_loop().time()
        if not request.may_wait and self.report.is_slow(now):
            self.refused_while_slow += 1
            return NotRun(STATUS_UNAVAILABLE, SLOW_NOW, SLOW_RETRY_AFTER_MILLISECONDS, True)
        return None

    def await_transfer(self, attempt: WaitingAttempt) -> None:
        """Queue an attempt with a large body until there is room on the link."""
        self._awaiting_transfer[attempt] = None

    def give_up_transfer(self, attempt: WaitingAttempt) -> None:
        """Remove an attempt from the queue for room on the link."""
        self._awaiting_transfer.pop(attempt, None)

    @property
    def awaiting_transfer(self) -> tuple[WaitingAttempt, ...]:
        """Attempts that wait for room on the link, oldest first."""
        return tuple(self._awaiting_transfer)

    def transfer_ended(self) -> None:
        """Release the room of a body that is complete or given up; start those that fit."""
        self.transfers.end()
        while self._awaiting_transfer and self.transfers.begin():
            attempt = self._next_transfer()
            del self._awaiting_transfer[attempt]
            attempt.transfer_begun()

    def _next_transfer(self) -> WaitingAttempt:
        """Return the newest attempt that is no client retry, else the newest retry.

        More bodies arrive than the link carries only under overload. The attempt that
        waited longest would then be late by the time its body is complete, and so would
        each one after it.
        """
        waiting = self.awaiting_transfer
        first_calls = [attempt for attempt in waiting if not attempt.is_client_retry]
        return (first_calls or waiting)[-1]

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting attempt that was given up from the queue."""
        self._waiting.pop(ticket.number, None)
        self.admission.withdraw(ticket)

    def finished(
        self, dispatch: Dispatch, latency: float, result: AttemptResult | None
    ) -> None:
        """Release the slot of an attempt that ended and start the next ones."""
        now = asyncio.get_running_loop().time()
        route, is_warm = dispatch.ticket.route, now >= self._warm_at
        self.evidence.note(route, latency, result, is_warm)
        if result == "good":
            self.report.ended(route, latency, now)
        self.admission.finished(dispatch, latency, result, now)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the waiting attempts that can get a slot now.

        Those that cannot be served in time any more are refused first.
        """
        if not self.admission.waiting:
            return
        now = asyncio.get_running_loop().time()
        self._set_limit(now)
        for ticket in self.admission.take_unable_to_finish(now):
            given_up = self._waiting.pop(ticket.number)
            given_up.refused(self.admission.refusal_of_unable_to_finish(ticket, now))
        for dispatch in self.admission.ready(now):
            attempt = self._waiting.pop(dispatch.ticket.number, None)
            if attempt is not None:
                attempt.admitted(dispatch)
            else:
                self.admission.finished(dispatch, 0.0, None, now)
        self._schedule_recheck()

    def refuse_waiting(self) -> None:
        """Refuse all waiting attempts because the back end is leaving."""
        refusal = NotRun(
            STATUS_UNAVAILABLE, "back-end-leaving", LEAVING_RETRY_AFTER_MILLISECONDS, True
        )
        for attempt in (*self._waiting.values(), *self._awaiting_transfer):
            attempt.refused(refusal)

    def _cancel_leaving_timers(self) -> None:
        if self._refuse_timer is not None:
            self._refuse_timer.cancel()
            self._refuse_timer = None
        if self._return_timer is not None:
            self._return_timer.cancel()
            self._return_timer = None

    def close(self) -> None:
        """Stop all timers and probes, and close idle connections."""
        self.crashes.close()
        self._cancel_leaving_timers()
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
        self.pool.close()

    def _apply_limit(self) -> None:
        self._set_limit(asyncio.get_running_loop().time())
        self.start_waiting()

    def _set_limit(self, now: float) -> None:
        """Offer the slots that are neither lent nor taken by work unknown to this node.

        No more calls may start than the back end's rate limit allows now.
        """
        reserved = self._lent + self.report.taken(self.slots, now)
        most = self.admission.in_flight + self.need.rate_limit.room(now)
        self.admission.set_limit(self._node, max(0, min(self.slots - reserved, most)))

    def _refuse_evicted(self, decision: Waiting, now: float) -> None:
        if decision.evicted is None:
            return
        attempt = self._waiting.pop(decision.evicted.number)
        attempt.refused(self.admission.refusal_of_evicted(decision.evicted, now))

    def _schedule_recheck(self) -> None:
        """Schedule a recheck of the queue: ramps and ejections end without an event.

        The rate limit allows the next call at a time that is known.
        """
        if self._recheck_timer is None and self.admission.waiting:
            loop = asyncio.get_running_loop()
            wait = self._rate_wait(1, loop.time()) or RECHECK_SECONDS
            delay = min(RECHECK_SECONDS, wait + MIN_RECHECK_SECONDS)
            self._recheck_timer = loop.call_later(delay, self._recheck)

    def _recheck(self) -> None:
        self._recheck_timer = None
        self.start_waiting()
