"""HTTP/1.1 client for back ends: one connection, one exchange at a time.

An answer is forwarded only as far as it is well-formed. An answer that ends before its
declared length is a failure. So is one that declares no length, unless the rules allow
it; in that case the answer ends when the back end closes the connection without a reset,
and a reset is a failure. A complete answer that carries the identifier of another request
is skipped, because the expected answer may follow it. A connection on which anything but
exactly the expected answers came is not used again.
"""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections.abc import Callable
from typing import Protocol

import h11

from peppershore.connection.answer_reader import (
    ANSWER_IN_BODY,
    ANSWER_IN_HEAD,
    AnswerReader,
    BrokenAnswer,
    NeedData,
)
from peppershore.connection.answer_rules import (
    ANSWER_TO_OTHER_REQUEST,
    NO_RULES,
    REPEATED_FIELD,
    AnswerRules,
)
from peppershore.connection.http_head import (
    AnswerHead,
    HeaderList,
    RequestHead,
    checked_headers,
    end_event,
    end_to_end_headers,
    received_headers,
)
from peppershore.connection.irregular_answers import IRREGULAR_ANSWERS, Irregularity
from peppershore.connection.silence import enable_keep_alive
from peppershore.connection.turns import MAX_EVENTS_PER_TURN

WRITE_HIGH_WATER_BYTES = 256 * 1024
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304
MAX_MISMATCHED_ANSWERS = 3
MAX_SKIPPED_LENGTH = 256 * 1024
MAX_SKIPPED_BYTES = 64 * 1024
"""Longest body of an answer to another request that is read past: one that declares its
length, and one in chunks."""

MAX_EXCHANGES = 512
"""Exchanges of a connection, whose request ids are all remembered while it is open."""

_IRREGULARITIES: dict[str, Irregularity] = {
    ANSWER_IN_BODY: "answer-in-body",
    ANSWER_IN_HEAD: "status-line-in-head",
}
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=([0-9]{1,6})")


class AnswerSink(Protocol):
    """Receiver of a back end's answer to one attempt."""

    def answer_head(self, head: AnswerHead) -> None:
        """Handle the head of the answer."""

    def answer_data(self, data: bytes) -> None:
        """Handle a chunk of the answer's body."""

    def answer_batch_ended(self) -> None:
        """Handle the end of the data received so far; more of the answer may follow."""

    def answer_ended(self, trailers: HeaderList) -> None:
        """Handle the end of a complete answer."""

    def attempt_failed(self, reason: str) -> None:
        """Handle a failure: no complete answer follows.

        The back end may have read bytes of the request.
        """

    def sending_paused(self) -> None:
        """Stop sending request bytes for now: the back end reads slowly."""

    def sending_resumed(self) -> None:
        """Continue sending request bytes: the back end has caught up."""


