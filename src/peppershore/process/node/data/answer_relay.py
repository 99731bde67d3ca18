"""Gives a back end's answer to the caller: whole, or visibly broken off.

A short answer of known length is held until it is whole, so that a broken one
can still be told as such.  A long or chunked one is passed on as it comes; if it
breaks off, the caller's connection is cut.
"""

from __future__ import annotations

from peppershore.connection.http_head import AnswerHead, HeaderList
from peppershore.connection.http_server import ServerExchange
from peppershore.connection.messages import KeptAnswer
from peppershore.request.claim import MAX_KEPT_BODY_BYTES
from peppershore.request.outcome import (
    ANSWERED,
    NOT_RUN,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    STATUS_UNAVAILABLE,
    UNKNOWN,
    Failed,
    NotRun,
)

HOLD_ANSWER_BYTES = 64 * 1024
MILLISECONDS = 1_000
OWN_HEADERS = frozenset({OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER})


class AnswerRelay:
    """One answer on its way to one caller."""

    __slots__ = (
        "_exchange",
        "_head",
        "_keep",
        "_kept",
        "_kept_bytes",
        "_pieces",
        "_request_id",
    )

    def __init__(self, exchange: ServerExchange, request_id: bytes, keep: bool) -> None:
        """``keep``: also gather the answer, to be given again to a resend."""
        self._exchange = exchange
        self._request_id = request_id
        self._keep = keep
        self._head: AnswerHead | None = None
        self._pieces: list[bytes] = []
        self._kept: list[bytes] = []
        self._kept_bytes = 0

    @property
    def begun(self) -> bool:
        """Whether the caller has seen any of it."""
        return self._exchange.head_sent

    @property
    def status(self) -> int:
        """Status of the answer, 0 before its head."""
        return self._head.status if self._head is not None else 0

    @property
    def is_shed(self) -> bool:
        """Whether the back end itself refuses for load.

        A refusal that names an outcome was passed on from a node further on, which
        has tried what may be tried.
        """
        head = self._head
        if head is None or head.status != STATUS_UNAVAILABLE:
            return False
        return all(name != OUTCOME_HEADER for name, _ in head.headers)

    def head(self, head: AnswerHead) -> None:
        """Take the head."""
        self._head = head
        if not _held(head):
            self._send_head(head)

    def data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._keep_piece(data)
        if self.begun:
            self._exchange.send_data(data)
        else:
            self._pieces.append(data)

    def flush(self) -> None:
        """Write what may be passed on so far."""
        if self.begun:
            self._exchange.flush()

    def end(self, trailers: HeaderList) -> None:
        """The answer is whole."""
        if not self.begun and self._head is not None:
            self._send_head(self._head)
            for piece in self._pieces:
                self._exchange.send_data(piece)
        self._exchange.send_end(_safe_trailers(trailers))

    def kept(self) -> KeptAnswer | None:
        """Give the whole answer to keep, or None if it is too long."""
        if self._head is None or self._kept_bytes > MAX_KEPT_BODY_BYTES:
            return None
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._head.headers
            if name not in OWN_HEADERS
        )
        return KeptAnswer(self._head.status, headers, b"".join(self._kept))

    def forget(self) -> None:
        """Drop what came of an attempt that failed before the caller saw any."""
        self._head = None
        self._pieces.clear()
        self._kept.clear()
        self._kept_bytes = 0

    def give_kept(self, answer: KeptAnswer, head_request: bool) -> None:
        """Give the first answer again."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
        ]
        self._head = AnswerHead(
            answer.status, b"", headers, len(answer.body), not head_request
        )
        self._send_head(self._head)
        if answer.body and not head_request:
            self._exchange.send_data(answer.body)
        self._exchange.send_end([])

    def fail(self, failed: Failed) -> None:
        """Tell the caller how the call failed, or cut a begun answer."""
        if self.begun:
            self._exchange.abort()
            return
        outcome = NOT_RUN if isinstance(failed, NotRun) else UNKNOWN
        reason = failed.reason.encode()
        headers = [
            (OUTCOME_HEADER, outcome),
            (REASON_HEADER, reason),
            (b"content-type", b"text/plain"),
            (REQUEST_ID_HEADER, self._request_id),
        ]
        if isinstance(failed, NotRun) and failed.retry_after_milliseconds > 0:
            seconds = -(-failed.retry_after_milliseconds // MILLISECONDS)
            headers.append((RETRY_AFTER_HEADER, b"%d" % seconds))
        body = outcome + b": " + reason + b"\n"
        self._exchange.send_head(AnswerHead(failed.status, b"", headers, len(body)))
        self._exchange.send_data(body)
        self._exchange.send_end([])

    def _send_head(self, head: AnswerHead) -> None:
        headers = [field for field in head.headers if field[0] not in OWN_HEADERS]
        headers.append((OUTCOME_HEADER, ANSWERED))
        headers.append((REQUEST_ID_HEADER, self._request_id))
        self._exchange.send_head(
            AnswerHead(
                head.status, head.reason, headers, head.content_length, head.has_body
            )
        )

    def _keep_piece(self, data: bytes) -> None:
        if not self._keep or self._kept_bytes > MAX_KEPT_BODY_BYTES:
            return
        self._kept_bytes += len(data)
        self._kept.append(bytes(data))


FORBIDDEN_TRAILERS = frozenset(
    {
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"authorization",
        b"connection",
        OUTCOME_HEADER,
        REASON_HEADER,
    }
)


def _safe_trailers(trailers: HeaderList) -> HeaderList:
    return [field for field in trailers if field[0] not in FORBIDDEN_TRAILERS]


def _held(head: AnswerHead) -> bool:
    if not head.has_body:
        return True
    return head.content_length is not None and head.content_length <= HOLD_ANSWER_BYTES
