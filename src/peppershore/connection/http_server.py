"""HTTP/1.1 server for callers: one accepted connection, on h11.

Pipelined requests are started concurrently as long as all of them are safe to retry;
answers are sent in the order of the requests. Any other request waits until the answers
before it are complete, because a caller retries the requests that follow an answer which
closes the connection.
No asyncio task is created for a call: everything runs in the protocol's callbacks.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import deque
from typing import Protocol

import h11
from returns.result import Failure

from peppershore.connection.http_head import (
    STATUS_BAD_REQUEST,
    HeadProblem,
    RequestHead,
    check_request_head,
    end_to_end_headers,
    received_headers,
)
from peppershore.connection.server_exchange import RequestSink, ServerExchange
from peppershore.connection.traffic import CALLERS, TRAFFIC
from peppershore.connection.turns import MAX_EVENTS_PER_TURN

__all__ = ["RequestSink", "ServerConnection", "ServerExchange", "ServerOwner"]

MAX_PIPELINED_BYTES = 64 * 1024
MAX_CONCURRENT_REQUESTS = 16
"""Pipelined requests of one connection that may be in progress concurrently."""

WRITE_HIGH_WATER_BYTES = 256 * 1024
MAX_QUEUED_BYTES = 256 * 1024
"""Bytes of an answer that wait for earlier answers before its sink has to pause."""

DEPARTURE_CHECK_SECONDS = 1.0
"""Interval of looking whether the caller has left while reading from it is paused."""

IDLE_SECONDS = 75.0
LINGER_SECONDS = 1.0


class ServerOwner(Protocol):
    """Handler of the requests of all connections, and of malformed requests."""

    draining: bool

    @property
    def max_head_bytes(self) -> int:
        """Longest head of a request, in bytes."""

    def request_received(self, exchange: ServerExchange, head: RequestHead) -> RequestSink:
        """Create a call; return its sink, which receives the rest of the request."""

    def is_safe_to_retry(self, head: RequestHead) -> bool:
        """Report whether a request is safe to retry, so that it may be pipelined."""

    def request_refused(self, problem: HeadProblem) -> bytes:
        """Count a malformed request; return the body of the error answer."""

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a new connection."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Unregister a closed connection."""


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    ``_exchanges`` are the requests whose answer is not complete, in order of receipt.
    ``_current`` is the one whose body is still being read. ``_unparsed`` are the received
    bytes that follow it. With ``_has_backlog``, received parts of the body wait for their
    turn or for the end of its pause.
    """

    def __init__(self, owner: ServerOwner) -> None:
        """Deliver requests to ``owner``, which also learns of the opening and closing."""
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[ServerExchange] = deque()
        self._current: ServerExchange | None = None
        self._unparsed = b""
        self._peer_address = ""
        self._body_paused = False
        self._pipeline_paused = False
        self._has_backlog = False
        self._is_turn_scheduled = False
        self._departure_check: asyncio.TimerHandle | None = None
        self._is_writing_paused = False
        self._discarding = False
        self._is_processing = False
        self._idle_since = 0.0
        self._resets_on_close = False

    # --- transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, set its socket options and register the connection."""
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
        """Handle received bytes of a request's body or of further requests."""
        if data:
            TRAFFIC.note_received(CALLERS, len(data))
        if self._discarding:
            return
        self._is_processing = True
        if self._current is not None:
            self._current.http.receive_data(data)
            if not self._has_backlog:
                self._read_body(self._current)
        else:
            self._unparsed += data
        self._begin_requests()
        self._is_processing = False
        self._write_answers()

    def _resume_requests(self) -> None:
        """Start the requests that waited for an answer, if none was started meanwhile."""
        if self._transport is None or self._discarding:
            return
        self._is_processing = True
        self._begin_requests()
        self._is_processing = False
        self._write_answers()

    def eof_received(self) -> bool:
        """Close the connection: a caller that closes its sending side has disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the calls in progress that their caller has disconnected."""
        del exc
        self._transport = None
        if self._departure_check is not None:
            self._departure_check.cancel()
        self._abort_exchanges()
        self._owner.connection_closed(self)

    def pause_writing(self) -> None:
        """Hold back the answer being written and further requests.

        The caller reads slowly, and each request would add an answer to those it has to
        read.
        """
        self._is_writing_paused = True
        if self._exchanges:
            self._hold_first_answer()

    def resume_writing(self) -> None:
        """Continue with the answer and further requests: the caller reads again."""
        self._is_writing_paused = False
        if self._exchanges:
            self._hold_first_answer()
        if self._unparsed:
            asyncio.get_running_loop().call_soon(self._resume_requests)

    # --- interface for exchanges

    def has_output(self, exchange: ServerExchange) -> None:
        """Write the queued bytes of an exchange, or hold it back if they have to wait."""
        if not self._exchanges:
            return
        if self._exchanges[0] is exchange:
            self._write_answers()
        elif exchange.merge_output() > MAX_QUEUED_BYTES:
            exchange.hold_back(hold=True)

    def answered(self, exchange: ServerExchange) -> None:
        """Finish an exchange whose answer is complete."""
        exchange.sink = None
        self._write_answers()

    def must_close_after(self, exchange: ServerExchange) -> bool:
        """Report whether this request is the last one of a connection being drained."""
        if not self._owner.draining:
            return False
        return self._exchanges[-1] is exchange and not self._unparsed

    def abort_connection(self) -> None:
        """Abort the connection, so that the caller sees that an answer is incomplete."""
        transport = self._transport
        self._discarding = True
        if transport is not None:
            transport.abort()

    def pause_body(self, exchange: ServerExchange) -> None:
        """Pause reading the body of an exchange."""
        if exchange is self._current:
            self._body_paused = True
            self._apply_pauses()

    def resume_body(self, exchange: ServerExchange) -> None:
        """Resume reading the body of an exchange."""
        if exchange is self._current or self._current is None:
            self._body_paused = False
            self._apply_pauses()
            if self._has_backlog:
                self._schedule_backlog()

    # --- interface for the owner of the connections

    @property
    def busy(self) -> bool:
        """Whether a call is in progress or part of a request was received."""
        return bool(self._exchanges) or bool(self._unparsed)

    def idle_seconds(self, now: float) -> float:
        """Return the seconds since the last call, or since opening; 0.0 while busy."""
        return 0.0 if self.busy else now - self._idle_since

    def close(self) -> None:
        """Close the connection gracefully: queued bytes are still sent."""
        if self._transport is not None:
            self._transport.close()

    # --- requests

    def _begin_requests(self) -> None:
        while self._unparsed and self._may_begin() and self._begin_request():
            pass
        most = max(MAX_PIPELINED_BYTES, self._owner.max_head_bytes)
        self._pipeline_paused = len(self._unparsed) > most
        self._apply_pauses()

    def _may_begin(self) -> bool:
        if self._discarding or self._transport is None or self._current is not None:
            return False
        if self._is_writing_paused:
            return False
        if not self._exchanges:
            return True
        last = self._exchanges[-1]
        if (
            last.http.their_state is not h11.DONE
            or len(self._exchanges) >= MAX_CONCURRENT_REQUESTS
        ):
            return False
        return all(exchange.is_repeatable for exchange in self._exchanges)

    def _begin_request(self) -> bool:
        """Start the next request; return false if none could be started.

        That is so if its head is incomplete or malformed, or if it has to wait.
        """
        max_bytes = self._owner.max_head_bytes
        checked = check_request_head(self._unparsed, max_bytes)
        if isinstance(checked, Failure):
            self._refuse(checked.failure())
            return False
        if not checked.unwrap():
            return False
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
        http.receive_data(self._unparsed)
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
        self._unparsed = b""
        self._begin(ServerExchange(self, http), head, is_repeatable)
        return True

    def _begin(
        self, exchange: ServerExchange, head: RequestHead, is_repeatable: bool
    ) -> None:
        """Start a call after delivering the part of its body that was already received."""
        exchange.is_repeatable = is_repeatable
        self._exchanges.append(exchange)
        self._current = exchange
        self._body_paused = False
        exchange.sink = self._owner.request_received(exchange, head)
        self._read_body(exchange)
        if exchange.sink is not None:
            exchange.sink.start()

    def _read_body(self, exchange: ServerExchange) -> None:
        """Deliver the received part of a request's body, up to its end or in turns."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if self._current is not exchange:
                return
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
        if self._current is exchange:
            self._read_body_later()

    def _read_body_later(self) -> None:
        """Let other connections have their turn, and read no more until then."""
        self._has_backlog = True
        self._apply_pauses()
        self._schedule_backlog()

    def _schedule_backlog(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._process_backlog)

    def _process_backlog(self) -> None:
        """Deliver the next part of the body, unless paused, and the requests behind it."""
        self._is_turn_scheduled = False
        if self._body_paused or self._current is None or self._discarding:
            return
        self._has_backlog = False
        self._is_processing = True
        self._read_body(self._current)
        self._begin_requests()
        self._is_processing = False
        self._write_answers()

    def _request_ended(self, exchange: ServerExchange, event: h11.EndOfMessage) -> None:
        self._current = None
        self._body_paused = False
        self._unparsed = bytes(exchange.http.trailing_data[0])
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
        """Write the answers that are next in order, then start more requests or close."""
        if self._is_processing or self._transport is None:
            return
        out: list[bytes | bytearray] = []
        last: ServerExchange | None = None
        while self._exchanges:
            exchange = self._exchanges[0]
            out += exchange.output
            exchange.output.clear()
            self._reset_on_close(exchange.ends_with_connection and not exchange.ended)
            if not exchange.ended:
                break
            last = self._exchanges.popleft()
            if not last.can_continue:
                break
        if out:
            data = out[0] if len(out) == 1 else b"".join(out)
            TRAFFIC.note_sent(CALLERS, len(data))
            self._transport.write(data)
        if self._exchanges:
            self._hold_first_answer()
        if last is not None:
            self._after_answer(last)

    def _reset_on_close(self, is_on: bool) -> None:
        """Let any close reset the connection while an answer lasts that ends with it.

        Otherwise the caller would take an answer that is cut, also by the end of this
        process, for a complete one.
        """
        if is_on == self._resets_on_close or self._transport is None:
            return
        self._resets_on_close = is_on
        raw = self._transport.get_extra_info("socket")
        if raw is not None:
            linger = struct.pack("ii", is_on, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _hold_first_answer(self) -> None:
        """Let the answer that is next in order be sent as fast as the caller reads.

        One that has not begun is left alone: nothing of it can be paused yet.
        """
        first = self._exchanges[0]
        if first.head_sent:
            first.hold_back(hold=self._is_writing_paused)

    def _after_answer(self, exchange: ServerExchange) -> None:
        """After a written answer, continue with further requests or close."""
        if not exchange.can_continue:
            self._close_after(exchange)
            return
        if not self._exchanges:
            self._idle_since = asyncio.get_running_loop().time()
        if self._unparsed:
            asyncio.get_running_loop().call_soon(self._resume_requests)

    def _close_after(self, exchange: ServerExchange) -> None:
        """Close after this answer; callers retry later requests, which stay unanswered."""
        self._abort_exchanges()
        if exchange.http.their_state in (h11.SEND_BODY, h11.ERROR):
            self._linger()
        elif self._transport is not None:
            self._discarding = True
            self._transport.close()

    def _linger(self) -> None:
        """Close the sending side now and the connection after ``LINGER_SECONDS``.

        The rest of the request is read and discarded meanwhile: closing with unread
        bytes would reset the connection, and the caller could lose the answer.
        """
        self._discarding = True
        transport = self._transport
        if transport is None:
            return
        self._body_paused = False
        self._pipeline_paused = False
        self._has_backlog = False
        self._apply_pauses()
        if not _end_sending(transport):
            transport.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.close)

    def _refuse(self, problem: HeadProblem) -> None:
        """Answer a malformed request with an error and close, aborting its call if any.

        While earlier requests are unanswered, a request with a malformed head is left
        alone and parsed again after their answers. If the body of a started request is
        malformed while earlier requests are unanswered, or after the head of its answer
        was sent, the connection is aborted.
        """
        current = self._current
        if self._exchanges and current is None:
            return
        if current is not None and (len(self._exchanges) > 1 or current.head_sent):
            self.abort_connection()
            return
        outcome = b"not-run" if current is None else b"unknown"
        self._abort_exchanges()
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
        self._unparsed = b""
        self._linger()

    def _abort_exchanges(self) -> None:
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
        if self._body_paused or self._pipeline_paused:
            transport.pause_reading()
            self._check_departure_later()
        elif self._has_backlog:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _check_departure_later(self) -> None:
        if self._departure_check is None:
            self._departure_check = asyncio.get_running_loop().call_later(
                DEPARTURE_CHECK_SECONDS, self._check_departure
            )

    def _check_departure(self) -> None:
        """Close the connection if the caller has left since its reading was paused."""
        self._departure_check = None
        transport = self._transport
        if transport is None or not (self._body_paused or self._pipeline_paused):
            return
        if _has_departed(transport):
            self._discarding = True
            transport.close()
        else:
            self._check_departure_later()


def _end_sending(transport: asyncio.Transport) -> bool:
    """Close the sending side if possible; return False if the caller has disconnected.

    A transport whose reading is paused notices that only now.
    """
    try:
        if transport.can_write_eof():
            transport.write_eof()
    except OSError:
        return False
    return True


def _has_departed(transport: asyncio.Transport) -> bool:
    """Report whether the caller closed its sending side or reset the connection.

    That is not known yet while the kernel has no room for all that the caller sent.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
