"""Forwards a back end's answer to the caller: complete, or visibly cut off.

A short answer is buffered until it is complete, so that the call of a broken one can still
be retried or reported as failed. A long answer, or a slow one without a content length, is
forwarded as it arrives; if it breaks off, the caller's connection is cut.
"""

from __future__ import annotations

import asyncio

import msgspec

from peppershore.connection.http_head import AnswerHead, HeaderList
from peppershore.connection.http_server import ServerExchange
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.request.claim import MAX_KEPT_BODY_BYTES
from peppershore.request.outcome import (
    ANSWERED,
    FIRST_SERVER_ERROR,
    NOT_RUN,
    STATUS_UNAUTHORIZED,
    STATUS_UNAVAILABLE,
    UNKNOWN,
    Failed,
    NotRun,
)
from peppershore.request.wire_names import OWN_NAMES, WireNames, retry_after_value

HOLD_ANSWER_BYTES = 64 * 1024
HOLD_SECONDS = 0.05
"""An answer without a content length is buffered for this long after it began."""

BEARER_CHALLENGE = (b"www-authenticate", b"Bearer")
"""Header that tells a caller refused with 401 how to send its key (RFC 9110, 11.6.1)."""


class _WholeAnswer(msgspec.Struct, frozen=True):
    """A complete answer of which the caller was sent nothing."""

    head: AnswerHead
    pieces: tuple[bytes, ...]
    trailers: HeaderList


