"""An attempt through the owner of a back end, on a stream of a call link."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from peppershore.connection.call_link import CallLink, ReceiveWindow, SendWindow
from peppershore.connection.http_head import AnswerHead, HeaderList, fields_unsafe
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    STREAM_WINDOW_BYTES,
    UNBOUNDED_PATIENCE,
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
from peppershore.connection.traffic import TRAFFIC
from peppershore.process.node.data.attempt import AttemptRequest, AttemptSink
from peppershore.request.deadline import remaining_milliseconds
from peppershore.request.outcome import (
    PROBE_NEXT_REASONS,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    Failed,
    NotRun,
    Unknown,
    out_of_time,
    unreachable,
)

NO_LENGTH = -1
MILLISECONDS = 1_000


class CancellableWait(Protocol):
    """A wait for a link that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the wait."""


class LinkSource(Protocol):
    """Provides links to owners and receives the loads that owners report."""

    def load_reported(self, address: str, load: OwnerLoad, route: str) -> None:
        """Record the load that an owner reported with a call of this route."""

    def call_sent(self, address: str) -> None:
        """Count a call that is sent to an owner."""

    def when_open(self, address: str, attempt: LinkAttempt) -> None:
        """Call ``attempt.link_open`` once the link is open, at once if it already is.

        If the link cannot be opened, call ``attempt.link_refused``.
        """


class LinkAttempt:
    """One stream: sends the request, receives the answer or a typed failure."""

    __slots__ = (
        "_address",
        "_data",
        "_end_sent",
        "_ended",
        "_link",
        "_links",
        "_over",
        "_paused",
        "_receiving",
        "_request",
        "_sending",
        "_sent_at",
        "_settling",
        "_sink",
        "_started",
        "_stream",
        "_trailers",
    )

    def __init__(
        self, links: LinkSource, address: str, request: AttemptRequest, sink: AttemptSink
    ) -> None:
        """Create the attempt; it does nothing until ``start``."""
        self._links = links
        self._address = address
        self._request = request
        self._sink = sink
        self._link: CallLink | None = None
        self._stream = 0
        self._started = False
        self._over = False
        self._settling = False
        self._paused = False
        self._data: list[bytes] = []
        self._ended = False
        self._end_sent = False
        self._trailers: HeaderList = []
        self._sending = SendWindow(0) if request.body_on_credit else SendWindow()
        self._receiving = ReceiveWindow(request.answer_window or STREAM_WINDOW_BYTES)
        self._sent_at = 0.0

    def start(self) -> None:
        """Request the link to the owner."""
        self._links.when_open(self._address, self)

    def link_open(self, link: CallLink) -> None:
        """Open the stream; its first message is sent by the first flush."""
        if self._over:
            return
        self._link = link
        self._stream = link.open_stream(self)
        self._sink.attempt_begun()

    def link_refused(self) -> None:
        """Fail as not run: there is no link, so nothing was sent."""
        if not self._over:
            refusal = unreachable("owner-unreachable")
            self._end(refusal)

    # --- the interface Attempt

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the request's body."""
        self._data.append(data)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the end of the request."""
        self._ended = True
        self._trailers = trailers

    def flush(self) -> None:
        """Send the queued data in one message, the body as far as credit allows."""
        if self._over or self._settling or self._link is None:
            return
        if not self._started:
            self._send_start(self._take_sendable_data())
        elif self._sending.open:
            self._send_more()
        if not self._sending.open and not self._paused:
            self._paused = True
            self._sink.sending_paused()

    def cancel(self) -> None:
        """Cancel the call at the owner; discard what still arrives."""
        if self._over:
            return
        self._over = True
        if self._link is not None:
            self._link.forget(self._stream)
            if self._started:
                self._link.send(CallCancelled(self._stream))

    def settle(self) -> bool:
        """Cancel the call at the owner, which replies whether the call may have run.

        Return whether such a reply can be expected.
        """
        if self._over or self._link is None or not self._started:
            return False
        self._settling = True
        return self._link.send(CallCancelled(self._stream))

    def pause_answer(self) -> None:
        """Stop granting credit for answer bytes."""
        self._receiving.pause()

    def resume_answer(self) -> None:
        """Grant the credit held back since the pause."""
        self._credit(self._receiving.resume())

    # --- StreamSink

    def stream_message(self, message: Message) -> None:
        """Handle the next message of the owner."""
        match message:
            case CallAnswered():
                self._note_load(message.load)
                self._forward_answer(message)
            case CallAnswerBody():
                self._forward_body(message.data, message.ended, message.trailers)
            case CallCredit():
                self._credited(message.octets)
            case CallNotRun():
                self._note_load(message.load)
                self._note_round_trip(message.reason)
                self._end(
                    NotRun(
                        message.status,
                        message.reason,
                        message.retry_after_milliseconds,
                        message.retryable,
                        message.offered,
                    )
                )
            case CallUnknown():
                self._end(Unknown(message.status, message.reason))
            case _:
                pass

    def stream_lost(self, reason: str) -> None:
        """Fail the attempt: the link is lost, and the call may have run if it was sent."""
        del reason
        if self._started:
            self._end(Unknown(STATUS_BAD_GATEWAY, "owner-link-lost"))
        else:
            self._end(unreachable("owner-unreachable"))

    # --- internal

    def _note_load(self, load: OwnerLoad | None) -> None:
        if load is not None:
            self._links.load_reported(self._address, load, self._request.route)

    def _note_round_trip(self, reason: str) -> None:
        """Record the round-trip time of a probe that the owner refused.

        An owner refuses a probe for a free slot at once: it adds no delay of its own.
        """
        if reason in PROBE_NEXT_REASONS and not self._request.may_wait:
            TRAFFIC.note_round_trip(asyncio.get_running_loop().time() - self._sent_at)

    def _send_start(self, data: bytes) -> None:
        request = self._request
        head = request.head
        self._end_sent = self._is_body_drained
        now = asyncio.get_running_loop().time()
        self._sent_at = now
        length = NO_LENGTH if head.content_length is None else head.content_length
        assert self._link is not None
        self._started = self._link.send(
            CallStarted(
                stream=self._stream,
                method=head.method,
                target=head.target,
                headers=request.headers,
                content_length=length,
                call_class=request.call_class,
                repeatable=request.repeatable,
                cancellable=request.cancellable,
                deadline_milliseconds=remaining_milliseconds(now, request.deadline),
                data=data,
                ended=self._end_sent,
                trailers=self._trailers,
                service=request.service,
                priority=request.priority,
                may_wait=request.may_wait,
                patience_milliseconds=_wait_milliseconds(now, request.start_by),
                is_client_retry=request.is_client_retry,
                route=request.route,
                body_on_credit=request.body_on_credit,
                identity=request.fingerprint.identity,
                takes_room=request.takes_room,
                tenant=request.tenant,
                answer_is_large=request.answer_is_large,
                due_milliseconds=_due_milliseconds(now, request),
                answer_window=request.answer_window,
                known_need=request.known_need,
                left=request.left,
                send_kind=request.send_kind,
            )
        )
        if self._started:
            self._links.call_sent(self._address)
        else:
            self._end(unreachable("owner-unreachable"))

    def _send_more(self) -> None:
        data = self._take_sendable_data()
        if not data and (not self._is_body_drained or self._end_sent):
            return
        self._end_sent = self._is_body_drained
        assert self._link is not None
        self._link.send(CallBody(self._stream, data, self._end_sent, self._trailers))

    @property
    def _is_body_drained(self) -> bool:
        """Whether the body has ended and none of it is queued here."""
        return self._ended and not self._data

    def _take_sendable_data(self) -> bytes:
        """Remove and return the queued bytes that may be sent now, within the credit.

        The owner grants as much credit as its link carries in 0.03 s. When complete bodies
        were sent at once, configuration updates and heartbeats of nodes that receive large
        bodies were delayed by 0.4 to 0.9 s.
        """
        queued = b"".join(self._data)
        data = queued[: self._sending.room]
        rest = queued[len(data) :]
        self._data = [rest] if rest else []
        self._sending.sent(len(data))
        return data

    def _forward_answer(self, message: CallAnswered) -> None:
        if fields_unsafe(message.headers):
            self._refuse_answer()
            return
        length = None if message.content_length == NO_LENGTH else message.content_length
        self._sink.answer_head(
            AnswerHead(
                message.status,
                message.reason,
                message.headers,
                length,
                message.has_body,
                message.has_failed_call,
            )
        )
        self._forward_body(message.data, message.ended, message.trailers)

    def _refuse_answer(self) -> None:
        """Fail the attempt: the owner sent header or trailer fields that HTTP forbids."""
        if self._link is not None:
            self._link.send(CallCancelled(self._stream))
        self._end(Unknown(STATUS_BAD_GATEWAY, "malformed-answer"))

    def _forward_body(self, data: bytes, ended: bool, trailers: HeaderList) -> None:
        if data and not self._over:
            self._sink.answer_data(data)
            self._credit(self._receiving.taken(len(data)))
        if self._over:
            return
        if not ended:
            self._sink.answer_batch_ended()
            return
        if trailers and fields_unsafe(trailers):
            self._refuse_answer()
            return
        self._close_stream()
        self._sink.answer_ended(trailers)

    def _credit(self, octets: int) -> None:
        if octets and self._link is not None and not self._over:
            self._link.send(CallCredit(self._stream, octets))

    def _credited(self, octets: int) -> None:
        if not self._sending.credited(octets):
            return
        self.flush()
        if self._paused and self._sending.open:
            self._paused = False
            self._sink.sending_resumed()

    def _end(self, failed: Failed) -> None:
        if self._over:
            return
        if self._settling:
            failed = _at_deadline(failed)
        self._close_stream()
        self._sink.attempt_failed(failed)

    def _close_stream(self) -> None:
        self._over = True
        if self._link is not None:
            self._link.forget(self._stream)


def _wait_milliseconds(now: float, start_by: float) -> int:
    if start_by == math.inf:
        return UNBOUNDED_PATIENCE
    return max(0, int((start_by - now) * MILLISECONDS))


def _due_milliseconds(now: float, request: AttemptRequest) -> int:
    return remaining_milliseconds(now, request.due) if request.answer_is_large else 0


def _at_deadline(failed: Failed) -> Failed:
    """Return the owner's result (not run or unknown) with the deadline as the reason."""
    if isinstance(failed, NotRun):
        return out_of_time()
    return Unknown(STATUS_GATEWAY_TIMEOUT, "deadline-passed")
