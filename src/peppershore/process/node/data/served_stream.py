"""The owner's side of a stream: a peer's call to this node's local back end."""

from __future__ import annotations

import asyncio
import math

from peppershore.connection.call_link import CallLink, ReceiveWindow, SendWindow
from peppershore.connection.http_head import (
    AnswerHead,
    HeaderList,
    RequestHead,
    fields_unsafe,
)
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    STREAM_WINDOW_BYTES,
    CallAnswerBody,
    CallAnswered,
    CallBody,
    CallCancelled,
    CallCredit,
    CallNotRun,
    CallStarted,
    CallUnknown,
    OwnerLoad,
)
from peppershore.process.node.data.attempt import Attempt, AttemptRequest, AttemptSink
from peppershore.process.node.data.call_log import CallLog
from peppershore.process.node.data.call_story import (
    NEVER_RAN,
    CallEnd,
    ServedRecord,
    failure_end,
    served_story,
)
from peppershore.process.node.data.local_attempt import LocalAttempt
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.process.node.data.paced_answer import LargeTerms, PacedAnswer
from peppershore.process.node.data.request_body import RequestBody
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import (
    PROBE_NEXT_REASONS,
    STATUS_BAD_REQUEST,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
)
from peppershore.request.send_kind import SEND_KINDS
from peppershore.request.waiting import RANKS
from peppershore.version.model import CallClass

NO_LENGTH = -1
MILLISECONDS = 1_000
CLASSES: dict[str, CallClass] = {name: name for name in RANKS}


