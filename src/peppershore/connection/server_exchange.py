"""One request of a caller and its answer, on a connection that may carry several."""

from __future__ import annotations

from typing import Protocol

import h11

from peppershore.connection.http_head import (
    AnswerHead,
    HeaderList,
    answer_event,
    end_event,
)

HTTP_1_1 = b"1.1"


class RequestSink(Protocol):
    """Receiver of what follows a request's head.

    The part of the body that was already received is delivered before ``start``, so that
    a small request can be sent to the back end with one write.
    """

    def start(self) -> None:
        """Start the call."""

    def body_received(self, data: bytes) -> None:
        """Handle a chunk of the request's body."""

    def body_ended(self, trailers: HeaderList) -> None:
        """Handle the end of a complete request."""

    def caller_gone(self) -> None:
        """Stop the call: the caller disconnected or its request is malformed.

        No answer can be sent.
        """

    def writing_paused(self) -> None:
        """Stop sending answer bytes for now: earlier ones are not yet written."""

    def writing_resumed(self) -> None:
        """Continue sending answer bytes: the earlier ones are written."""


class ExchangeOwner(Protocol):
    """Operations that an exchange needs of its connection."""

    def has_output(self, exchange: ServerExchange) -> None:
        """Write the queued bytes of an exchange, or hold it back if they have to wait."""

    def answered(self, exchange: ServerExchange) -> None:
        """Finish an exchange whose answer is complete."""

    def abort_connection(self) -> None:
        """Abort the connection."""

    def must_close_after(self, exchange: ServerExchange) -> bool:
        """Report whether the connection must close after this answer."""

    def pause_body(self, exchange: ServerExchange) -> None:
        """Pause reading this request's body."""

    def resume_body(self, exchange: ServerExchange) -> None:
        """Resume reading this request's body."""


class ServerExchange:
    """One request and its answer; writes after its end are ignored.

    The bytes of the answer are queued here until all earlier answers are written.
    """

    __slots__ = (
        "_owner",
        "ended",
        "ends_with_connection",
        "head_sent",
        "http",
        "is_held",
        "is_repeatable",
        "output",
        "sink",
    )

    def __init__(self, owner: ExchangeOwner, http: h11.Connection) -> None:
        """Use ``http``, which has parsed the request's head, to frame the answer."""
        self._owner: ExchangeOwner | None = owner
        self.http = http
        self.sink: RequestSink | None = None
        self.head_sent = False
        self.ended = False
        self.ends_with_connection = False
        """Whether only the close of the connection marks the end of the answer."""
        self.is_repeatable = False
        self.is_held = False
        """Whether the sink was asked to stop sending for now."""
        self.output: list[bytes | bytearray] = []

    @property
    def live(self) -> bool:
        """Whether an answer can still be sent to the caller."""
        return self._owner is not None

    @property
    def request_complete(self) -> bool:
        """Whether the complete request was read."""
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def can_continue(self) -> bool:
        """Whether the connection can carry another request after this answer."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def send_continue(self) -> None:
        """Send "100 Continue" if the caller waits for it before sending its body."""
        if self._owner is not None and self.http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._queue(self.http.send(response))
            self._owner.has_output(self)

    def send_head(self, head: AnswerHead) -> None:
        """Queue the head of the answer."""
        owner = self._owner
        if owner is None:
            return
        self.head_sent = True
        headers = head.headers.copy()
        if head.content_length is not None:
            headers.append((b"content-length", b"%d" % head.content_length))
        elif head.has_body:
            self.ends_with_connection = self._is_http_1_0
            headers.append((b"transfer-encoding", b"chunked"))
        if not self.request_complete or owner.must_close_after(self):
            headers.append((b"connection", b"close"))
        self._send(answer_event(head, headers))

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the answer's body."""
        if self._owner is not None:
            self._send(h11.Data(data=data))

    def flush(self) -> None:
        """Write the queued bytes if this answer is next in order."""
        if self._owner is not None:
            self._owner.has_output(self)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the end of the answer, which completes the exchange."""
        owner = self._owner
        if owner is None:
            return
        if self._is_http_1_0:
            trailers = []
        if self._send(end_event(trailers)):
            self._owner = None
            self.ended = True
            owner.answered(self)

    def abort(self) -> None:
        """Abort the connection, so that the caller sees that the answer is incomplete."""
        owner = self._owner
        if owner is not None:
            owner.abort_connection()

    def pause_body(self) -> None:
        """Pause reading the request's body."""
        if self._owner is not None:
            self._owner.pause_body(self)

    def resume_body(self) -> None:
        """Resume reading the request's body."""
        if self._owner is not None:
            self._owner.resume_body(self)

    def merge_output(self) -> int:
        """Merge the queued pieces of the answer into one, and return its bytes.

        Many small pieces would take several times the memory of their bytes.
        """
        if not self.output:
            return 0
        merged = self.output[0]
        if not isinstance(merged, bytearray):
            merged = bytearray(merged)
        for piece in self.output[1:]:
            merged += piece
        self.output = [merged]
        return len(merged)

    def hold_back(self, *, hold: bool) -> None:
        """Ask the sink to stop sending, or to continue, unless it was asked already."""
        if hold == self.is_held or self.sink is None:
            return
        self.is_held = hold
        if hold:
            self.sink.writing_paused()
        else:
            self.sink.writing_resumed()

    def detach(self) -> RequestSink | None:
        """Detach from a closed connection; return the sink to notify, or None."""
        sink = self.sink
        self._owner = None
        self.sink = None
        return None if self.ended else sink

    @property
    def _is_http_1_0(self) -> bool:
        return (self.http.their_http_version or b"") < HTTP_1_1

    def _send(self, event: h11.Event) -> bool:
        """Queue a part of the answer; abort if it can't be sent as HTTP."""
        try:
            self._queue(self.http.send(event))
        except h11.LocalProtocolError:
            self.abort()
            return False
        return True

    def _queue(self, data: bytes | None) -> None:
        if data:
            self.output.append(data)
