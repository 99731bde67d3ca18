"""One call of a caller, from its request's head to its outcome.

A call runs in the callbacks of its connections and timers. The decisions are made by
the I/O-free modules in ``peppershore.request``; this module connects them to the I/O.
"""

from __future__ import annotations

import asyncio

import msgspec
from returns.result import Failure, Result

from peppershore.connection.http_head import AnswerHead, HeaderList, RequestHead
from peppershore.connection.http_server import ServerExchange
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.node.data.answer_relay import AnswerRelay
from peppershore.process.node.data.attempt import Attempt, AttemptRequest
from peppershore.process.node.data.attempt_results import (
    FAILED_OUTCOME,
    SHED_OUTCOME,
    result_of_failure,
    result_of_status,
)
from peppershore.process.node.data.call_story import CallRecorder
from peppershore.process.node.data.calls import Calls
from peppershore.process.node.data.request_body import (
    STREAMED_REPLAY_BYTES,
    RequestBody,
)
from peppershore.request.admission import Dispatch, Waiting
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    claim_key,
    denied_as,
)
from peppershore.request.classification import CallPlan
from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.fingerprint import Fingerprint, identity_of
from peppershore.request.next_attempt import (
    AttemptTerms,
    CallProgress,
    GiveUp,
    counted,
    next_step,
)
from peppershore.request.outcome import (
    BUSY,
    PROBE_NEXT_REASONS,
    RETRY_BUDGET_SPENT,
    STATUS_BODY_TOO_LARGE,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
    out_of_time,
    unpaid,
    worse,
)
from peppershore.request.send_kind import send_kind
from peppershore.request.tenants.callers import NOBODY
from peppershore.request.wait_division import may_wait_on, wait_until
from peppershore.request.waiting import Ticket

SETTLE_TIMEOUT_SECONDS = 0.025
"""After its deadline a call waits this long for the back end's owner to report whether it
ran; without a report its outcome is unknown."""


OVERTIME_SECONDS = 5.0
"""A large answer that has begun may continue this long after the deadline. Cutting it would
waste the bytes already sent, and a caller that no longer wants it disconnects."""


NO_RECORDER = CallRecorder(0.0, Fingerprint())


