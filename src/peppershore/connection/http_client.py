"""HTTP/1.1 towards back ends: one connection, on h11, one exchange at a time.

An answer is handed on only as far as it is well-formed; an answer that ends
before its declared length is a failure, and one that declares no length unless the
rules allow it; then a reset is no end.  A whole answer that names another request is passed
over: the one that is waited for may follow it.
"""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections.abc import Callable
from typing import Protocol

import h11

from peppershore.connection.answer_rules import FOREIGN, NO_RULES, AnswerRules
from peppershore.connection.http_head import (
    MAX_HEAD_BYTES,
    AnswerHead,
    HeaderList,
    RequestHead,
    checked_headers,
    end_event,
    end_to_end_headers,
    received_headers,
)
from peppershore.connection.silence import probe_at_rest

WRITE_HIGH_WATER_BYTES = 256 * 1024
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304
HTTP_1_1 = b"1.1"
MAX_FOREIGN_ANSWERS = 3
_KEPT = re.compile(rb"timeout=([0-9]{1,6})")


class AnswerSink(Protocol):
    """Takes what a back end answers to one attempt."""

    def answer_head(self, head: AnswerHead) -> None:
        """The answer begins."""

    def answer_data(self, data: bytes) -> None:
        """A piece of the answer's body."""

    def answer_batch_ended(self) -> None:
        """No more of the answer is at hand for now."""

    def answer_ended(self, trailers: HeaderList) -> None:
        """The answer is whole."""

    def attempt_failed(self, reason: str) -> None:
        """There will be no whole answer; the request's bytes may have been read."""

    def sending_paused(self) -> None:
        """The back end reads slowly: give no more request bytes for now."""

    def sending_resumed(self) -> None:
        """The back end caught up."""