class AnswerRelay:
    """The answer to one call, on its way to the caller."""

    __slots__ = (
        "_exchange",
        "_fallback",
        "_head",
        "_held_bytes",
        "_names",
        "_keep",
        "_kept",
        "_kept_bytes",
        "_pieces",
        "_release_timer",
        "_request_id",
    )

    def __init__(
        self,
        exchange: ServerExchange,
        request_id: bytes,
        keep: bool,
        names: WireNames = OWN_NAMES,
    ) -> None:
        """Prepare to answer the request of ``exchange``; nothing is sent yet.

        With ``keep`` the answer is also stored, to be sent again if the caller sends the
        call again. ``names`` are the names of the header fields.
        """
        self._names = names
        self._release_timer: asyncio.TimerHandle | None = None
        self._held_bytes = 0
        self._exchange = exchange
        self._request_id = request_id
        self._keep = keep
        self._head: AnswerHead | None = None
        self._pieces: list[bytes] = []
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._fallback: _WholeAnswer | None = None

    @property
    def begun(self) -> bool:
        """Whether any of the answer was sent to the caller."""
        return self._exchange.head_sent

    @property
    def status(self) -> int:
        """HTTP status of the answer; 0 before its head was received."""
        return self._head.status if self._head is not None else 0

    @property
    def is_overload_refusal(self) -> bool:
        """Whether the back end itself refused the call because of its load.

        A refusal with an outcome header was forwarded from a node further along the path,
        which has already made all the attempts that are allowed. So was one of a back end
        whose own call failed.
        """
        head = self._head
        if head is None or head.status != STATUS_UNAVAILABLE or head.has_failed_call:
            return False
        return all(name != self._names.outcome for name, _ in head.headers)

    @property
    def is_error(self) -> bool:
        """Whether the back end itself failed, and the caller was sent nothing of it.

        One whose own call failed has not failed itself: the call was retried where it was
        made, and another run would make it again.
        """
        head = self._head
        if head is None or self.begun or head.status < FIRST_SERVER_ERROR:
            return False
        if head.has_failed_call:
            return False
        return all(name != self._names.outcome for name, _ in head.headers)

    def head(self, head: AnswerHead) -> None:
        """Process the head of the answer; that of a long answer is sent at once."""
        self._head = head
        if head.has_body and (head.content_length or 0) > HOLD_ANSWER_BYTES:
            self._send_head(head)

    def data(self, data: bytes) -> None:
        """Process a chunk of the answer's body."""
        self._store_piece(data)
        if self.begun:
            self._exchange.send_data(data)
            return
        self._pieces.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > HOLD_ANSWER_BYTES and self._head is not None:
            self._send_head(self._head)
            self._send_held()

    def flush(self) -> None:
        """Write the part of the answer that may be forwarded so far."""
        if self.begun:
            self._exchange.flush()
            return
        head = self._head
        is_open_ended = head is not None and head.has_body and head.content_length is None
        if is_open_ended and self._release_timer is None:
            loop = asyncio.get_running_loop()
            self._release_timer = loop.call_later(HOLD_SECONDS, self._release_held)

    def end(self, trailers: HeaderList) -> None:
        """Send what is left of the answer, which is complete."""
        head = self._head
        self._stop_release_timer()
        if not self.begun and head is not None:
            if head.has_body and head.content_length is None and not trailers:
                head = msgspec.structs.replace(head, content_length=self._held_bytes)
            self._send_head(head)
            self._send_held()
        self._exchange.send_end(_safe_trailers(trailers, self._names))

    def kept(self) -> KeptAnswer | None:
        """Return the complete answer for storage; None if it is too long or has no head."""
        if self._head is None or self._kept_bytes > MAX_KEPT_BODY_BYTES:
            return None
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._head.headers
            if name not in self._names.own_fields
        )
        return KeptAnswer(self._head.status, headers, b"".join(self._kept))

    def keep_as_fallback(self, trailers: HeaderList) -> None:
        """Keep the complete error answer, in case that no other attempt gets one."""
        assert self._head is not None
        assert not self.begun
        self._fallback = _WholeAnswer(self._head, tuple(self._pieces), trailers)

    @property
    def has_fallback(self) -> bool:
        """Whether an error answer of an earlier attempt can still be sent."""
        return self._fallback is not None and not self.begun

    def send_fallback(self) -> None:
        """Send the error answer of an earlier attempt."""
        fallback = self._fallback
        assert fallback is not None
        self.forget()
        self._head = fallback.head
        self._pieces.extend(fallback.pieces)
        self._held_bytes = sum(len(piece) for piece in fallback.pieces)
        self.end(fallback.trailers)

    def forget(self) -> None:
        """Discard the answer of an attempt that failed before the caller was sent any."""
        self._stop_release_timer()
        self._head = None
        self._held_bytes = 0
        self._pieces.clear()
        self._kept.clear()
        self._kept_bytes = 0

    def send_stored(self, answer: KeptAnswer, head_request: bool) -> None:
        """Send the stored answer to a call that the caller sent again.

        With ``head_request``, the request's method is HEAD: no body is sent.
        """
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
        """Report to the caller how the call failed; cut an answer that has begun."""
        self._stop_release_timer()
        if self.begun:
            self._exchange.abort()
            return
        outcome = NOT_RUN if isinstance(failed, NotRun) else UNKNOWN
        reason = failed.reason.encode()
        names = self._names
        headers = [
            (names.outcome, outcome),
            (names.reason, reason),
            (b"content-type", b"text/plain"),
            (names.request_id, self._request_id),
        ]
        if isinstance(failed, NotRun) and failed.retry_after_milliseconds > 0:
            advice = retry_after_value(names, failed.retry_after_milliseconds)
            headers.append((names.retry_after, advice))
        if failed.status == STATUS_UNAUTHORIZED:
            headers.append(BEARER_CHALLENGE)
        body = outcome + b": " + reason + b"\n"
        self._exchange.send_head(AnswerHead(failed.status, b"", headers, len(body)))
        self._exchange.send_data(body)
        self._exchange.send_end([])

    def _send_head(self, head: AnswerHead) -> None:
        own = self._names.own_fields
        headers = [field for field in head.headers if field[0] not in own]
        headers.append((self._names.outcome, ANSWERED))
        headers.append((self._names.request_id, self._request_id))
        self._exchange.send_head(
            AnswerHead(
                head.status, head.reason, headers, head.content_length, head.has_body
            )
        )

    def give_up(self) -> None:
        """Stop the timer that releases the answer: the caller no longer waits for it."""
        self._stop_release_timer()

    def _release_held(self) -> None:
        """Send what was received of a slow answer of unknown length."""
        self._release_timer = None
        if not self.begun and self._head is not None:
            self._send_head(self._head)
            self._send_held()
            self._exchange.flush()

    def _stop_release_timer(self) -> None:
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None

    def _send_held(self) -> None:
        for piece in self._pieces:
            self._exchange.send_data(piece)
        self._pieces.clear()

    def _store_piece(self, data: bytes) -> None:
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
    }
)


def _safe_trailers(trailers: HeaderList, names: WireNames) -> HeaderList:
    refused = FORBIDDEN_TRAILERS | names.own_fields
    return [field for field in trailers if field[0] not in refused]
