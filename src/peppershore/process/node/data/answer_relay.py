"""Gives a back end's answer to the caller: whole, or visibly broken off.

A short answer is held until it is whole, so that a broken one can still be told as
such, or tried again.  A long one, or one that comes slowly and does not say how long
it is, is passed on as it comes; if it breaks off, the caller's connection is cut.
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
"""An answer that does not say how long it is, is held for so long after it began."""

KEY_WANTED = (b"www-authenticate", b"Bearer")
"""Tells a caller that is refused with 401 how to show its key (RFC 9110, 11.6.1)."""


class AnswerRelay:
    """One answer on its way to one caller."""

    __slots__ = (
        "_exchange",
        "_head",
        "_held_bytes",
        "_names",
        "_keep",
        "_kept",
        "_kept_bytes",
        "_pieces",
        "_release",
        "_request_id",
    )

    def __init__(
        self,
        exchange: ServerExchange,
        request_id: bytes,
        keep: bool,
        names: WireNames = OWN_NAMES,
    ) -> None:
        """``keep``: also gather the answer, to be given again to a resend."""
        self._names = names
        self._release: asyncio.TimerHandle | None = None
        self._held_bytes = 0
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
        return all(name != self._names.outcome for name, _ in head.headers)

    @property
    def is_error(self) -> bool:
        """Whether the back end itself failed, and the caller has seen nothing of it."""
        head = self._head
        if head is None or self.begun or head.status < FIRST_SERVER_ERROR:
            return False
        return all(name != self._names.outcome for name, _ in head.headers)

    def head(self, head: AnswerHead) -> None:
        """Take the head."""
        self._head = head
        if head.has_body and (head.content_length or 0) > HOLD_ANSWER_BYTES:
            self._send_head(head)

    def data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._keep_piece(data)
        if self.begun:
            self._exchange.send_data(data)
            return
        self._pieces.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > HOLD_ANSWER_BYTES and self._head is not None:
            self._send_head(self._head)
            self._send_held()

    def flush(self) -> None:
        """Write what may be passed on so far."""
        if self.begun:
            self._exchange.flush()
            return
        head = self._head
        is_open_ended = head is not None and head.has_body and head.content_length is None
        if is_open_ended and self._release is None:
            loop = asyncio.get_running_loop()
            self._release = loop.call_later(HOLD_SECONDS, self._pass_on)

    def end(self, trailers: HeaderList) -> None:
        """The answer is whole."""
        head = self._head
        self._hold_no_more()
        if not self.begun and head is not None:
            if head.has_body and head.content_length is None and not trailers:
                head = msgspec.structs.replace(head, content_length=self._held_bytes)
            self._send_head(head)
            self._send_held()
        self._exchange.send_end(_safe_trailers(trailers, self._names))

    def kept(self) -> KeptAnswer | None:
        """Give the whole answer to keep, or None if it is too long."""
        if self._head is None or self._kept_bytes > MAX_KEPT_BODY_BYTES:
            return None
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._head.headers
            if name not in self._names.own_fields
        )
        return KeptAnswer(self._head.status, headers, b"".join(self._kept))

    def forget(self) -> None:
        """Drop what came of an attempt that failed before the caller saw any."""
        self._hold_no_more()
        self._head = None
        self._held_bytes = 0
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
        self._hold_no_more()
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
            headers.append(KEY_WANTED)
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
        """Nobody waits for the answer any more."""
        self._hold_no_more()

    def _pass_on(self) -> None:
        """An answer of unknown length comes slowly: the caller waits for what is there."""
        self._release = None
        if not self.begun and self._head is not None:
            self._send_head(self._head)
            self._send_held()
            self._exchange.flush()

    def _hold_no_more(self) -> None:
        if self._release is not None:
            self._release.cancel()
            self._release = None

    def _send_held(self) -> None:
        for piece in self._pieces:
            self._exchange.send_data(piece)
        self._pieces.clear()

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
    }
)


def _safe_trailers(trailers: HeaderList, names: WireNames) -> HeaderList:
    refused = FORBIDDEN_TRAILERS | names.own_fields
    return [field for field in trailers if field[0] not in refused]
