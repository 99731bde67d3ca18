"""HTTP/1.1 towards callers: one accepted connection, on h11.

Requests that a caller sends before the first is answered are begun at once, as long
as all of them may be repeated; answers keep the order of the requests.  Any other
request waits until the answers before it are whole: a caller sends again what stands
behind an answer that closes the connection.
No task is made for a call: everything runs in the protocol's callbacks.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import Protocol

import h11
from returns.result import Failure

from peppershore.connection.http_head import (
    MAX_HEAD_BYTES,
    STATUS_BAD_REQUEST,
    HeadProblem,
    RequestHead,
    check_request_head,
    end_to_end_headers,
    received_headers,
)
from peppershore.connection.server_exchange import RequestSink, ServerExchange
from peppershore.connection.traffic import CALLERS, TRAFFIC

__all__ = ["RequestSink", "ServerConnection", "ServerExchange", "ServerOwner"]

MAX_PIPELINED_BYTES = 64 * 1024
MAX_AT_ONCE = 16
"""Requests of one connection under way at once."""

WRITE_HIGH_WATER_BYTES = 256 * 1024
IDLE_SECONDS = 75.0
LINGER_SECONDS = 1.0


class ServerOwner(Protocol):
    """Who listens: gets every request and hears of refused ones."""

    draining: bool

    def request_received(self, exchange: ServerExchange, head: RequestHead) -> RequestSink:
        """Make a call; its body and its start follow on the sink."""

    def is_safe_to_retry(self, head: RequestHead) -> bool:
        """Whether a request may be begun before those in front of it are answered."""

    def request_refused(self, problem: HeadProblem) -> bytes:
        """Count a malformed request; give the refusal's body."""

    def connection_opened(self, connection: ServerConnection) -> None:
        """Remember a connection."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection."""


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    ``_exchanges`` are the requests without whole answer, in their order; ``_current``
    is the one whose body is still being read, ``_held`` the bytes behind it.
    """

    def __init__(self, owner: ServerOwner) -> None:
        """Hand requests to ``owner``."""
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[ServerExchange] = deque()
        self._current: ServerExchange | None = None
        self._held = b""
        self._peer_address = ""
        self._body_paused = False
        self._ahead_paused = False
        self._discarding = False
        self._working = False
        self._idle_since = 0.0

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
        """Take received bytes: of a body, or of requests to come."""
        if data:
            TRAFFIC.note_received(CALLERS, len(data))
        if self._discarding:
            return
        self._working = True
        if self._current is not None:
            self._current.http.receive_data(data)
            self._read_body(self._current)
        else:
            self._held += data
        self._begin_requests()
        self._working = False
        self._write_answers()

    def eof_received(self) -> bool:
        """Treat a caller that closed its side as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the calls in flight that their caller is gone."""
        del exc
        self._transport = None
        self._give_up_exchanges()
        self._owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Pass the caller's slowness on."""
        if self._exchanges and self._exchanges[0].sink is not None:
            self._exchanges[0].sink.writing_paused()

    def resume_writing(self) -> None:
        """The caller reads again."""
        if self._exchanges and self._exchanges[0].sink is not None:
            self._exchanges[0].sink.writing_resumed()

    # --- used by exchanges

    def has_output(self, exchange: ServerExchange) -> None:
        """Write what is queued, if it is this exchange's turn."""
        if self._exchanges and self._exchanges[0] is exchange:
            self._write_answers()

    def answered(self, exchange: ServerExchange) -> None:
        """An answer is whole."""
        exchange.sink = None
        self._write_answers()

    def must_close_after(self, exchange: ServerExchange) -> bool:
        """Whether this is the last request of a connection that is to end."""
        if not self._owner.draining:
            return False
        return self._exchanges[-1] is exchange and not self._held

    def broken_off(self) -> None:
        """Cut the connection: the caller sees that an answer is not whole."""
        transport = self._transport
        self._discarding = True
        if transport is not None:
            transport.abort()

    def pause_body(self, exchange: ServerExchange) -> None:
        """Read no more of a body for now."""
        if exchange is self._current:
            self._body_paused = True
            self._apply_pauses()

    def resume_body(self, exchange: ServerExchange) -> None:
        """Go on reading a body."""
        if exchange is self._current or self._current is None:
            self._body_paused = False
            self._apply_pauses()

    # --- used by the listener

    @property
    def busy(self) -> bool:
        """Whether a call is in flight or a request has begun to come in."""
        return bool(self._exchanges) or bool(self._held)

    def idle_seconds(self, now: float) -> float:
        """Seconds without a call."""
        return 0.0 if self.busy else now - self._idle_since

    def close(self) -> None:
        """Close in order: what is queued goes out."""
        if self._transport is not None:
            self._transport.close()

    # --- requests

    def _begin_requests(self) -> None:
        while self._held and self._may_begin() and self._begin_request():
            pass
        self._ahead_paused = len(self._held) > MAX_PIPELINED_BYTES
        self._apply_pauses()

    def _may_begin(self) -> bool:
        if self._discarding or self._transport is None or self._current is not None:
            return False
        if not self._exchanges:
            return True
        last = self._exchanges[-1]
        if last.http.their_state is not h11.DONE or len(self._exchanges) >= MAX_AT_ONCE:
            return False
        return all(exchange.is_repeatable for exchange in self._exchanges)

    def _begin_request(self) -> bool:
        """Begin the next request; false if it is not whole enough or has to wait."""
        checked = check_request_head(self._held)
        if isinstance(checked, Failure):
            self._refuse(checked.failure())
            return False
        if not checked.unwrap():
            return False
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        http.receive_data(self._held)
        try:
            event = http.next_event()
        except h11.RemoteProtocolError as problem:
            self._refuse(HeadProblem(problem.error_status_hint, "malformed-request"))
            return False
        if not isinstance(event, h11.Request):
            return False
        head = self._request_head(event, http)
        is_repeatable = self._owner.is_safe_to_retry(head)
        if self._exchanges and not is_repeatable:
            return False
        self._held = b""
        self._begin(ServerExchange(self, http), head, is_repeatable)
        return True

    def _begin(
        self, exchange: ServerExchange, head: RequestHead, is_repeatable: bool
    ) -> None:
        """Start a call, with as much of its body as is already here."""
        exchange.is_repeatable = is_repeatable
        self._exchanges.append(exchange)
        self._current = exchange
        self._body_paused = False
        exchange.sink = self._owner.request_received(exchange, head)
        self._read_body(exchange)
        if exchange.sink is not None:
            exchange.sink.start()

    def _read_body(self, exchange: ServerExchange) -> None:
        """Hand on what is at hand of a request's body, up to its end."""
        while self._current is exchange:
            try:
                event = exchange.http.next_event()
            except h11.RemoteProtocolError as problem:
                self._refuse(HeadProblem(problem.error_status_hint, "malformed-request"))
                return
            if isinstance(event, h11.Data):
                if exchange.sink is not None:
                    exchange.sink.body_received(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._request_ended(exchange, event)
            else:
                return

    def _request_ended(self, exchange: ServerExchange, event: h11.EndOfMessage) -> None:
        self._current = None
        self._body_paused = False
        self._held = bytes(exchange.http.trailing_data[0])
        if exchange.sink is not None:
            exchange.sink.body_ended(received_headers(event.headers))

    def _request_head(self, event: h11.Request, http: h11.Connection) -> RequestHead:
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
            expects_continue=http.they_are_waiting_for_100_continue,
        )

    # --- answers

    def _write_answers(self) -> None:
        """Write the answers whose turn it is; go on to the next requests, or close."""
        if self._working or self._transport is None:
            return
        out: list[bytes] = []
        last: ServerExchange | None = None
        while self._exchanges:
            exchange = self._exchanges[0]
            out += exchange.output
            exchange.output.clear()
            if not exchange.ended:
                break
            last = self._exchanges.popleft()
            if not last.may_be_followed:
                break
        if out:
            data = out[0] if len(out) == 1 else b"".join(out)
            TRAFFIC.note_sent(CALLERS, len(data))
            self._transport.write(data)
        if last is not None:
            self._after(last)

    def _after(self, exchange: ServerExchange) -> None:
        """An answer is written: the connection goes on, or ends with it."""
        if not exchange.may_be_followed:
            self._close_after(exchange)
            return
        if not self._exchanges:
            self._idle_since = asyncio.get_running_loop().time()
        if self._held:
            asyncio.get_running_loop().call_soon(self._go_on)

    def _go_on(self) -> None:
        if self._transport is not None and not self._discarding:
            self.data_received(b"")

    def _close_after(self, exchange: ServerExchange) -> None:
        """Close; requests behind this answer are not answered: callers send them again."""
        self._give_up_exchanges()
        if exchange.http.their_state in (h11.SEND_BODY, h11.ERROR):
            self._linger()
        elif self._transport is not None:
            self._transport.close()

    def _linger(self) -> None:
        """Let the caller read the answer before the unread request resets it."""
        self._discarding = True
        transport = self._transport
        if transport is None:
            return
        self._body_paused = False
        self._ahead_paused = False
        self._apply_pauses()
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.close)

    def _refuse(self, problem: HeadProblem) -> None:
        """Answer a malformed request and close; what was begun of it is given up.

        Behind requests without answer it waits until those are answered.
        """
        current = self._current
        if self._exchanges and current is None:
            return
        if current is not None and (len(self._exchanges) > 1 or current.head_sent):
            self.broken_off()
            return
        outcome = b"not-run" if current is None else b"unknown"
        self._give_up_exchanges()
        http = h11.Connection(h11.SERVER)
        body = self._owner.request_refused(problem)
        headers = [
            (b"content-length", b"%d" % len(body)),
            (b"content-type", b"text/plain"),
            (b"peppershore-outcome", outcome),
            (b"connection", b"close"),
        ]
        status = problem.status or STATUS_BAD_REQUEST
        answer = http.send(h11.Response(status_code=status, headers=headers)) or b""
        answer += http.send(h11.Data(data=body)) or b""
        answer += http.send(h11.EndOfMessage()) or b""
        if self._transport is not None:
            self._transport.write(answer)
        self._held = b""
        self._linger()

    def _give_up_exchanges(self) -> None:
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        self._current = None
        for exchange in exchanges:
            sink = exchange.detach()
            if sink is not None:
                sink.caller_gone()

    def _apply_pauses(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._body_paused or self._ahead_paused:
            transport.pause_reading()
        else:
            transport.resume_reading()