class ServedStream:
    """Forwards a peer's call to the back end, and the answer to the peer."""

    __slots__ = (
        "_answer_head",
        "_attempt",
        "_backend",
        "_begun",
        "_body",
        "_cancellable",
        "_prefetches_body",
        "_link",
        "_log",
        "_unsent",
        "_finished",
        "_own_attempt",
        "_paused",
        "_receiving",
        "_record",
        "_route",
        "_sending",
        "_status",
        "_stream",
    )

    def __init__(self, link: CallLink, started: CallStarted, log: CallLog) -> None:
        """Serve the call that ``started`` opened on ``link``; ``start`` begins it."""
        self._log = log
        self._record: ServedRecord | None = None
        self._status = 0
        self._link: CallLink | None = link
        self._stream = started.stream
        self._body = RequestBody()
        self._body.fingerprint.identity = started.identity
        self._route = started.route
        self._cancellable = started.cancellable
        self._attempt: Attempt | None = None
        self._own_attempt: LocalAttempt | None = None
        self._backend: LocalBackEnd | None = None
        self._begun = False
        self._prefetches_body = False
        self._finished = False
        self._paused = False
        self._answer_head: AnswerHead | None = None
        self._unsent: list[bytes] = []
        self._sending = SendWindow(started.answer_window or STREAM_WINDOW_BYTES)
        self._receiving = ReceiveWindow()

    def start(self, backend: LocalBackEnd, started: CallStarted) -> None:
        """Start the attempt, which requests a slot from ``backend``."""
        if started.data:
            self._body.add(started.data)
        if started.ended:
            self._body.end(started.trailers)
        if fields_unsafe(started.headers) or fields_unsafe(started.trailers):
            self.refuse(NotRun(STATUS_BAD_REQUEST, "malformed-fields"))
            return
        self._backend = backend
        if started.body_on_credit:
            window = backend.transfers.window_bytes
            self._receiving = ReceiveWindow(window, owed=window)
        backend.need_known_elsewhere(started.known_need, started.left)
        request = _request(started, self._body.fingerprint)
        self._record = backend.record(request)
        self._attempt = self._new_attempt(backend, request)
        self._attempt.start()

    def _new_attempt(self, backend: LocalBackEnd, request: AttemptRequest) -> Attempt:
        """Return the attempt: a ``PacedAnswer`` if its answer is expected to be large."""

        def make_attempt(sink: AttemptSink) -> LocalAttempt:
            self._own_attempt = LocalAttempt(backend, request, sink, self._fetch_body)
            return self._own_attempt

        scheduler = backend.large_answers
        if scheduler is None or not request.answer_is_large:
            return make_attempt(self)
        work = backend.admission.known_work(request.route)
        terms = LargeTerms(request.route, request.due, work, elsewhere=True)
        return PacedAnswer(scheduler, terms, self, make_attempt)

    def refuse(self, refusal: NotRun) -> None:
        """Refuse the call before it is started."""
        self.attempt_failed(refusal)

    # --- StreamSink (called by the link)

    def stream_message(self, message: Message) -> None:
        """Process the peer's next message."""
        match message:
            case CallBody():
                self._receive_body(message)
            case CallCancelled():
                self._cancel()
            case CallCredit():
                self._receive_credit(message.octets)
            case _:
                pass

    def stream_lost(self, reason: str) -> None:
        """Cancel the call of a peer that was lost, unless its answer is stored elsewhere.

        Such a call is not cancellable: it goes on if it has begun and its body is complete.
        """
        del reason
        self._link = None
        if self._cancellable or not self._begun or not self._body.ended:
            self._cancel()

    # --- AttemptSink (called by the attempt)

    def attempt_begun(self) -> None:
        """Send the part of the body that was received, and grant the peer credit."""
        self._begun = True
        assert self._attempt is not None
        self._body.send(self._attempt)
        self._send_credit(self._receiving.resume())

    def answer_head(self, head: AnswerHead) -> None:
        """Store the head until this batch ends, when most answers are complete."""
        self._answer_head = head
        self._status = head.status

    def answer_data(self, data: bytes) -> None:
        """Queue a chunk of the answer's body."""
        self._unsent.append(data)

    def answer_batch_ended(self) -> None:
        """Send the queued part of the answer."""
        self._flush(False, [])

    def answer_ended(self, trailers: HeaderList) -> None:
        """Send the rest of the answer, which is complete, and close the stream."""
        self._finished = True
        self._flush(True, trailers)
        self._close()
        if self._record is not None and self._log.takes_answered(self._record.request_id):
            self._log_end(CallEnd("answered", "", self._status))

    def attempt_failed(self, failed: Failed) -> None:
        """Report to the peer how the call failed.

        A call that may not wait and is refused for want of a free slot, or because the
        machine is slow, is not logged here: the caller's node logs the refusal as a step of
        the call. Under load 17 in 20 log lines were of this kind and displaced others.
        """
        self._finished = True
        if self._link is not None:
            self._link.send(_failure_message(self._stream, failed, self._load()))
        self._close()
        if failed.reason not in PROBE_NEXT_REASONS:
            self._log_end(failure_end(failed))

    def sending_paused(self) -> None:
        """Grant the peer no more credit."""
        self._receiving.pause()

    def sending_resumed(self) -> None:
        """Grant the peer the credit that was withheld."""
        self._send_credit(self._receiving.resume())

    # --- internal

    def _receive_body(self, message: CallBody) -> None:
        if self._finished:
            return
        if message.trailers and fields_unsafe(message.trailers):
            self._cancel()
            return
        self._body.add(message.data)
        if message.ended:
            self._body.end(message.trailers)
        if self._begun and self._attempt is not None:
            self._body.send(self._attempt)
        elif self._own_attempt is not None and message.ended:
            self._own_attempt.body_prefetched()
        elif not self._prefetches_body:
            self._receiving.pause()
        self._send_credit(self._receiving.taken(len(message.data)))

    def _fetch_body(self) -> None:
        """Grant the peer credit for its complete body before the call has a slot."""
        self._prefetches_body = True
        self._send_credit(self._receiving.resume())

    def _cancel(self) -> None:
        if self._finished:
            return
        self._finished = True
        if self._attempt is not None:
            self._attempt.cancel()
        failed = self._cancel_failure()
        self._log_end(failure_end(failed))
        if self._link is not None:
            self._link.send(_failure_message(self._stream, failed, self._load()))
        self._close()

    def _log_end(self, end: CallEnd) -> None:
        if self._record is not None:
            now = asyncio.get_running_loop().time()
            began = self._record.began_at
            run = NEVER_RAN if self._own_attempt is None else self._own_attempt.run(began)
            self._log.write(served_story(self._record, end, now, run))

    def _load(self) -> OwnerLoad | None:
        return None if self._backend is None else self._backend.load(self._route)

    def _cancel_failure(self) -> Failed:
        """Return the failure of a cancelled call.

        A peer that cancels at its deadline learns by it whether the back end had the call.
        """
        if self._begun:
            return Unknown(STATUS_GATEWAY_TIMEOUT, "cancelled")
        return NotRun(STATUS_UNAVAILABLE, "cancelled")

    def _flush(self, ended: bool, trailers: HeaderList) -> None:
        data = b"".join(self._unsent)
        self._unsent.clear()
        message: CallAnswered | CallAnswerBody
        if self._answer_head is not None:
            message = _answer_message(
                self._stream, self._answer_head, data, ended, trailers, load=self._load()
            )
            self._answer_head = None
        elif data or ended:
            message = CallAnswerBody(self._stream, data, ended, trailers)
        else:
            return
        if self._link is not None:
            self._link.send(message)
        self._sending.sent(len(data))
        if not self._sending.open and not self._paused and self._attempt is not None:
            self._paused = True
            self._attempt.pause_answer()

    def _send_credit(self, octets: int) -> None:
        if octets and self._link is not None and not self._finished:
            self._link.send(CallCredit(self._stream, octets))

    def _receive_credit(self, octets: int) -> None:
        if self._sending.credited(octets) and self._paused and self._attempt is not None:
            self._paused = False
            self._attempt.resume_answer()

    def _close(self) -> None:
        if self._link is not None:
            self._link.forget(self._stream)


