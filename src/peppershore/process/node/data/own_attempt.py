"""An attempt at this node's own back end: room for a large body, a slot, then the call."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from peppershore.connection.http_head import AnswerHead, HeaderList
from peppershore.process.node.data.attempt import AttemptRequest, AttemptSink
from peppershore.process.node.data.call_story import NEVER_RAN, ServedRun
from peppershore.process.node.data.direct_attempt import OWN_TERMS, DirectAttempt
from peppershore.process.node.data.own_backend import OwnBackend
from peppershore.process.node.data.verdicts import verdict_of_failure, verdict_of_status
from peppershore.request.admission import Dispatch
from peppershore.request.bodies_ahead import (
    FETCH_SECONDS,
    MOST_BYTES,
    RUN_PATIENCE_SECONDS,
)
from peppershore.request.body_transfers import MOST_SECONDS, TRANSFER_SECONDS
from peppershore.request.endpoint_state import Verdict
from peppershore.request.outcome import (
    BACK_END_ENDED,
    BROKE_OFF,
    BUSY,
    NO_SLOT_IN_TIME,
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
NOT_THERE_REASONS = frozenset({"back-end-unreachable", "other-back-end"})


class OwnAttempt:
    """Waits for room and for a slot, then goes to the back end directly."""

    __slots__ = (
        "_awaits_word_of_end",
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
        backend: OwnBackend,
        request: AttemptRequest,
        sink: AttemptSink,
        fetch_body: Callable[[], None] | None = None,
    ) -> None:
        """Nothing happens before ``start``.

        ``fetch_body`` asks for a body that another node keeps until it is asked; then
        ``body_is_in`` has to be told.
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
        self._terms = OWN_TERMS
        self._status = 0
        self._done = False
        self._is_running = False
        self._transferring = False
        self._awaits_word_of_end = False
        self._transfer_timer: asyncio.TimerHandle | None = None

    @property
    def is_client_retry(self) -> bool:
        """Whether the caller was refused before."""
        return self._request.is_client_retry

    def run(self, came_at: float) -> ServedRun:
        """Give how it ran so far, for a call that came then (monotonic seconds)."""
        if self._direct is None:
            return NEVER_RAN
        waited = round((self._started - came_at) * MILLISECONDS)
        return ServedRun(waited, self._backend.report.mean_pace_percent(self._started))

    def start(self) -> None:
        """Ask for room for a large body, or for a body to come first, then for a slot."""
        if self._fetches_first and self._backend.begin_body(self._request):
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
            self._sink.attempt_failed(_no_room(BUSY))

    def transfer_begun(self) -> None:
        """There is room for the large body: ask for a slot."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._transferring = True
        loop = asyncio.get_running_loop()
        self._transfer_timer = loop.call_later(MOST_SECONDS, self._transferred)
        self._ask_for_slot()

    @property
    def _fetches_first(self) -> bool:
        """Whether the body may come before there is a slot."""
        request = self._request
        if self._fetch_body is None or not request.body_on_credit or request.takes_room:
            return False
        length = request.head.content_length
        return length is not None and length <= MOST_BYTES

    def _fetch(self) -> None:
        assert self._fetch_body is not None
        self._fetching = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FETCH_SECONDS, self._body_did_not_come)
        self._fetch_body()

    def body_is_in(self) -> None:
        """The body that was asked for is whole: ask for its slot, and wait for it."""
        if not self._fetching:
            return
        self._end_fetch()
        now = asyncio.get_running_loop().time()
        start_by = max(self._request.start_by, now + RUN_PATIENCE_SECONDS)
        self._request = msgspec.structs.replace(
            self._request, may_wait=True, start_by=start_by, priority=0
        )
        self._ask_for_slot()

    def _body_did_not_come(self) -> None:
        self._end(None)
        self._sink.attempt_failed(_no_room(BUSY))

    def _end_fetch(self) -> None:
        if self._fetching:
            self._fetching = False
            self._backend.body_ended()
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
        """A slot is free: go to the back end."""
        loop = asyncio.get_running_loop()
        self._ticket = None
        self._dispatch = dispatch
        if self._timer is not None:
            self._timer.cancel()
        refusal = self._backend.quarantine.refusal_here(self._request.fingerprint)
        if refusal is not None:
            self._end(None)
            self._sink.attempt_failed(refusal)
            return
        self._timer = loop.call_at(self._request.deadline, self._expired)
        self._started = loop.time()
        self._is_running = True
        request_id = self._backend.request_id(self._request)
        self._backend.running.began(request_id, self._request.tenant)
        self._backend.quarantine.began(self._request.fingerprint)
        self._terms = self._backend.terms
        self._direct = DirectAttempt(
            self._backend.pool,
            self._request,
            self,
            terms=self._terms,
            on_load=self._heard,
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
        self._awaits_word_of_end = False
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

    def _heard(self, told: bytes) -> None:
        """Note what the life that has this call says of its load."""
        self._backend.heard(told, self._terms.life)

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
        verdict = verdict_of_status(self._status)
        if verdict == "good":
            self._backend.ended_well(self._request.fingerprint)
        self._end(verdict)

    def attempt_failed(self, failed: Failed) -> None:
        """Free the slot, then hand the failure on."""
        self._end(verdict_of_failure(failed))
        if failed.reason in NOT_THERE_REASONS:
            self._backend.refuse_not_there(self._terms.life)
        if failed.reason == BROKE_OFF:
            self._awaits_word_of_end = True
            crashes = self._backend.crashes
            crashes.broke_off(self._terms.life, self._request.fingerprint, self._broke_off)
        else:
            self._sink.attempt_failed(failed)

    def sending_paused(self) -> None:
        """Hand the back end's slowness on."""
        self._sink.sending_paused()

    def sending_resumed(self) -> None:
        """The back end reads again."""
        self._sink.sending_resumed()

    # --- inside

    def _broke_off(self, has_ended: bool) -> None:
        """It is known whether the back end's process ended under the call."""
        if not self._awaits_word_of_end:
            return
        self._awaits_word_of_end = False
        reason = BACK_END_ENDED if has_ended else BROKE_OFF
        self._sink.attempt_failed(Unknown(STATUS_BAD_GATEWAY, reason))

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
        self._end_fetch()
        self._backend.give_up_transfer(self)
        self._transferred()
        if self._ticket is not None:
            self._backend.withdraw(self._ticket)
            self._ticket = None
        dispatch = self._dispatch
        self._dispatch = None
        if dispatch is not None:
            self._note_not_running()
            latency = asyncio.get_running_loop().time() - self._started
            self._backend.finished(dispatch, latency, verdict)

    def _note_not_running(self) -> None:
        if self._is_running:
            self._is_running = False
            self._backend.running.ended(self._backend.request_id(self._request))
            self._backend.quarantine.over(self._request.fingerprint)


def _no_room(reason: str) -> NotRun:
    """Give the refusal of a large body that finds the link full of others."""
    advice = math.ceil(TRANSFER_SECONDS * MILLISECONDS)
    return NotRun(STATUS_UNAVAILABLE, reason, advice, retryable=True)
