"""One call of a caller, from its request's head to its outcome.

Runs in the callbacks of its connections and timers.  What is decided is decided
by the cores in ``peppershore.request``; this ties them to the I/O.
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
from peppershore.process.node.data.call_story import StoryBook
from peppershore.process.node.data.calls import Calls
from peppershore.process.node.data.request_body import (
    STREAMED_REPLAY_BYTES,
    RequestBody,
)
from peppershore.process.node.data.verdicts import (
    FAILED,
    SHED,
    verdict_of_failure,
    verdict_of_status,
)
from peppershore.request.admission import Dispatch, Waiting
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    claim_key,
    denied_as,
)
from peppershore.request.classification import CallPlan
from peppershore.request.endpoint_state import Verdict
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
    SEEK_ON,
    STATUS_BODY_TOO_LARGE,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
    out_of_time,
    worse,
)
from peppershore.request.shared_patience import may_wait_on, wait_until
from peppershore.request.tenants.callers import NOBODY
from peppershore.request.waiting import Ticket

VERDICT_SECONDS = 0.025
"""For so long after its deadline a call may wait for the word of the back end's
own node on whether it ran; after that its outcome is unknown."""


OVERTIME_SECONDS = 5.0
"""For so long after its deadline a large answer that has begun may go on: one cut midway
was sent in vain, and a caller that wants it no more closes its connection."""


NO_STORY = StoryBook(0.0, Fingerprint())


class Call:
    """One call; a sink of its request and of its attempts."""

    __slots__ = (
        "_answer",
        "_attempt",
        "_awaits_body",
        "_progress",
        "_began_at",
        "_begun",
        "_body",
        "_caller",
        "_calls",
        "_claim",
        "_claim_attempt",
        "_dispatch",
        "_earlier",
        "_exchange",
        "_excluded",
        "_head",
        "_is_overtime",
        "_loop",
        "_over",
        "_plan",
        "_request_id",
        "_retry",
        "_story",
        "_ticket",
        "_timer",
        "_whose",
    )

    def __init__(self, calls: Calls, exchange: ServerExchange, head: RequestHead) -> None:
        """Nothing happens before ``start``."""
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
        self._began_at = 0.0
        self._begun = False
        self._caller = ""
        self._claim = ""
        self._claim_attempt = ""
        self._dispatch: Dispatch | None = None
        self._earlier: Failed | None = None
        self._excluded: frozenset[str] = frozenset()
        self._over = False
        self._retry: asyncio.TimerHandle | None = None
        self._story = NO_STORY
        self._ticket: Ticket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._whose = NOBODY

    @property
    def plan(self) -> CallPlan:
        """What was decided about the call."""
        assert self._plan is not None
        return self._plan

    # --- RequestSink

    def start(self) -> None:
        """Decide what the call is, and admit or refuse it."""
        self._calls.begun(self)
        self._story = StoryBook(self._loop.time(), self._body.fingerprint)
        planned = self._calls.plan(self._head)
        if isinstance(planned, Failure):
            self._fail(planned.failure())
            return
        entry = planned.unwrap()
        self._plan = entry.plan
        self._whose = entry.whose
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
        """Go on once the limit of the call's tenant allows it."""
        self._awaits_body = False
        self._calls.quotas.take(self.plan, self._quota_decided)

    def _quota_decided(self, refusal: NotRun | None) -> bool:
        """Take the decision on the tenant's limit; a call that is over needs none."""
        if self._over or self._is_refused_by_key():
            return False
        if refusal is None:
            self._claim_or_admit()
        else:
            self._fail(refusal)
        return True

    def _claim_or_admit(self) -> None:
        """Admit the call, after a claim on its key where it has one."""
        if not self.plan.key or self._calls.forwards_unclaimed_keys:
            self._admit()
        elif self._calls.claims.client is None:
            self._fail(NotRun(STATUS_UNAVAILABLE, "no-claims-group"))
        else:
            self._claim_first(claim_key(self._head, self.plan.key, self._caller))

    def body_received(self, data: bytes) -> None:
        """Pass a piece of the request's body on, or hold it."""
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
        elif self._body.held_too_much:
            self._exchange.pause_body()

    def body_ended(self, trailers: HeaderList) -> None:
        """The request is whole."""
        self._body.end(self._calls.forwarded_trailers(trailers))
        if self._awaits_body and not self._over:
            self._proceed()
        elif self._begun and self._attempt is not None:
            self._body.send(self._attempt)

    def caller_gone(self) -> None:
        """Cancel, unless the answer is to be kept for a resend."""
        if self._over or (self._claim and self._begun and self._body.ended):
            return
        self._calls.abandoned(self._plan, self._request_id, self._story)
        self._give_up()

    def writing_paused(self) -> None:
        """The caller reads slowly."""
        if self._attempt is not None:
            self._attempt.pause_answer()

    def writing_resumed(self) -> None:
        """The caller caught up."""
        if self._attempt is not None:
            self._attempt.resume_answer()

    # --- AttemptSink

    def attempt_begun(self) -> None:
        """Send what there is of the body; from here on the call may run."""
        self._begun = True
        self._exchange.send_continue()
        assert self._attempt is not None
        self._body.send(self._attempt)
        self._exchange.resume_body()

    def answer_head(self, head: AnswerHead) -> None:
        """The answer begins."""
        if self._seeks:
            self._calls.admissions.asked_for_slot(self.plan, was_granted=True)
        self._answer.head(head)

    def answer_data(self, data: bytes) -> None:
        """A piece of the answer."""
        self._answer.data(data)

    def answer_batch_ended(self) -> None:
        """Pass on what there is."""
        self._answer.flush()

    def answer_ended(self, trailers: HeaderList) -> None:
        """The answer is whole: give it first, then free the slot."""
        if self._answer.is_shed and self._tries_another_after(SHED, "shed"):
            return
        if self._retries_error and self._tries_another_after(FAILED, "failed"):
            return
        self._over = True
        self._answer.end(trailers)
        if self._claim:
            self._calls.claims.complete(
                self._claim, self._claim_attempt, self._answer.kept()
            )
        self._calls.answered(self.plan, self._answer.status, self._request_id, self._story)
        self._finish(verdict_of_status(self._answer.status))

    def attempt_failed(self, failed: Failed) -> None:
        """Try again where that is safe and within budget, else tell the caller."""
        if failed.reason == BUSY and self._seeks:
            self._calls.admissions.asked_for_slot(self.plan, was_granted=False)
        if self._tries_again_after(failed, verdict_of_failure(failed)):
            return
        self._leave_attempt(failed, verdict_of_failure(failed))
        assert self._earlier is not None
        self._fail(self._earlier)

    def sending_paused(self) -> None:
        """The back end reads slowly."""
        self._exchange.pause_body()

    def sending_resumed(self) -> None:
        """The back end caught up."""
        self._exchange.resume_body()

    # --- used by the calls

    def dispatched(self, dispatch: Dispatch) -> None:
        """A back end was chosen: start an attempt."""
        self._ticket = None
        self._dispatch = dispatch
        if self._is_refused_by_key():
            return
        if self._progress.tries == 0:
            self._calls.repeats.first_attempt(self.plan, self._loop.time())
        may_wait = self._progress.may_wait or self._calls.admissions.waits_at_once(
            self.plan
        )
        self._progress = msgspec.structs.replace(
            self._progress,
            tries=self._progress.tries + 1,
            waits=self._progress.waits + may_wait,
            may_wait=may_wait,
        )
        self._began_at = self._loop.time()
        request = self._request()
        seen = self._calls.admissions.choice_seen(dispatch, self.plan, request.may_wait)
        self._story.note_choice(self._began_at, dispatch.endpoint.node, seen)
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
            or not self._calls.admissions.looks_for_free_slots,
            start_by=wait_until(
                self._began_at,
                self._calls.start_by(plan, self._whose),
                max(1, self._progress.waits),
                self._calls.admissions.most_waits(plan),
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
        )

    @property
    def _body_waits_for_credit(self) -> bool:
        """Whether another node is sent the body only when its back end takes the call."""
        if self.plan.settings.streamed_bodies:
            return True
        length = self._body.received if self._body.ended else self._head.content_length
        return self._calls.body_is_costly(length, self._body.fingerprint)

    def refused(self, refusal: NotRun) -> None:
        """The call lost its place in the queue."""
        self._ticket = None
        self._fail(worse(self._earlier, refusal))

    def configuration_changed(self) -> None:
        """Wait no longer with a key that is of no use any more."""
        if not self._over and self._attempt is None:
            self._is_refused_by_key()

    # --- inside

    def _is_refused_by_key(self) -> bool:
        """Refuse the call if its key became of no use while it waited."""
        refusal = self._calls.refusal_of_key(self._whose)
        if refusal is None:
            return False
        self._fail(worse(self._earlier, refusal))
        return True

    def _claim_first(self, key: str) -> None:
        # Never the request id: a caller that sends the call again may repeat that.
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
        self._answer.give_kept(outcome, self._head.method == b"HEAD")
        self._calls.answered(self.plan, outcome.status, self._request_id, self._story)
        self._finish(None)

    def _admit(self) -> None:
        refusal = self._calls.quarantine.refusal(self._body.fingerprint)
        if refusal is not None:
            self._fail(worse(self._earlier, refusal))
            return
        ticket = self._calls.admissions.ticket(
            self.plan, self._excluded, self._progress.tries_another_zone
        )
        self._ticket = ticket
        decision = self._calls.admissions.offer(ticket, self.plan, self)
        if isinstance(decision, Waiting):
            self._story.note(self._loop.time(), "queued")
        if isinstance(decision, Dispatch):
            self.dispatched(decision)
        elif isinstance(decision, NotRun):
            self._ticket = None
            self._fail(worse(self._earlier, decision))

    def _tries_again_after(self, failed: Failed, verdict: Verdict | None) -> bool:
        """Make another attempt if that is safe, of use and within the budget."""
        if self._over or self._answer.begun:
            return False
        self._progress = counted(self._progress, failed)
        step = next_step(self._progress, failed, self._terms(failed.reason in SEEK_ON))
        if isinstance(step, GiveUp):
            return False
        delay = self._calls.repeats.delay(
            self.plan, self._progress.offers, self._loop.time(), step.costs_budget
        )
        if delay is None:
            return False
        self._leave_attempt(failed, verdict)
        if not step.elsewhere:
            self._excluded = frozenset()
        self._progress = msgspec.structs.replace(self._progress, may_wait=step.may_wait)
        self._retry_after(delay)
        return True

    @property
    def _retries_error(self) -> bool:
        return self.plan.settings.retry_errors and self._answer.is_error

    def _tries_another_after(self, failed: Failed, verdict: Verdict | None) -> bool:
        """Leave a whole answer for another back end's, if there is another one."""
        tried = self._excluded | self._own_try
        if not self._calls.admissions.has_back_end_besides(self.plan, tried):
            return False
        return self._tries_again_after(failed, verdict)

    def _terms(self, for_free_slot: bool) -> AttemptTerms:
        tried = self._excluded | self._own_try
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
                self._calls.admissions.most_waits(self.plan),
            ),
        )

    @property
    def _seeks(self) -> bool:
        """Whether the attempt under way asks for a slot that is free now."""
        return self._calls.admissions.looks_for_free_slots and not self._progress.may_wait

    @property
    def _own_try(self) -> frozenset[str]:
        """The node whose back end has the attempt under way."""
        dispatch = self._dispatch
        return frozenset() if dispatch is None else frozenset({dispatch.endpoint.node})

    def _leave_attempt(self, failed: Failed, verdict: Verdict | None) -> None:
        for node in self._own_try:
            self._story.note_failure(self._loop.time(), node, failed)
        self._attempt = None
        self._begun = False
        self._excluded |= self._own_try
        self._free_slot(verdict)
        self._earlier = worse(self._earlier, failed)

    def _retry_after(self, delay: float) -> None:
        self._answer.forget()
        if delay <= 0.0:
            self._retry = None
            self._loop.call_soon(self._try_again)
        else:
            self._retry = self._loop.call_later(delay, self._try_again)

    def _try_again(self) -> None:
        self._retry = None
        if self._over or self._is_refused_by_key():
            return
        self._body.restart()
        self._admit()

    def _deadline_passed(self) -> None:
        """End the call, once the back end's own node has said whether it ran.

        A large answer that has begun is given whole, for as long as its caller waits.
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
            self._timer = self._loop.call_later(VERDICT_SECONDS, self._end_at_deadline)
        else:
            self._end_at_deadline()

    def _end_at_deadline(self) -> None:
        if self._begun:
            failed: Failed = Unknown(STATUS_GATEWAY_TIMEOUT, "deadline-passed")
        else:
            refusal = out_of_time()
            failed = worse(self._earlier, refusal)
        verdict: Verdict | None = "late" if self._begun else None
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
        self._free_slot(verdict)
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
            else self._calls.as_confirmed(NotRun(STATUS_BODY_TOO_LARGE, reason))
        )
        self._fail(worse(self._earlier, failed))

    def _fail(self, failed: Failed) -> None:
        self._over = True
        if isinstance(failed, NotRun) and self._plan is not None:
            now = self._loop.time()
            failed = self._calls.repeats.with_paced_retry_after(self._plan, failed, now)
        self._answer.fail(failed)
        if self._claim and isinstance(failed, NotRun):
            self._calls.claims.release(self._claim, self._claim_attempt)
        self._calls.failed(self._plan, failed, self._request_id, self._story)
        self._finish(None)

    def _give_up(self) -> None:
        """The caller is gone: stop all work for it."""
        if self._claim and not self._begun and not isinstance(self._earlier, Unknown):
            self._calls.claims.release(self._claim, self._claim_attempt)
        self._answer.give_up()
        if self._attempt is not None:
            self._attempt.cancel()
        self._finish(None)

    def _finish(self, verdict: Verdict | None) -> None:
        self._over = True
        self._attempt = None
        if self._timer is not None:
            self._timer.cancel()
        if self._retry is not None:
            self._retry.cancel()
        if self._ticket is not None:
            self._calls.admissions.withdraw(self._ticket, self.plan)
            self._ticket = None
        self._free_slot(verdict)
        self._calls.over(self)

    def _free_slot(self, verdict: Verdict | None) -> None:
        dispatch = self._dispatch
        self._dispatch = None
        if dispatch is not None:
            latency = self._loop.time() - self._began_at
            self._calls.admissions.slot_freed(dispatch, self.plan, latency, verdict)
