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
    """Takes what follows a request's head.

    What is at hand of the body comes before ``start``, so that a small request
    leaves in one piece.
    """

    def start(self) -> None:
        """Begin the call."""

    def body_received(self, data: bytes) -> None:
        """Take a piece of the request's body."""

    def body_ended(self, trailers: HeaderList) -> None:
        """The request is whole."""

    def caller_gone(self) -> None:
        """The caller left, or broke its request; nothing can be answered."""

    def writing_paused(self) -> None:
        """The caller reads slowly: give no more answer bytes for now."""

    def writing_resumed(self) -> None:
        """The caller caught up."""


class ExchangeOwner(Protocol):
    """The connection of an exchange, as the exchange needs it."""

    def has_output(self, exchange: ServerExchange) -> None:
        """Write what is queued, if it is this exchange's turn."""

    def answered(self, exchange: ServerExchange) -> None:
        """The answer is whole."""

    def broken_off(self) -> None:
        """Cut the connection."""

    def must_close_after(self, exchange: ServerExchange) -> bool:
        """Whether the caller should send nothing more behind this answer."""

    def pause_body(self, exchange: ServerExchange) -> None:
        """Read no more of this request's body for now."""

    def resume_body(self, exchange: ServerExchange) -> None:
        """Go on reading this request's body."""


class ServerExchange:
    """One request and its answer; writes after its end go nowhere.

    The answer's bytes are queued here until those before it are written.
    """

    __slots__ = (
        "_owner",
        "ended",
        "head_sent",
        "http",
        "is_repeatable",
        "output",
        "sink",
    )

    def __init__(self, owner: ExchangeOwner, http: h11.Connection) -> None:
        """``http`` has parsed the request's head, and frames the answer."""
        self._owner: ExchangeOwner | None = owner
        self.http = http
        self.sink: RequestSink | None = None
        self.head_sent = False
        self.ended = False
        self.is_repeatable = False
        self.output: list[bytes] = []

    @property
    def live(self) -> bool:
        """Whether an answer can still reach the caller."""
        return self._owner is not None

    @property
    def request_whole(self) -> bool:
        """Whether all of the request was read."""
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def may_be_followed(self) -> bool:
        """Whether the connection can carry another request after this answer."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send its body."""
        if self._owner is not None and self.http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._queue(self.http.send(response))
            self._owner.has_output(self)

    def send_head(self, head: AnswerHead) -> None:
        """Begin the answer."""
        owner = self._owner
        if owner is None:
            return
        self.head_sent = True
        headers = head.headers.copy()
        if head.content_length is not None:
            headers.append((b"content-length", b"%d" % head.content_length))
        elif head.has_body:
            headers.append((b"transfer-encoding", b"chunked"))
        if not self.request_whole or owner.must_close_after(self):
            headers.append((b"connection", b"close"))
        self._send(answer_event(head, headers))

    def send_data(self, data: bytes) -> None:
        """Give a piece of the answer's body."""
        if self._owner is not None:
            self._send(h11.Data(data=data))

    def flush(self) -> None:
        """Write what was given so far, if it is this answer's turn."""
        if self._owner is not None:
            self._owner.has_output(self)

    def send_end(self, trailers: HeaderList) -> None:
        """The answer is whole."""
        owner = self._owner
        if owner is None:
            return
        if (self.http.their_http_version or b"") < HTTP_1_1:
            trailers = []
        if self._send(end_event(trailers)):
            self._owner = None
            self.ended = True
            owner.answered(self)

    def abort(self) -> None:
        """Cut the connection, so that the caller sees the answer is not whole."""
        owner = self._owner
        if owner is not None:
            owner.broken_off()

    def pause_body(self) -> None:
        """Stop reading the request's body."""
        if self._owner is not None:
            self._owner.pause_body(self)

    def resume_body(self) -> None:
        """Go on reading the request's body."""
        if self._owner is not None:
            self._owner.resume_body(self)

    def detach(self) -> RequestSink | None:
        """The connection is gone; give who has to hear of it."""
        sink = self.sink
        self._owner = None
        self.sink = None
        return None if self.ended else sink

    def _send(self, event: h11.Event) -> bool:
        """Queue a part of the answer; one that can't be sent as HTTP breaks it off."""
        try:
            self._queue(self.http.send(event))
        except h11.LocalProtocolError:
            self.abort()
            return False
        return True

    def _queue(self, data: bytes | None) -> None:
        if data:
            self.output.append(data)