def _request(started: CallStarted, fingerprint: Fingerprint) -> AttemptRequest:
    length = None if started.content_length == NO_LENGTH else started.content_length
    head = RequestHead(
        method=started.method,
        target=started.target,
        headers=started.headers,
        content_length=length,
    )
    now = asyncio.get_running_loop().time()
    wait_milliseconds = started.patience_milliseconds
    return AttemptRequest(
        head=head,
        headers=started.headers,
        call_class=CLASSES.get(started.call_class, "bulk"),
        repeatable=started.repeatable,
        cancellable=started.cancellable,
        deadline=now + started.deadline_milliseconds / MILLISECONDS,
        service=started.service,
        priority=started.priority,
        may_wait=started.may_wait,
        start_by=math.inf
        if wait_milliseconds < 0
        else now + wait_milliseconds / MILLISECONDS,
        is_client_retry=started.is_client_retry,
        route=started.route,
        body_on_credit=started.body_on_credit,
        takes_room=started.takes_room,
        tenant=started.tenant,
        answer_is_large=started.answer_is_large,
        due=now + started.due_milliseconds / MILLISECONDS,
        fingerprint=fingerprint,
        send_kind=SEND_KINDS.get(started.send_kind, "retry"),
    )


def _answer_message(
    stream: int,
    head: AnswerHead,
    data: bytes,
    ended: bool,
    trailers: HeaderList,
    *,
    load: OwnerLoad | None,
) -> CallAnswered:
    length = NO_LENGTH if head.content_length is None else head.content_length
    return CallAnswered(
        stream=stream,
        status=head.status,
        reason=bytes(head.reason),
        headers=head.headers,
        content_length=length,
        has_body=head.has_body,
        data=data,
        ended=ended,
        trailers=trailers,
        load=load,
        has_failed_call=head.has_failed_call,
    )


def _failure_message(stream: int, failed: Failed, load: OwnerLoad | None) -> Message:
    if isinstance(failed, NotRun):
        return CallNotRun(
            stream,
            failed.status,
            failed.reason,
            failed.retry_after_milliseconds,
            failed.retryable,
            failed.offered,
            load,
        )
    return CallUnknown(stream, failed.status, failed.reason)
