"""An attempt at the local back end.

It gets link capacity for a large body, then a slot, and then sends the call.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from peppershore.connection.http_head import AnswerHead, HeaderList
from peppershore.process.node.data.attempt import AttemptRequest, AttemptSink
from peppershore.process.node.data.attempt_results import (
    result_of_failure,
    result_of_status,
)
from peppershore.process.node.data.call_story import NEVER_RAN, ServedRun
from peppershore.process.node.data.direct_attempt import DEFAULT_TERMS, DirectAttempt
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.request.admission import Dispatch
from peppershore.request.body_prefetch import (
    FETCH_SECONDS,
    MIN_RUN_WAIT_SECONDS,
    MOST_BYTES,
)
from peppershore.request.body_transfers import MOST_SECONDS, TRANSFER_SECONDS
from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.outcome import (
    BACK_END_ENDED,
    BROKE_OFF,
    BUSY,
    NO_SLOT_IN_TIME,
    OTHER_BACK_END,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
    out_of_time,
)
from peppershore.request.waiting import Ticket

MILLISECONDS = 1_000
ABSENT_REASONS = frozenset({"back-end-unreachable", OTHER_BACK_END})


class LocalAttempt:
    """Waits for body capacity and for a slot, then sends the call to the back end."""

    __slots__ = (
        "_awaits_crash_check",
        "_backend",
        "_direct",
        "_dispatch",
        "_done",
        "_fetch_body",
        "_fetching",
        "_is_running",
        "_request",
        "_sink",
        "_started",
        "_status",
        "_terms",
        "_ticket",
        "_timer",
        "_transfer_timer",
        "_transferring",
    )

    def __init__(
        self,
        backend: LocalBackEnd,
        request: AttemptRequest,
        sink: AttemptSink,
        fetch_body: Callable[[], None] | None = None,
    ) -> None:
        """Create the attempt; it does nothing until ``start``.

        ``fetch_body`` requests a body that the caller's node holds back until then. When
        that body has arrived completely, ``body_prefetched`` must be called.
        """
        self._fetch_body = fetch_body
        self._fetching = False
        self._backend = backend
        self._request = request
        self._sink = sink
        self._direct: DirectAttempt | None = None
        self._dispatch: Dispatch | None = None
        self._ticket: Ticket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._started = 0.0
        self._terms = DEFAULT_TERMS
        self._status = 0
        self._done = False
        self._is_running = False
        self._transferring = False
        self._awaits_crash_check = False
        self._transfer_timer: asyncio.TimerHandle | None = None

    @property
    def is_client_retry(self) -> bool:
        """Whether the caller retries a call that was refused."""
        return self._request.is_client_retry

    def run(self, came_at: float) -> ServedRun:
        """Return wait time and pace so far of a call received at ``came_at``.

        ``came_at`` is in monotonic seconds. Pace is the service time relative to the usual
        one, in percent (200: twice as long). Return ``NEVER_RAN`` if the call was not sent.
        """
        if self._direct is None:
            return NEVER_RAN
        waited = round((self._started - came_at) * MILLISECONDS)
        return ServedRun(waited, self._backend.report.mean_pace_percent(self._started))

    def start(self) -> None:
        """Prefetch a small body or get link capacity for a large one, then request a slot.

        If the link has no capacity for a large body, the call waits for it if it may wait
        and is refused otherwise.
        """
        if self._fetches_first and self._backend.begin_prefetch(self._request):
            self._fetch()
        elif not (self._request.body_on_credit and self._request.takes_room):
            self._ask_for_slot()
        elif self._backend.transfers.begin():
            self.transfer_begun()
        elif self._request.may_wait:
            self._backend.await_transfer(self)
            self._wait()
        else:
            self._done = True
            self._sink.attempt_failed(_no_body_capacity(BUSY))

    def transfer_begun(self) -> None:
        """Request a slot: link capacity for the large body was granted."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transferring = True
        loop = asyncio.get_running_loop()
        self._transfer_timer = loop.call_later(MOST_SECONDS, self._end_transfer)
        self._ask_for_slot()

    @property
    def _fetches_first(self) -> bool:
        """Whether the body may be prefetched before the call has a slot."""
        request = self._request
        if self._fetch_body is None or not request.body_on_credit or request.takes_room:
            return False
        length = request.head.content_length
        return length is not None and length <= MOST_BYTES

    def _fetch(self) -> None:
        assert self._fetch_body is not None
        self._fetching = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FETCH_SECONDS, self._fetch_timed_out)
        self._fetch_body()

    def body_prefetched(self) -> None:
        """Request a slot and allow the call to wait: the prefetched body is complete."""
        if not self._fetching:
            return
        self._end_fetch()
        now = asyncio.get_running_loop().time()
        start_by = max(self._request.start_by, now + MIN_RUN_WAIT_SECONDS)
        self._request = msgspec.structs.replace(
            self._request, may_wait=True, start_by=start_by, priority=0
        )
        self._ask_for_slot()

    def _fetch_timed_out(self) -> None:
        self._end(None)
        self._sink.attempt_failed(_no_body_capacity(BUSY))

    def _end_fetch(self) -> None:
        if self._fetching:
            self._fetching = False
            self._backend.end_prefetch()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

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
        """Send the call to the back end: a slot was granted."""
        loop = asyncio.get_running_loop()
        self._ticket = None
        self._dispatch = dispatch
        if self._timer is not None:
            self._timer.cancel()
        refusal = self._backend.quarantine.refusal_here(self._request.fingerprint)
        if refusal is None:
            refusal = self._backend.repeats.charge(self._request.send_kind, loop.time())
        if refusal is not None:
            self._end(None)
            self._sink.attempt_failed(refusal)
            return
        self._timer = loop.call_at(self._request.deadline, self._deadline_passed)
        self._started = loop.time()
        self._is_running = True
        self._backend.running.began(
            self._request_id,
            self._request.tenant,
            is_repeat=self._request.send_kind != "first",
        )
        self._backend.quarantine.began(self._request.fingerprint)
        self._terms = self._backend.terms
        self._direct = DirectAttempt(
            self._backend.pool,
            self._request,
            self,
            terms=self._terms,
            on_head=self._head_received,
        )
        self._backend.call_sent()
        self._direct.start()

    def refused(self, refusal: NotRun) -> None:
        """Fail the waiting attempt with this refusal."""
        self._end(None)
        self._sink.attempt_failed(refusal)

    # --- the interface Attempt

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the request's body."""
        if self._direct is not None:
            self._direct.send_data(data)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the end of the request."""
        if self._direct is not None:
            self._direct.send_end(trailers)
        self._end_transfer()

    def flush(self) -> None:
        """Send the queued data."""
        if self._direct is not None:
            self._direct.flush()

    def cancel(self) -> None:
        """Abort the attempt and free its slot."""
        self._awaits_crash_check = False
        if self._done:
            return
        direct = self._direct
        if direct is not None:
            direct.cancel()
        self._end(None)

    def settle(self) -> bool:
        """Return False: no peer knows more about this attempt."""
        return False

    def pause_answer(self) -> None:
        """Stop receiving answer bytes until ``resume_answer``."""
        if self._direct is not None:
            self._direct.pause_answer()

    def resume_answer(self) -> None:
        """Resume receiving answer bytes."""
        if self._direct is not None:
            self._direct.resume_answer()

    # --- AttemptSink of the direct attempt

    def attempt_begun(self) -> None:
        """Start sending the body: the back end is connected."""
        now = asyncio.get_running_loop().time()
        self._backend.repeats.arrived(self._request.send_kind, now)
        self._sink.attempt_begun()

    def _head_received(self, head: AnswerHead) -> None:
        """Record what the incarnation that runs this call reports in its answer."""
        self._backend.answer_received(head, self._terms.life, self._started)

    def answer_head(self, head: AnswerHead) -> None:
        """Forward the head of the answer; say whether a call made for it had failed."""
        self._status = head.status
        if self._is_running and self._backend.running.has_failed_call(self._request_id):
            head = msgspec.structs.replace(head, has_failed_call=True)
        self._sink.answer_head(head)

    def answer_data(self, data: bytes) -> None:
        """Forward a chunk of the answer's body."""
        self._sink.answer_data(data)

    def answer_batch_ended(self) -> None:
        """Forward that no more of the answer is available for now."""
        self._sink.answer_batch_ended()

    def answer_ended(self, trailers: HeaderList) -> None:
        """Forward the end of the answer, then free the slot."""
        self._sink.answer_ended(trailers)
        result = result_of_status(self._status)
        if result == "good":
            self._backend.record_answered(self._request.fingerprint)
        self._end(result)

    def attempt_failed(self, failed: Failed) -> None:
        """Free the slot, then forward the failure.

        If the connection broke off, first find out whether the back end crashed.
        """
        self._end(result_of_failure(failed))
        if failed.reason in ABSENT_REASONS:
            is_replaced = failed.reason == OTHER_BACK_END
            self._backend.report_absent(self._terms.life, is_replaced=is_replaced)
        if failed.reason == BROKE_OFF:
            self._awaits_crash_check = True
            crashes = self._backend.crashes
            crashes.broke_off(
                self._terms.life, self._request.fingerprint, self._crash_checked
            )
        else:
            self._sink.attempt_failed(failed)

    def sending_paused(self) -> None:
        """Forward that the back end reads slowly."""
        self._sink.sending_paused()

    def sending_resumed(self) -> None:
        """Forward that the back end reads again."""
        self._sink.sending_resumed()

    # --- internal

    def _crash_checked(self, has_ended: bool) -> None:
        """Report the failure; ``has_ended`` is whether the back end's process ended."""
        if not self._awaits_crash_check:
            return
        self._awaits_crash_check = False
        reason = BACK_END_ENDED if has_ended else BROKE_OFF
        self._sink.attempt_failed(Unknown(STATUS_BAD_GATEWAY, reason))

    def _end_transfer(self) -> None:
        """Free the link capacity: the large body has ended, was dropped or timed out."""
        if self._transfer_timer is not None:
            self._transfer_timer.cancel()
            self._transfer_timer = None
        if self._transferring:
            self._transferring = False
            self._backend.transfer_ended()

    def _wait(self) -> None:
        """Start the time-out of the wait for body capacity or for a slot."""
        until = min(self._request.deadline, self._request.start_by)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(until, self._wait_timed_out)

    def _wait_timed_out(self) -> None:
        """Refuse the call: neither body capacity nor a slot was granted in time."""
        now = asyncio.get_running_loop().time()
        if now >= self._request.deadline:
            refusal = out_of_time()
        elif self._ticket is None:
            refusal = _no_body_capacity(NO_SLOT_IN_TIME)
        else:
            refusal = self._backend.admission.refusal_of_timed_out(self._ticket, now)
        self._end(None)
        self._sink.attempt_failed(refusal)

    def _deadline_passed(self) -> None:
        """Fail the call at its deadline; if it was never sent, it has not run."""
        begun = self._direct is not None and self._direct.begun
        self.cancel()
        if begun:
            self._sink.attempt_failed(Unknown(STATUS_GATEWAY_TIMEOUT, "deadline-passed"))
        else:
            self._sink.attempt_failed(out_of_time())

    def _end(self, result: AttemptResult | None) -> None:
        if self._done:
            return
        self._done = True
        self._end_fetch()
        self._backend.give_up_transfer(self)
        self._end_transfer()
        if self._ticket is not None:
            self._backend.withdraw(self._ticket)
            self._ticket = None
        dispatch = self._dispatch
        self._dispatch = None
        if dispatch is not None:
            self._mark_not_running()
            latency = asyncio.get_running_loop().time() - self._started
            self._backend.finished(dispatch, latency, result)

    @property
    def _request_id(self) -> bytes:
        return self._backend.request_id(self._request)

    def _mark_not_running(self) -> None:
        if self._is_running:
            self._is_running = False
            self._backend.running.ended(self._request_id)
            self._backend.quarantine.over(self._request.fingerprint)


def _no_body_capacity(reason: str) -> NotRun:
    """Return a refusal of a call whose body got no link capacity or arrived too late.

    Its retry time is ``TRANSFER_SECONDS``.
    """
    advice = math.ceil(TRANSFER_SECONDS * MILLISECONDS)
    return NotRun(STATUS_UNAVAILABLE, reason, advice, retryable=True)