class ClientConnection(asyncio.Protocol):
    """One connection to a back end."""

    def __init__(self, on_idle_lost: Callable[[ClientConnection], None]) -> None:
        """Call ``on_idle_lost`` if the connection closes outside an exchange."""
        self.last_used = 0.0
        self.exchanges = 0
        self.has_refused = False
        """Whether an answer on this connection said that its request was not begun."""
        self._request_ids: set[bytes] = set()
        self._on_idle_lost = on_idle_lost
        self._reader = AnswerReader()
        self._transport: asyncio.Transport | None = None
        self._sink: AnswerSink | None = None
        self._on_free: Callable[[ClientConnection], None] | None = None
        self._out: list[bytes] = []
        self._method = b""
        self._rules = NO_RULES
        self._mismatched_answers = 0
        self._skipping = False
        self._skippable_bytes = 0
        self._has_backlog = False
        self._turn: asyncio.Handle | None = None
        self._is_reading_paused = False
        self.keep_alive_seconds: float | None = None
        """Idle time-out announced by the back end in its Keep-Alive header, or None."""
        self._poll: select.poll | None = None

    # --- transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keep_alive(raw)
            self._poll = select.poll()
            self._poll.register(raw.fileno(), select.POLLIN)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no answer is expected."""
        if self._sink is None:
            IRREGULAR_ANSWERS.note("bytes-while-idle")
            self.close()
            return
        self._reader.receive(data)
        if not self._has_backlog:
            self._process()

    def eof_received(self) -> bool:
        """Finish parsing: the back end sends no more bytes.

        Return whether the connection must stay open until all received bytes are parsed.
        """
        self._reader.receive_end()
        if self._sink is not None and not self._has_backlog:
            self._process()
        return self._has_backlog

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress, or report the loss of an idle connection."""
        self._transport = None
        if self._sink is not None:
            self._fail(str(exc) if exc else "connection closed")
        else:
            self._on_idle_lost(self)

    def pause_writing(self) -> None:
        """Apply back-pressure to the sender of the request: the back end reads slowly."""
        if self._sink is not None:
            self._sink.sending_paused()

    def resume_writing(self) -> None:
        """Release the back-pressure: the back end reads again."""
        if self._sink is not None:
            self._sink.sending_resumed()

    # --- methods for the user of the connection

    @property
    def usable(self) -> bool:
        """Whether the connection looks open: neither closed nor with unread bytes."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return self._poll is None or not self._poll.poll(0)

    def note_request(self, request_id: bytes) -> None:
        """Remember that a request was sent on this connection."""
        if request_id:
            self._request_ids.add(request_id)

    def has_borne(self, request_id: bytes) -> bool:
        """Report whether a request with this id was sent on this connection before.

        An answer to that send may come a second time, and nothing in it tells it from the
        answer to another send of the same id.
        """
        return request_id in self._request_ids

    def begin(
        self,
        head: RequestHead,
        headers: HeaderList,
        sink: AnswerSink,
        on_free: Callable[[ClientConnection], None],
        rules: AnswerRules = NO_RULES,
    ) -> bool:
        """Start an exchange by queueing the request's head.

        The answer is checked against ``rules``; ``on_free`` is called when the exchange
        is over. Return false, with nothing queued, if the head can't be sent as HTTP.
        """
        assert self._sink is None, "one exchange at a time"
        try:
            request = h11.Request(
                method=head.method, target=head.target, headers=checked_headers(headers)
            )
            self._out.append(self._reader.send(request))
        except h11.LocalProtocolError:
            return False
        self._sink = sink
        self._on_free = on_free
        self._method = head.method
        self._rules = rules
        self._mismatched_answers = 0
        self._skipping = False
        self._skippable_bytes = 0
        self.exchanges += 1
        return True

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the request's body."""
        self._send(h11.Data(data=data))

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the end of the request."""
        self._send(end_event(trailers))

    def flush(self) -> None:
        """Write all queued bytes with one call."""
        out = self._out
        self._out = []
        if self._transport is not None and out:
            self._transport.write(out[0] if len(out) == 1 else b"".join(out))

    def cancel(self) -> None:
        """Abort the exchange by closing, so that the back end stops working on it."""
        self._sink = None
        on_free = self._on_free
        self._on_free = None
        if self._transport is not None:
            self._transport.abort()
        if on_free is not None:
            on_free(self)

    def pause_reading(self) -> None:
        """Stop reading the answer."""
        self._is_reading_paused = True
        self._apply_pauses()

    def resume_reading(self) -> None:
        """Continue reading the answer."""
        self._is_reading_paused = False
        if self._has_backlog:
            self._schedule_turn()
        else:
            self._apply_pauses()

    def close(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.close()

    # --- internal

    def _send(self, event: h11.Data | h11.EndOfMessage) -> None:
        """Queue a part of the body; fail the exchange if it violates the framing."""
        if not self._reader.is_sending_body:
            return
        try:
            self._out.append(self._reader.send(event))
        except h11.LocalProtocolError:
            self._fail("the request's body does not fit its head")

    def _apply_pauses(self) -> None:
        """Read unless the receiver of the answer or unparsed bytes hold it up."""
        if self._transport is None:
            return
        if self._is_reading_paused or self._has_backlog:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _process(self) -> None:
        """Handle the received parts of the answer, a bounded number in one turn."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if self._sink is None:
                return
            event = self._reader.next_event()
            if isinstance(event, NeedData):
                self._sink.answer_batch_ended()
                return
            self._handle_event(event)
        if self._sink is not None:
            self._sink.answer_batch_ended()
            self._process_later()

    def _process_later(self) -> None:
        """Let other connections have their turn, and read no more until then."""
        self._has_backlog = True
        self._apply_pauses()
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if self._turn is None:
            loop = asyncio.get_running_loop()
            self._turn = loop.call_soon(self._process_backlog)

    def _process_backlog(self) -> None:
        """Go on with the received parts, unless their receiver has paused meanwhile."""
        self._turn = None
        if self._is_reading_paused and self._sink is not None:
            return
        self._has_backlog = False
        self._process()
        self._apply_pauses()

    def _handle_event(self, event: object) -> None:
        sink = self._sink
        assert sink is not None
        if isinstance(event, BrokenAnswer):
            self._fail_irregular(_irregularity(event.reason), event.reason)
        elif self._skipping:
            self._skip(event)
        elif isinstance(event, h11.Data):
            sink.answer_data(event.data)
        elif isinstance(event, h11.Response):
            self._handle_head(event, sink)
        elif isinstance(event, h11.EndOfMessage):
            self._finish(sink, received_headers(event.headers))

    def _handle_head(self, event: h11.Response, sink: AnswerSink) -> None:
        headers = received_headers(event.headers)
        if self._rules.repeats_field(headers):
            self._fail_irregular("repeated-field", REPEATED_FIELD)
            return
        content_length: int | None = None
        chunked = False
        for name, value in headers:
            if name == b"content-length":
                content_length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
            elif name == b"keep-alive":
                self.keep_alive_seconds = _parse_keep_alive(value)
        has_body = self._answer_has_body(event.status_code)
        is_framed = chunked or content_length is not None or not has_body
        if self._rules.answers_other_request(headers):
            self._begin_skipping(is_framed, None if chunked else content_length)
            return
        problem = self._rules.problem(event.status_code, headers)
        if not problem and not is_framed and not self._rules.unframed_answers:
            problem = "answer without a length"
        if problem:
            self._fail_irregular("broken-answer", problem)
            return
        if not is_framed:
            self._reader.search_body()
        elif self._rules.id_name and has_body:
            self._reader.search_body(self._rules.id_name)
        sink.answer_head(
            AnswerHead(
                status=event.status_code,
                reason=event.reason,
                headers=end_to_end_headers(headers),
                content_length=None if chunked else content_length,
                has_body=has_body,
            )
        )

    def _begin_skipping(self, is_framed: bool, length: int | None) -> None:
        """Start skipping an answer that carries the identifier of another request.

        Fail the exchange at once if the expected answer can't follow soon: the request is
        not yet sent completely, there were ``MAX_MISMATCHED_ANSWERS`` before, or the
        answer to skip ends with the connection or is long.
        """
        self._mismatched_answers += 1
        can_follow = is_framed and (length is None or length <= MAX_SKIPPED_LENGTH)
        if (
            can_follow
            and self._mismatched_answers <= MAX_MISMATCHED_ANSWERS
            and self._reader.has_sent_request
        ):
            IRREGULAR_ANSWERS.note("surplus-answer", self._rules.id_value)
            self._skipping = True
            self._skippable_bytes = MAX_SKIPPED_BYTES if length is None else length
            self._reader.search_body()
        else:
            self._fail_irregular("surplus-answer", ANSWER_TO_OTHER_REQUEST)

    def _skip(self, event: object) -> None:
        """Skip a part of a mismatched answer; behind its end, read the next answer.

        Fail the exchange if it is too long or ends the connection.
        """
        if isinstance(event, h11.Data):
            self._skippable_bytes -= len(event.data)
            if self._skippable_bytes < 0:
                self._fail(ANSWER_TO_OTHER_REQUEST)
        elif isinstance(event, h11.EndOfMessage):
            self._skipping = False
            if not self._reader.begin_next_answer(self._method):
                self._fail(ANSWER_TO_OTHER_REQUEST)

    def _answer_has_body(self, status: int) -> bool:
        if status in (STATUS_NO_CONTENT, STATUS_NOT_MODIFIED):
            return False
        return self._method != b"HEAD"

    def _finish(self, sink: AnswerSink, trailers: HeaderList) -> None:
        self._sink = None
        on_free = self._on_free
        self._on_free = None
        self._make_reusable()
        self.resume_reading()
        if on_free is not None:
            on_free(self)
        sink.answer_ended(trailers)

    def _make_reusable(self) -> None:
        """Prepare for the next exchange, or close after irregular answers."""
        if not self._reader.begin_next_request():
            if self._reader.has_unread_bytes:
                IRREGULAR_ANSWERS.note("bytes-after-answer", self._rules.id_value)
            self.close()
        elif self._mismatched_answers or self.exchanges >= MAX_EXCHANGES:
            self.close()

    def _fail_irregular(self, kind: Irregularity, reason: str) -> None:
        IRREGULAR_ANSWERS.note(kind, self._rules.id_value)
        self._fail(reason)

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


def _irregularity(reason: str) -> Irregularity:
    return _IRREGULARITIES.get(reason, "broken-answer")


def _parse_keep_alive(value: bytes) -> float | None:
    """Parse "timeout=N" of a Keep-Alive header value."""
    found = _KEEP_ALIVE_TIMEOUT.search(value)
    return None if found is None else float(found.group(1))
