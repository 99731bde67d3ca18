"""An attempt over a connection from this node to the back end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from peppershore.connection.answer_rules import NO_RULES, AnswerRules
from peppershore.connection.http_client import ClientConnection
from peppershore.connection.http_head import AnswerHead, HeaderList, first_value
from peppershore.connection.http_pool import BOUND_REACHED, ConnectionPool
from peppershore.process.node.data.attempt import AttemptRequest, AttemptSink
from peppershore.request.deadline import remaining_milliseconds
from peppershore.request.outcome import (
    BROKE_OFF,
    OTHER_BACK_END,
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_MISDIRECTED,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAVAILABLE,
    NotRun,
    Unknown,
    unreachable,
)
from peppershore.request.wire_names import OWN_NAMES, WireNames

MAX_REUSE_AGE_SECONDS = 1.0
"""A pooled connection that was idle for longer may be closing. Calls that are not safe to
retry use a new one, since an attempt on a closing connection ends as unknown."""


REFUSED_RETRY_AFTER_MILLISECONDS = 100
MAX_REFUSAL_BYTES = 64 * 1024
"""Longest body of a refusal that is read to its end, so that its connection is kept."""

REFUSALS = frozenset({STATUS_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS, STATUS_MISDIRECTED})
"""Statuses with which a back end can report that it has not begun a call."""


class BackEndTerms(msgspec.Struct, frozen=True):
    """Header names for one back end, and the incarnation of it that is addressed.

    ``instance``: the name under which the back end knows itself, empty if unknown.
    ``life``: id of the incarnation, which no other incarnation has.
    """

    names: WireNames = OWN_NAMES
    instance: bytes = b""
    life: str = ""


DEFAULT_TERMS = BackEndTerms()


class DirectAttempt:
    """Connects if needed, sends the request and forwards the answer."""

    __slots__ = (
        "_cancelled",
        "_connection",
        "_on_head",
        "_on_over",
        "_pool",
        "_refusal",
        "_refusal_bytes",
        "_request",
        "_sink",
        "_terms",
        "begun",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        request: AttemptRequest,
        sink: AttemptSink,
        on_over: Callable[[], None] | None = None,
        *,
        terms: BackEndTerms = DEFAULT_TERMS,
        on_head: Callable[[AnswerHead], None] | None = None,
    ) -> None:
        """Create the attempt; it does nothing until ``start``.

        ``on_over`` is called once when the attempt ends. ``on_head`` is called with the
        head of each answer of the back end, including its refusals.
        """
        self._on_head = on_head
        self._terms = terms
        self._refusal: NotRun | None = None
        self._refusal_bytes = 0
        self._on_over = on_over
        self._pool = pool
        self._request = request
        self._sink = sink
        self._connection: ClientConnection | None = None
        self._cancelled = False
        self.begun = False

    def start(self) -> None:
        """Start on a pooled connection, or on a new one if none can be reused."""
        max_age = None if self._request.repeatable else MAX_REUSE_AGE_SECONDS
        connection = self._pool.take(max_age, self._may_use)
        if connection is not None:
            self._begin(connection)
            return
        self._pool.connect(self._connected)

    def _may_use(self, connection: ClientConnection) -> bool:
        """Report whether no answer to an earlier send can be taken for that to this one.

        A surplus refusal names its request at best, so this request is not sent twice on
        one connection. One that may run only once avoids connections with refusals.
        """
        if connection.has_refused and not self._request.repeatable:
            return False
        return not connection.has_borne(self._request_id)

    @property
    def _request_id(self) -> bytes:
        return first_value(self._request.headers, self._terms.names.request_id)

    # --- the interface Attempt

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the request's body."""
        if self._connection is not None:
            self._connection.send_data(data)

    def send_end(self, trailers: HeaderList) -> None:
        """Queue the end of the request."""
        if self._connection is not None:
            self._connection.send_end(trailers)

    def flush(self) -> None:
        """Send the queued data."""
        if self._connection is not None:
            self._connection.flush()

    def cancel(self) -> None:
        """Close the connection, so that the back end stops working on the call."""
        self._cancelled = True
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.cancel()
        self._notify_ended()

    def settle(self) -> bool:
        """Return False: no peer knows more about this attempt."""
        return False

    def pause_answer(self) -> None:
        """Stop reading the answer from the back end."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_answer(self) -> None:
        """Resume reading the answer from the back end."""
        if self._connection is not None:
            self._connection.resume_reading()

    # --- AnswerSink of the connection

    def answer_head(self, head: AnswerHead) -> None:
        """Forward the head of the answer, unless it reports that the call was not begun."""
        if self._on_head is not None:
            self._on_head(head)
        self._refusal = self._refusal_in(head)
        if self._refusal is None:
            self._sink.answer_head(head)
        elif self._connection is not None:
            self._connection.has_refused = True

    def answer_data(self, data: bytes) -> None:
        """Forward a chunk of the answer's body; drop it if the answer is a refusal.

        Fail with the refusal, without the rest of its body, if that is long.
        """
        if self._refusal is None:
            self._sink.answer_data(data)
            return
        self._refusal_bytes += len(data)
        if self._refusal_bytes > MAX_REFUSAL_BYTES and not self._cancelled:
            self.cancel()
            self._sink.attempt_failed(self._refusal)

    def answer_batch_ended(self) -> None:
        """Forward that no more of the answer is available for now."""
        if self._refusal is None:
            self._sink.answer_batch_ended()

    def answer_ended(self, trailers: HeaderList) -> None:
        """Forward the end of the answer, or the refusal that the answer was."""
        self._connection = None
        self._notify_ended()
        if self._refusal is None:
            self._sink.answer_ended(trailers)
        else:
            self._sink.attempt_failed(self._refusal)

    def attempt_failed(self, reason: str) -> None:
        """Fail as unknown: request bytes were written and no complete answer arrived.

        If the head of the answer was a refusal, fail with that refusal instead.
        """
        del reason
        self._connection = None
        self._notify_ended()
        if self._refusal is None:
            failed = Unknown(STATUS_BAD_GATEWAY, BROKE_OFF)
            self._sink.attempt_failed(failed)
        else:
            self._sink.attempt_failed(self._refusal)

    def sending_paused(self) -> None:
        """Forward that the back end reads slowly."""
        self._sink.sending_paused()

    def sending_resumed(self) -> None:
        """Forward that the back end reads again."""
        self._sink.sending_resumed()

    # --- internal

    def _connected(self, outcome: ClientConnection | str) -> None:
        if isinstance(outcome, str):
            if not self._cancelled:
                self._notify_ended()
                is_full = outcome == BOUND_REACHED
                reason = "no-connection-free" if is_full else "back-end-unreachable"
                self._sink.attempt_failed(unreachable(reason))
            return
        if self._cancelled:
            self._pool.give_back(outcome)
            return
        self._begin(outcome)

    def _refusal_in(self, head: AnswerHead) -> NotRun | None:
        """Return the refusal that an answer stands for, or None.

        Without a configured not-run header there are no refusals. Status 421 is a refusal
        by itself; the other statuses are one only if the answer has that header.
        """
        names = self._terms.names
        if head.status not in REFUSALS or not names.not_run:
            return None
        is_misdirected = head.status == STATUS_MISDIRECTED
        if not is_misdirected and not first_value(head.headers, names.not_run):
            return None
        reason = OTHER_BACK_END if is_misdirected else "back-end-refused"
        advice = REFUSED_RETRY_AFTER_MILLISECONDS
        return NotRun(STATUS_UNAVAILABLE, reason, advice, retryable=True, offered=True)

    def _notify_ended(self) -> None:
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
        names = self._terms.names
        headers.append((names.deadline, b"%d" % remaining))
        if names.expected_instance and self._terms.instance:
            headers.append((names.expected_instance, self._terms.instance))
        length = request.head.content_length
        if length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif length > 0 or request.head.declares_length:
            headers.append((b"content-length", b"%d" % length))
        if not request.head.header(b"host"):
            headers.append((b"host", self._pool.address.encode("ascii")))
        rules = _rules(names, headers)
        if not connection.begin(request.head, headers, self, self._pool.give_back, rules):
            self._connection = None
            self._pool.give_back(connection)
            self._notify_ended()
            self._sink.attempt_failed(NotRun(STATUS_BAD_REQUEST, "malformed-request"))
            return
        connection.note_request(self._request_id)
        self.begun = True
        self._sink.attempt_begun()


def _rules(names: WireNames, headers: HeaderList) -> AnswerRules:
    """Return the checks for the answer to a request with these header fields."""
    if not names.answers_carry_id and not names.signature and not names.unframed_answers:
        return NO_RULES
    id_name = names.request_id if names.answers_carry_id else b""
    id_value = first_value(headers, id_name) if id_name else b""
    return AnswerRules(id_name, id_value, names.signature, names.unframed_answers)
