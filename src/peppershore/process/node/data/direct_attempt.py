"""An attempt over this node's own connection to a back end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peppershore.connection.http_client import ClientConnection
from peppershore.connection.http_head import AnswerHead, HeaderList
from peppershore.connection.http_pool import ConnectionPool
from peppershore.process.node.data.attempt import AttemptRequest, AttemptSink
from peppershore.request.deadline import remaining_milliseconds
from peppershore.request.outcome import (
    DEADLINE_HEADER,
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    NotRun,
    Unknown,
    unreachable,
)

MAX_REUSE_AGE_SECONDS = 1.0
"""A kept connection idle for longer may be closing; what may not be repeated
takes a new one, since an attempt on a closing connection ends as unknown."""


class DirectAttempt:
    """Connects if needed, sends the request, hands on the answer."""

    __slots__ = (
        "_cancelled",
        "_connection",
        "_on_over",
        "_pool",
        "_request",
        "_sink",
        "begun",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        request: AttemptRequest,
        sink: AttemptSink,
        on_over: Callable[[], None] | None = None,
    ) -> None:
        """Nothing happens before ``start``; ``on_over`` is called once at the end."""
        self._on_over = on_over
        self._pool = pool
        self._request = request
        self._sink = sink
        self._connection: ClientConnection | None = None
        self._cancelled = False
        self.begun = False

    def start(self) -> None:
        """Take a kept connection or open one."""
        max_age = None if self._request.repeatable else MAX_REUSE_AGE_SECONDS
        connection = self._pool.take(max_age)
        if connection is not None:
            self._begin(connection)
            return
        self._pool.connect(self._connected)

    # --- Attempt

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the request's body."""
        if self._connection is not None:
            self._connection.send_data(data)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the request's end."""
        if self._connection is not None:
            self._connection.send_end(trailers)

    def flush(self) -> None:
        """Send what is queued."""
        if self._connection is not None:
            self._connection.flush()

    def cancel(self) -> None:
        """Close the connection, so that the back end stops working on the call."""
        self._cancelled = True
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.cancel()
        self._over()

    def settle(self) -> bool:
        """Nobody else knows more about this attempt."""
        return False

    def pause_answer(self) -> None:
        """Stop reading from the back end."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_answer(self) -> None:
        """Go on reading from the back end."""
        if self._connection is not None:
            self._connection.resume_reading()

    # --- AnswerSink of the connection

    def answer_head(self, head: AnswerHead) -> None:
        """Hand the answer's head on."""
        self._sink.answer_head(head)

    def answer_data(self, data: bytes) -> None:
        """Hand a piece of the answer's body on."""
        self._sink.answer_data(data)

    def answer_batch_ended(self) -> None:
        """Hand on that no more is at hand for now."""
        self._sink.answer_batch_ended()

    def answer_ended(self, trailers: HeaderList) -> None:
        """The answer is whole."""
        self._connection = None
        self._over()
        self._sink.answer_ended(trailers)

    def attempt_failed(self, reason: str) -> None:
        """Request bytes were written and no whole answer came: unknown."""
        del reason
        self._connection = None
        self._over()
        self._sink.attempt_failed(Unknown(STATUS_BAD_GATEWAY, "back-end-broke-off"))

    def sending_paused(self) -> None:
        """Hand the back end's slowness on."""
        self._sink.sending_paused()

    def sending_resumed(self) -> None:
        """The back end reads again."""
        self._sink.sending_resumed()

    # --- inside

    def _connected(self, outcome: ClientConnection | str) -> None:
        if isinstance(outcome, str):
            if not self._cancelled:
                self._over()
                refusal = unreachable("back-end-unreachable")
                self._sink.attempt_failed(refusal)
            return
        if self._cancelled:
            self._pool.give_back(outcome)
            return
        self._begin(outcome)

    def _over(self) -> None:
        on_over = self._on_over
        self._on_over = None
        if on_over is not None:
            on_over()

    def _begin(self, connection: ClientConnection) -> None:
        self._connection = connection
        request = self._request
        headers = request.headers.copy()
        now = asyncio.get_running_loop().time()
        remaining = remaining_milliseconds(now, request.deadline)
        headers.append((DEADLINE_HEADER, b"%d" % remaining))
        length = request.head.content_length
        if length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif length > 0 or request.head.declares_length:
            headers.append((b"content-length", b"%d" % length))
        if not request.head.header(b"host"):
            headers.append((b"host", self._pool.address.encode("ascii")))
        if not connection.begin(request.head, headers, self, self._pool.give_back):
            self._connection = None
            self._pool.give_back(connection)
            self._over()
            self._sink.attempt_failed(NotRun(STATUS_BAD_REQUEST, "malformed-request"))
            return
        self.begun = True
        self._sink.attempt_begun()
