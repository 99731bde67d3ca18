"""HTTP/1.1 towards callers: one accepted connection, on h11.

A connection carries one exchange at a time; requests that are pipelined wait
unread until the answer before them is whole, so answers keep their order.
No task is made for a call: everything runs in the protocol's callbacks.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

import h11
from returns.result import Failure

from peppershore.connection.http_head import (
    MAX_HEAD_BYTES,
    STATUS_BAD_REQUEST,
    AnswerHead,
    HeaderList,
    HeadProblem,
    RequestHead,
    answer_event,
    check_request_head,
    end_event,
    end_to_end_headers,
    received_headers,
)

MAX_PIPELINED_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 256 * 1024
IDLE_SECONDS = 75.0
LINGER_SECONDS = 1.0
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


class ServerOwner(Protocol):
    """Who listens: gets every request and hears of refused ones."""

    draining: bool

    def request_received(self, exchange: ServerExchange, head: RequestHead) -> RequestSink:
        """Make a call; its body and its start follow on the sink."""

    def request_refused(self, problem: HeadProblem) -> bytes:
        """Count a malformed request; give the refusal's body."""

    def connection_opened(self, connection: ServerConnection) -> None:
        """Remember a connection."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection."""


class ServerExchange:
    """One request and its answer; writes after its end go nowhere."""

    __slots__ = ("_connection", "head_sent")

    def __init__(self, connection: ServerConnection) -> None:
        """Bind to a connection until the answer is whole or given up."""
        self._connection: ServerConnection | None = connection
        self.head_sent = False

    @property
    def live(self) -> bool:
        """Whether an answer can still reach the caller."""
        return self._connection is not None

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send its body."""
        if self._connection is not None:
            self._connection.send_continue()

    def send_head(self, head: AnswerHead) -> None:
        """Begin the answer."""
        if self._connection is not None:
            self.head_sent = True
            self._connection.send_head(head)

    def send_data(self, data: bytes) -> None:
        """Give a piece of the answer's body."""
        if self._connection is not None:
            self._connection.send_data(data)

    def flush(self) -> None:
        """Write what was given so far."""
        if self._connection is not None:
            self._connection.flush()

    def send_end(self, trailers: HeaderList) -> None:
        """The answer is whole."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.send_end(trailers)

    def abort(self) -> None:
        """Cut the connection, so that the caller sees the answer is not whole."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.abort()

    def pause_body(self) -> None:
        """Stop reading the request's body."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_body(self) -> None:
        """Go on reading the request's body."""
        if self._connection is not None:
            self._connection.resume_reading()

    def detach(self) -> None:
        """The connection is gone."""
        self._connection = None


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, owner: ServerOwner) -> None:
        """Hand requests to ``owner``."""
        self._owner = owner
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._exchange: ServerExchange | None = None
        self._sink: RequestSink | None = None
        self._peer_address = ""
        self._pipelined_bytes = 0
        self._reading_paused = False
        self._discarding = False
        self._out: list[bytes] = []
        self._idle_since = 0.0
        self._working = False

    # --- transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        peer = transport.get_extra_info("peername")
        self._peer_address = str(peer[0]) if peer else ""
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._idle_since = asyncio.get_running_loop().time()
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Take received bytes through h11."""
        if self._discarding:
            return
        self._http.receive_data(data)
        if self._exchange is not None and self._http.their_state is h11.DONE:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                self.pause_reading()
            return
        self._process()

    def eof_received(self) -> bool:
        """Treat a caller that closed its side as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the call in flight that its caller is gone."""
        del exc
        self._transport = None
        self._give_up_exchange()
        self._owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Pass the caller's slowness on."""
        if self._sink is not None:
            self._sink.writing_paused()

    def resume_writing(self) -> None:
        """The caller reads again."""
        if self._sink is not None:
            self._sink.writing_resumed()

    # --- used by the exchange

    def send_continue(self) -> None:
        """Send 100 Continue if the caller waits for it."""
        if self._http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(response))
            self.flush()

    def send_head(self, head: AnswerHead) -> None:
        """Queue the answer's head."""
        headers = head.headers.copy()
        if head.content_length is not None:
            headers.append((b"content-length", b"%d" % head.content_length))
        elif head.has_body:
            headers.append((b"transfer-encoding", b"chunked"))
        request_unread = self._http.their_state is not h11.DONE
        if request_unread or self._owner.draining:
            headers.append((b"connection", b"close"))
        try:
            self._write(self._http.send(answer_event(head, headers)))
        except h11.LocalProtocolError:
            self._break_off()

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the answer's body."""
        try:
            self._write(self._http.send(h11.Data(data=data)))
        except h11.LocalProtocolError:
            self._break_off()

    def send_end(self, trailers: HeaderList) -> None:
        """End the answer and go on to the next request, or close."""
        if (self._http.their_http_version or b"") < HTTP_1_1:
            trailers = []
        try:
            self._write(self._http.send(end_event(trailers)))
        except h11.LocalProtocolError:
            self._break_off()
            return
        self.flush()
        self._exchange = None
        self._sink = None
        self._finish_cycle()

    def _break_off(self) -> None:
        """An answer that can't be sent as HTTP: let the caller see that it broke."""
        self._out.clear()
        if self._transport is not None:
            self._transport.abort()

    def abort(self) -> None:
        """Drop the connection at once."""
        self._exchange = None
        self._sink = None
        if self._transport is not None:
            self._transport.abort()

    def flush(self) -> None:
        """Write what is queued, in one piece."""
        out = self._out
        if not out:
            return
        self._out = []
        if self._transport is not None:
            self._transport.write(out[0] if len(out) == 1 else b"".join(out))

    def pause_reading(self) -> None:
        """Stop reading from the caller."""
        if self._transport is not None and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on reading from the caller."""
        if self._transport is not None and self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()

    # --- used by the listener

    @property
    def busy(self) -> bool:
        """Whether a call is in flight or a request has begun to come in."""
        return self._exchange is not None or bool(self._http.trailing_data[0])

    def idle_seconds(self, now: float) -> float:
        """Seconds without a call."""
        return 0.0 if self.busy else now - self._idle_since

    def close(self) -> None:
        """Close in order: what is queued goes out."""
        if self._transport is not None:
            self._transport.close()

    # --- inside

    def _process(self) -> None:
        self._working = True
        try:
            while self._process_one():
                pass
        finally:
            self._working = False
        self.flush()

    def _process_one(self) -> bool:
        """Handle one h11 event; false when there is nothing more to do now."""
        if self._discarding or self._transport is None:
            return False
        if self._http.their_state is h11.IDLE and not self._head_ready():
            return False
        try:
            return self._take_event(self._http.next_event())
        except h11.RemoteProtocolError as problem:
            self._refuse(HeadProblem(problem.error_status_hint, "malformed-request"))
            return False

    def _head_ready(self) -> bool:
        received = self._http.trailing_data[0]
        if not received:
            return False
        checked = check_request_head(received)
        if isinstance(checked, Failure):
            self._refuse(checked.failure())
            return False
        return checked.unwrap()

    def _take_event(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            self._begin(event)
            return self._http.their_state is not h11.DONE
        if isinstance(event, h11.Data):
            if self._sink is not None:
                self._sink.body_received(event.data)
            return True
        if isinstance(event, h11.EndOfMessage):
            if self._sink is not None:
                self._sink.body_ended(received_headers(event.headers))
            return False
        return False

    def _begin(self, event: h11.Request) -> None:
        """Start a call, with as much of its body as is already here."""
        head = self._request_head(event)
        pieces, end = self._body_at_hand()
        exchange = ServerExchange(self)
        self._exchange = exchange
        self._pipelined_bytes = 0
        sink = self._owner.request_received(exchange, head)
        self._sink = sink
        for piece in pieces:
            sink.body_received(piece)
        if end is not None:
            sink.body_ended(received_headers(end.headers))
        sink.start()

    def _body_at_hand(self) -> tuple[list[bytes], h11.EndOfMessage | None]:
        pieces: list[bytes] = []
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Data):
                pieces.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return pieces, event
            else:
                return pieces, None

    def _request_head(self, event: h11.Request) -> RequestHead:
        headers = received_headers(event.headers)
        content_length: int | None = 0
        declares_length = False
        for name, value in headers:
            if name == b"content-length":
                content_length = int(value)
                declares_length = True
            elif name == b"transfer-encoding":
                content_length = None
        return RequestHead(
            method=event.method,
            target=event.target,
            headers=end_to_end_headers(headers),
            content_length=content_length,
            declares_length=declares_length,
            peer_address=self._peer_address,
            expects_continue=self._http.they_are_waiting_for_100_continue,
        )

    def _finish_cycle(self) -> None:
        if self._transport is None:
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._idle_since = asyncio.get_running_loop().time()
            self.resume_reading()
            if not self._working and self._http.trailing_data[0]:
                asyncio.get_running_loop().call_soon(self._process)
            return
        if self._http.their_state in (h11.SEND_BODY, h11.ERROR):
            self._linger()
            return
        self._transport.close()

    def _linger(self) -> None:
        """Let the caller read the answer before the unread request resets it."""
        self._discarding = True
        transport = self._transport
        if transport is None:
            return
        self.resume_reading()
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.close)

    def _refuse(self, problem: HeadProblem) -> None:
        """Answer a malformed request and close; what was begun is given up."""
        exchange = self._exchange
        self._give_up_exchange()
        answering = exchange is not None and exchange.head_sent
        outcome = b"not-run" if exchange is None else b"unknown"
        if answering or self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        body = self._owner.request_refused(problem)
        headers = [
            (b"content-length", b"%d" % len(body)),
            (b"content-type", b"text/plain"),
            (b"peppershore-outcome", outcome),
            (b"connection", b"close"),
        ]
        status = problem.status or STATUS_BAD_REQUEST
        self._write(self._http.send(h11.Response(status_code=status, headers=headers)))
        self._write(self._http.send(h11.Data(data=body)))
        self._write(self._http.send(h11.EndOfMessage()))
        self.flush()
        self._linger()

    def _give_up_exchange(self) -> None:
        exchange = self._exchange
        sink = self._sink
        self._exchange = None
        self._sink = None
        if exchange is not None:
            exchange.detach()
        if sink is not None:
            sink.caller_gone()

    def _write(self, data: bytes) -> None:
        if data:
            self._out.append(data)