class ClientConnection(asyncio.Protocol):
    """One connection to a back end."""

    def __init__(self, on_idle_lost: Callable[[ClientConnection], None]) -> None:
        """Call ``on_idle_lost`` when the connection ends outside an exchange."""
        self.last_used = 0.0
        self.exchanges = 0
        self._on_idle_lost = on_idle_lost
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._sink: AnswerSink | None = None
        self._on_free: Callable[[ClientConnection], None] | None = None
        self._out: list[bytes] = []
        self._method = b""
        self._rules = NO_RULES
        self._foreign = 0
        self._skipping = False
        self.kept_seconds: float | None = None
        """For how long the back end keeps the connection idle; None if it says nothing."""
        self._poll: select.poll | None = None

    # --- transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            probe_at_rest(raw)
            self._poll = select.poll()
            self._poll.register(raw.fileno(), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Take received bytes through h11."""
        if self._sink is None:
            self.close()
            return
        self._http.receive_data(data)
        self._process()

    def eof_received(self) -> bool:
        """No more answer bytes will come."""
        if self._sink is not None:
            self._http.receive_data(b"")
            self._process()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in flight, or leave the pool."""
        self._transport = None
        if self._sink is not None:
            self._fail(str(exc) if exc else "connection closed")
        else:
            self._on_idle_lost(self)

    def pause_writing(self) -> None:
        """Pass the back end's slowness on."""
        if self._sink is not None:
            self._sink.sending_paused()

    def resume_writing(self) -> None:
        """The back end reads again."""
        if self._sink is not None:
            self._sink.sending_resumed()

    # --- used by the owner

    @property
    def usable(self) -> bool:
        """Whether the connection looks open: no end and no stray bytes waiting."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return self._poll is None or not self._poll.poll(0)

    def begin(
        self,
        head: RequestHead,
        headers: HeaderList,
        sink: AnswerSink,
        on_free: Callable[[ClientConnection], None],
        rules: AnswerRules = NO_RULES,
    ) -> bool:
        """Queue a request's head; ``on_free`` follows when the exchange is over.

        An answer must keep ``rules``.

        False: this can't be sent as HTTP, and nothing was.
        """
        assert self._sink is None, "one exchange at a time"
        try:
            request = h11.Request(
                method=head.method, target=head.target, headers=checked_headers(headers)
            )
            self._out.append(self._http.send(request))
        except h11.LocalProtocolError:
            return False
        self._sink = sink
        self._on_free = on_free
        self._method = head.method
        self._rules = rules
        self._foreign = 0
        self._skipping = False
        self.exchanges += 1
        return True

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the request's body."""
        self._send(h11.Data(data=data))

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the request's end."""
        self._send(end_event(trailers))

    def flush(self) -> None:
        """Write what is queued, in one piece."""
        out = self._out
        self._out = []
        if self._transport is not None and out:
            self._transport.write(out[0] if len(out) == 1 else b"".join(out))

    def cancel(self) -> None:
        """Give the exchange up: close, so that the back end stops working on it."""
        self._sink = None
        on_free = self._on_free
        self._on_free = None
        if self._transport is not None:
            self._transport.abort()
        if on_free is not None:
            on_free(self)

    def pause_reading(self) -> None:
        """Stop reading the answer."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on reading the answer."""
        if self._transport is not None:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.close()

    # --- inside

    def _send(self, event: h11.Data | h11.EndOfMessage) -> None:
        """Queue a part of the body; one that breaks the framing ends the exchange."""
        if self._http.our_state is not h11.SEND_BODY:
            return
        try:
            self._out.append(self._http.send(event))
        except h11.LocalProtocolError:
            self._fail("the request's body does not fit its head")

    def _process(self) -> None:
        while self._sink is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as problem:
                self._fail(f"broken answer: {problem}")
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._sink.answer_batch_ended()
                return
            self._take(event)

    def _take(self, event: object) -> None:
        sink = self._sink
        assert sink is not None
        if self._skipping:
            self._skip(event)
        elif isinstance(event, h11.Data):
            sink.answer_data(event.data)
        elif isinstance(event, h11.Response):
            self._take_head(event, sink)
        elif isinstance(event, h11.EndOfMessage):
            self._finish(sink, received_headers(event.headers))
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("connection closed")

    def _take_head(self, event: h11.Response, sink: AnswerSink) -> None:
        headers = received_headers(event.headers)
        if self._rules.is_foreign(headers):
            self._begin_skipping()
            return
        problem = self._rules.problem(event.status_code, headers)
        if problem:
            self._fail(problem)
            return
        content_length: int | None = None
        chunked = False
        for name, value in headers:
            if name == b"content-length":
                content_length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
            elif name == b"keep-alive":
                self.kept_seconds = _kept_seconds(value)
        has_body = self._answer_has_body(event.status_code)
        is_framed = chunked or content_length is not None or not has_body
        if not is_framed and not self._rules.unframed_answers:
            self._fail("answer without a length")
            return
        sink.answer_head(
            AnswerHead(
                status=event.status_code,
                reason=event.reason,
                headers=end_to_end_headers(headers),
                content_length=None if chunked else content_length,
                has_body=has_body,
            )
        )

    def _begin_skipping(self) -> None:
        """An answer to another request: only one that is whole can be passed over."""
        self._foreign += 1
        if self._foreign > MAX_FOREIGN_ANSWERS or self._http.our_state is not h11.DONE:
            self._fail(FOREIGN)
        else:
            self._skipping = True

    def _skip(self, event: object) -> None:
        """Pass over the rest of a foreign answer, then read on from where it ends."""
        if isinstance(event, h11.EndOfMessage):
            rest = self._http.trailing_data[0]
            if self._http.their_state is not h11.DONE:
                self._fail(FOREIGN)
                return
            self._skipping = False
            self._http = _awaiting_answer(self._method)
            if rest:
                self._http.receive_data(rest)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(FOREIGN)

    def _answer_has_body(self, status: int) -> bool:
        if status in (STATUS_NO_CONTENT, STATUS_NOT_MODIFIED):
            return False
        return self._method != b"HEAD"

    def _finish(self, sink: AnswerSink, trailers: HeaderList) -> None:
        self._sink = None
        on_free = self._on_free
        self._on_free = None
        self._make_reusable()
        if on_free is not None:
            on_free(self)
        sink.answer_ended(trailers)

    def _make_reusable(self) -> None:
        http = self._http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            return
        if self._transport is not None:
            self._transport.close()

    def _fail(self, reason: str) -> None:
        sink = self._sink
        self._sink = None
        on_free = self._on_free
        self._on_free = None
        if self._transport is not None:
            self._transport.abort()
        if on_free is not None:
            on_free(self)
        if sink is not None:
            sink.attempt_failed(reason)


def _awaiting_answer(method: bytes) -> h11.Connection:
    """Give a parser for the answer to a request that has been sent already."""
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    http.send(h11.Request(method=method, target=b"/", headers=[(b"host", b"-")]))
    http.send(h11.EndOfMessage())
    return http


def _kept_seconds(value: bytes) -> float | None:
    """Read "timeout=N" of a Keep-Alive field."""
    found = _KEPT.search(value)
    return None if found is None else float(found.group(1))