class Call:
    """One call: receives the events of its request and of its attempts."""

    __slots__ = (
        "_answer",
        "_attempt",
        "_awaits_body",
        "_progress",
        "_attempt_began_at",
        "_begun",
        "_body",
        "_caller",
        "_calls",
        "_claim",
        "_claim_attempt",
        "_dispatch",
        "_worst_failure",
        "_exchange",
        "_excluded",
        "_head",
        "_is_overtime",
        "_loop",
        "_over",
        "_plan",
        "_request_id",
        "_retry",
        "_recorder",
        "_ticket",
        "_timer",
        "_on_behalf",
    )

    def __init__(self, calls: Calls, exchange: ServerExchange, head: RequestHead) -> None:
        """Create the call for the request ``head``; ``start`` processes it."""
        self._calls = calls
        self._exchange = exchange
        self._head = head
        self._is_overtime = False
        self._loop = calls.loop
        self._request_id = head.header(calls.names.request_id) or calls.new_request_id()
        self._answer = AnswerRelay(exchange, self._request_id, False, calls.names)
        self._body = RequestBody()
        self._plan: CallPlan | None = None
        self._attempt: Attempt | None = None
        self._progress = CallProgress()
        self._awaits_body = False
        self._attempt_began_at = 0.0
        self._begun = False
        self._caller = ""
        self._claim = ""
        self._claim_attempt = ""
        self._dispatch: Dispatch | None = None
        self._worst_failure: Failed | None = None
        self._excluded: frozenset[str] = frozenset()
        self._over = False
        self._retry: asyncio.TimerHandle | None = None
        self._recorder = NO_RECORDER
        self._ticket: Ticket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._on_behalf = NOBODY

    @property
    def plan(self) -> CallPlan:
        """Plan of the call; available once the request was accepted."""
        assert self._plan is not None
        return self._plan

    # --- RequestSink

    def start(self) -> None:
        """Classify and authorize the request, then admit or refuse the call."""
        self._calls.add_call(self)
        self._recorder = CallRecorder(self._loop.time(), self._body.fingerprint)
        planned = self._calls.plan(self._head)
        if isinstance(planned, Failure):
            self._fail(planned.failure())
            return
        entry = planned.unwrap()
        self._plan = entry.plan
        self._on_behalf = entry.whose
        self._body.fingerprint.identity = identity_of(self._head, entry.caller_name)
        if entry.plan.settings.streamed_bodies:
            self._body.replay_bytes = STREAMED_REPLAY_BYTES
        self._timer = self._loop.call_at(entry.plan.deadline, self._deadline_passed)
        self._caller = entry.caller_name
        if self._body.received > entry.plan.settings.max_body_bytes:
            self._body_too_large()
        elif self._calls.quarantine.awaits_body(self._body.fingerprint):
            self._awaits_body = True
            self._exchange.send_continue()
        else:
            self._proceed()

    def _proceed(self) -> None:
        """Ask the tenant's rate limit for a permit; once granted, the call continues."""
        self._awaits_body = False
        self._calls.quotas.take(self.plan, self._quota_decided)

    def _quota_decided(self, refusal: NotRun | None) -> bool:
        """Handle the decision of the tenant's rate limit; a refusal fails the call.

        Return False if a permit would not be used: the call ended meanwhile, or fails now
        because its tenant's key is no longer accepted.
        """
        if self._over or self._fail_if_key_refused():
            return False
        if refusal is None:
            self._claim_or_admit()
        else:
            self._fail(refusal)
        return True

    def _claim_or_admit(self) -> None:
        """Admit the call, after claiming its idempotency key if it has one."""
        if not self.plan.key or self._calls.forwards_unclaimed_keys:
            self._admit()
        elif self._calls.claims.client is None:
            self._fail(NotRun(STATUS_UNAVAILABLE, "no-claims-group"))
        else:
            self._claim_first(claim_key(self._head, self.plan.key, self._caller))

    def body_received(self, data: bytes) -> None:
        """Forward a chunk of the request's body, or buffer it until an attempt begins."""
        if self._over:
            return
        self._body.add(data)
        if (
            self._plan is not None
            and self._body.received > self._plan.settings.max_body_bytes
        ):
            self._body_too_large()
            return
        if self._awaits_body and self._body.fingerprint.is_known:
            self._proceed()
        elif self._begun and self._attempt is not None:
            self._body.send(self._attempt)
        elif self._body.should_pause_reading:
            self._exchange.pause_body()

    def body_ended(self, trailers: HeaderList) -> None:
        """Handle the end of the request."""
        self._body.end(self._calls.forwarded_trailers(trailers))
        if self._awaits_body and not self._over:
            self._proceed()
        elif self._begun and self._attempt is not None:
            self._body.send(self._attempt)

    def caller_gone(self) -> None:
        """Abort the call because its caller disconnected.

        A call with a claim continues if its attempt has begun and its request is complete:
        the answer is stored for the caller's retry.
        """
        if self._over or (self._claim and self._begun and self._body.ended):
            return
        self._calls.abandoned(self._plan, self._request_id, self._recorder)
        self._abort()

    def writing_paused(self) -> None:
        """Pause the answer: the caller reads slowly."""
        if self._attempt is not None:
            self._attempt.pause_answer()

    def writing_resumed(self) -> None:
        """Resume the answer: the caller has caught up."""
        if self._attempt is not None:
            self._attempt.resume_answer()

    # --- AttemptSink

    def attempt_begun(self) -> None:
        """Send the body received so far; from here on the call may have run."""
        self._begun = True
        self._exchange.send_continue()
        assert self._attempt is not None
        self._body.send(self._attempt)
        self._exchange.resume_body()

    def answer_head(self, head: AnswerHead) -> None:
        """Forward the head of the answer."""
        if self._probes_for_slot:
            self._calls.admissions.slot_probed(self.plan, was_granted=True)
        self._answer.head(head)

    def answer_data(self, data: bytes) -> None:
        """Forward a chunk of the answer's body."""
        self._answer.data(data)

    def answer_batch_ended(self) -> None:
        """Flush the answer data forwarded so far."""
        self._answer.flush()

    def answer_ended(self, trailers: HeaderList) -> None:
        """Complete the answer, then free the slot; or retry at another back end.

        If the back end itself shed the call, or failed on a route that retries errors, the
        call is retried at another back end if it may be. The answer is kept meanwhile: the
        caller gets it if no other back end runs the call.
        """
        if self._answer.is_overload_refusal and self._retry_elsewhere_if_possible(
            SHED_OUTCOME, "shed", trailers
        ):
            return
        if self._retries_error and self._retry_elsewhere_if_possible(
            FAILED_OUTCOME, "failed", trailers
        ):
            return
        self._over = True
        self._answer.end(trailers)
        if self._claim:
            self._calls.claims.complete(
                self._claim, self._claim_attempt, self._answer.kept()
            )
        self._calls.answered(
            self.plan, self._answer.status, self._request_id, self._recorder
        )
        self._finish(result_of_status(self._answer.status))

    def attempt_failed(self, failed: Failed) -> None:
        """Retry where that is safe and within the budget, else fail the call."""
        if failed.reason == BUSY and self._probes_for_slot:
            self._calls.admissions.slot_probed(self.plan, was_granted=False)
        if self._retry_if_possible(failed, result_of_failure(failed)):
            return
        if failed.reason == RETRY_BUDGET_SPENT:
            self._calls.retries.budget_spent(self.plan)
        self._discard_attempt(failed, result_of_failure(failed))
        assert self._worst_failure is not None
        self._fail(self._worst_failure)

    def sending_paused(self) -> None:
        """Pause the request body: the back end reads slowly."""
        self._exchange.pause_body()

    def sending_resumed(self) -> None:
        """Resume the request body: the back end has caught up."""
        self._exchange.resume_body()

    # --- WaitingCall and LiveCall

    def dispatched(self, dispatch: Dispatch) -> None:
        """Start an attempt at the back end that admission chose."""
        self._ticket = None
        self._dispatch = dispatch
        if self._fail_if_key_refused():
            return
        if self._progress.tries == 0:
            self._calls.retries.first_attempt(self.plan)
        may_wait = self._progress.may_wait or self._calls.admissions.waits_at_once(
            self.plan
        )
        self._progress = msgspec.structs.replace(
            self._progress,
            tries=self._progress.tries + 1,
            waits=self._progress.waits + may_wait,
            may_wait=may_wait,
        )
        self._attempt_began_at = self._loop.time()
        request = self._request()
        seen = self._calls.admissions.choice_seen(dispatch, self.plan, request.may_wait)
        self._recorder.note_choice(self._attempt_began_at, dispatch.endpoint.node, seen)
        if not self._calls.grants_unowned(dispatch.endpoint, request):
            self.attempt_failed(unpaid())
            return
        attempt = self._calls.new_attempt(dispatch, self.plan, request, self)
        self._attempt = attempt
        attempt.start()

    def _request(self) -> AttemptRequest:
        plan = self.plan
        return AttemptRequest(
            head=self._head,
            headers=self._calls.forwarded_headers(self._head, self._request_id, plan),
            call_class=plan.call_class,
            repeatable=plan.repeatable,
            cancellable=not self._claim,
            deadline=plan.deadline,
            service=plan.target,
            priority=plan.priority,
            may_wait=self._progress.may_wait
            or not self._calls.admissions.probes_for_free_slots,
            start_by=wait_until(
                self._attempt_began_at,
                self._calls.start_by(plan, self._on_behalf),
                max(1, self._progress.waits),
                self._calls.admissions.max_queued_owners(plan),
            ),
            is_client_retry=plan.is_client_retry,
            route=plan.route,
            body_on_credit=self._body_waits_for_credit,
            takes_room=plan.settings.streamed_bodies,
            tenant=plan.tenant,
            answer_is_large=plan.settings.large_answers,
            due=plan.due,
            answer_window=self._calls.answer_window(plan),
            fingerprint=self._body.fingerprint,
            send_kind=send_kind(self._progress.offers, plan.is_in_repeat),
        )

    @property
    def _body_waits_for_credit(self) -> bool:
        """Whether another node gets the body only after it has accepted the call."""
        if self.plan.settings.streamed_bodies:
            return True
        length = self._body.received if self._body.ended else self._head.content_length
        return self._calls.body_is_costly(length, self._body.fingerprint)

    def refused(self, refusal: NotRun) -> None:
        """Fail the call because admission removed it from the queue."""
        self._ticket = None
        self._fail(worse(self._worst_failure, refusal))

    def configuration_changed(self) -> None:
        """Fail the call if no attempt is in progress and its tenant's key is refused."""
        if not self._over and self._attempt is None:
            self._fail_if_key_refused()

    # --- internal

    def _fail_if_key_refused(self) -> bool:
        """Fail the call if its tenant's key is no longer accepted.

        Return whether it failed.
        """
        refusal = self._calls.refusal_of_key(self._on_behalf)
        if refusal is None:
            return False
        self._fail(worse(self._worst_failure, refusal))
        return True

    def _claim_first(self, key: str) -> None:
        # The request id does not identify the claiming attempt: a caller that retries the
        # call may send the same id again.
        self._claim_attempt = self._calls.new_attempt_name()
        self._exchange.pause_body()
        seconds = self.plan.deadline - self._loop.time()
        self._calls.claims.claim(key, self._claim_attempt, seconds, self._claimed)

    def _claimed(self, key: str, outcome: Result[ClaimGranted, ClaimDenied]) -> None:
        if self._over:
            if not isinstance(outcome, Failure):
                self._calls.claims.release(key, self._claim_attempt)
            return
        self._exchange.resume_body()
        if isinstance(outcome, Failure):
            self._claim_denied(outcome.failure())
            return
        self._claim = key
        self._answer = AnswerRelay(
            self._exchange, self._request_id, True, self._calls.names
        )
        self._admit()

    def _claim_denied(self, denied: ClaimDenied) -> None:
        outcome = denied_as(denied)
        if not isinstance(outcome, KeptAnswer):
            self._fail(outcome)
            return
        self._over = True
        self._answer.send_stored(outcome, self._head.method == b"HEAD")
        self._calls.answered(self.plan, outcome.status, self._request_id, self._recorder)
        self._finish(None)

    def _admit(self) -> None:
        refusal = self._calls.quarantine.refusal(self._body.fingerprint)
        if refusal is not None:
            self._fail(worse(self._worst_failure, refusal))
            return
        ticket = self._calls.admissions.ticket(
            self.plan, self._excluded, self._progress.tries_another_zone
        )
        self._ticket = ticket
        decision = self._calls.admissions.offer(ticket, self.plan, self)
        if isinstance(decision, Waiting):
            self._recorder.note(self._loop.time(), "queued")
        if isinstance(decision, Dispatch):
            self.dispatched(decision)
        elif isinstance(decision, NotRun):
            self._ticket = None
            self._fail(worse(self._worst_failure, decision))

    def _retry_if_possible(self, failed: Failed, result: AttemptResult | None) -> bool:
        """Schedule another attempt if that is safe, useful and within the retry budget.

        Return whether one was scheduled.
        """
        if self._over or self._answer.begun:
            return False
        self._progress = counted(self._progress, failed)
        step = next_step(
            self._progress, failed, self._attempt_terms(failed.reason in PROBE_NEXT_REASONS)
        )
        if isinstance(step, GiveUp):
            return False
        delay = self._calls.retries.delay(
            self.plan, self._progress.offers, self._loop.time(), step.costs_budget
        )
        if delay is None:
            return False
        self._discard_attempt(failed, result)
        if not step.elsewhere:
            self._excluded = frozenset()
        self._progress = msgspec.structs.replace(self._progress, may_wait=step.may_wait)
        self._schedule_retry(delay)
        return True

    @property
    def _retries_error(self) -> bool:
        return self.plan.settings.retry_errors and self._answer.is_error

    def _retry_elsewhere_if_possible(
        self, failed: Failed, result: AttemptResult | None, trailers: HeaderList
    ) -> bool:
        """Set a complete answer aside and retry, if there is another back end to try.

        Return whether a retry was scheduled.
        """
        tried = self._excluded | self._current_node
        if not self._calls.admissions.has_back_end_besides(self.plan, tried):
            return False
        if not self._answer.begun:
            self._answer.keep_as_fallback(trailers)
        return self._retry_if_possible(failed, result)

    def _attempt_terms(self, for_free_slot: bool) -> AttemptTerms:
        tried = self._excluded | self._current_node
        return AttemptTerms(
            repeatable=self.plan.repeatable,
            most_offers=self.plan.settings.retry_attempts + 1,
            has_other=self._calls.admissions.has_back_end_besides(
                self.plan, tried, for_free_slot
            ),
            replayable=self._body.replayable,
            known_ends=self._calls.quarantine.ends(self._body.fingerprint),
            may_wait_on=may_wait_on(
                self._loop.time(),
                self.plan.start_by,
                self._progress.waits,
                self._calls.admissions.max_queued_owners(self.plan),
            ),
        )

    @property
    def _probes_for_slot(self) -> bool:
        """Whether the current attempt probes for a free slot and may not wait for one."""
        return self._calls.admissions.probes_for_free_slots and not self._progress.may_wait

    @property
    def _current_node(self) -> frozenset[str]:
        """Set of the one node whose back end has the current attempt; empty without one."""
        dispatch = self._dispatch
        return frozenset() if dispatch is None else frozenset({dispatch.endpoint.node})

    def _discard_attempt(self, failed: Failed, result: AttemptResult | None) -> None:
        for node in self._current_node:
            self._recorder.note_failure(self._loop.time(), node, failed)
        self._attempt = None
        self._begun = False
        self._excluded |= self._current_node
        self._free_slot(result)
        self._worst_failure = worse(self._worst_failure, failed)

    def _schedule_retry(self, delay: float) -> None:
        self._answer.forget()
        if delay <= 0.0:
            self._retry = None
            self._loop.call_soon(self._start_retry)
        else:
            self._retry = self._loop.call_later(delay, self._start_retry)

    def _start_retry(self) -> None:
        self._retry = None
        if self._over or self._fail_if_key_refused():
            return
        self._body.restart()
        self._admit()

    def _deadline_passed(self) -> None:
        """End the call, after giving the back end's owner time to report whether it ran.

        A large answer that has begun may continue for ``OVERTIME_SECONDS`` first.
        """
        if (
            self._answer.begun
            and self.plan.settings.large_answers
            and not self._is_overtime
        ):
            self._is_overtime = True
            self._timer = self._loop.call_later(OVERTIME_SECONDS, self._deadline_passed)
            return
        attempt = self._attempt
        asked = (
            attempt is not None
            and self._begun
            and not self._answer.begun
            and attempt.settle()
        )
        if asked:
            self._timer = self._loop.call_later(
                SETTLE_TIMEOUT_SECONDS, self._end_at_deadline
            )
        else:
            self._end_at_deadline()

    def _end_at_deadline(self) -> None:
        if self._begun:
            failed: Failed = Unknown(STATUS_GATEWAY_TIMEOUT, "deadline-passed")
        else:
            refusal = out_of_time()
            failed = worse(self._worst_failure, refusal)
        result: AttemptResult | None = "late" if self._begun else None
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
        self._free_slot(result)
        self._fail(failed)

    def _body_too_large(self) -> None:
        reason = "body-too-large"
        begun = self._begun
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
        failed = (
            Unknown(STATUS_BODY_TOO_LARGE, reason)
            if begun
            else self._calls.checked_refusal(NotRun(STATUS_BODY_TOO_LARGE, reason))
        )
        self._fail(worse(self._worst_failure, failed))

    def _fail(self, failed: Failed) -> None:
        if failed in (SHED_OUTCOME, FAILED_OUTCOME) and self._answer.has_fallback:
            self._end_with_fallback()
            return
        self._over = True
        if isinstance(failed, NotRun) and self._plan is not None:
            now = self._loop.time()
            failed = self._calls.retries.with_paced_retry_after(self._plan, failed, now)
        self._answer.fail(failed)
        if self._claim and isinstance(failed, NotRun):
            self._calls.claims.release(self._claim, self._claim_attempt)
        self._calls.failed(self._plan, failed, self._request_id, self._recorder)
        self._finish(None)

    def _end_with_fallback(self) -> None:
        """Send the error answer of the first attempt: no other back end ran the call."""
        self._over = True
        self._answer.send_fallback()
        self._calls.answered(
            self.plan, self._answer.status, self._request_id, self._recorder
        )
        self._finish(None)

    def _abort(self) -> None:
        """Stop all work on the call because its caller disconnected."""
        if self._claim and not self._begun and not isinstance(self._worst_failure, Unknown):
            self._calls.claims.release(self._claim, self._claim_attempt)
        self._answer.give_up()
        if self._attempt is not None:
            self._attempt.cancel()
        self._finish(None)

    def _finish(self, result: AttemptResult | None) -> None:
        self._over = True
        self._attempt = None
        if self._timer is not None:
            self._timer.cancel()
        if self._retry is not None:
            self._retry.cancel()
        if self._ticket is not None:
            self._calls.admissions.withdraw(self._ticket, self.plan)
            self._ticket = None
        self._free_slot(result)
        self._calls.remove_call(self)

    def _free_slot(self, result: AttemptResult | None) -> None:
        dispatch = self._dispatch
        self._dispatch = None
        if dispatch is not None:
            latency = self._loop.time() - self._attempt_began_at
            self._calls.admissions.slot_freed(dispatch, self.plan, latency, result)
