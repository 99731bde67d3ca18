"""Parser of back ends' answers, without I/O: h11, behind strict checks of each head.

An answer and the beginning of another one can arrive as one head: the second answer to an
earlier request, cut off, and the awaited answer right behind it. Parsed leniently, the
caller gets the status of one with the fields and the body of the other. The bytes of a
head are therefore checked before h11 sees them, and bodies are searched for the beginning
of another answer.
"""

from __future__ import annotations

from typing import cast

import h11
import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import (
    FRAMING_FIELD,
    MAX_HEAD_BYTES,
)
from peppershore.connection.second_answer import (
    HEAD_END,
    STATUS_LINE,
    STATUS_LINE_BYTES,
    SecondAnswerSearch,
)

HEAD_END_BYTES = 3
INFORMATIONAL = (b"0 1", b"1 1")
"""What follows ``PROTOCOL`` in an informational (1xx) answer."""

PROTOCOL = b"HTTP/1."
MAX_INFORMATIONAL_ANSWERS = 8
"""Informational (1xx) heads accepted before one answer."""

ANSWER_IN_HEAD = "another answer begins inside the head"
ANSWER_IN_BODY = "another answer begins inside the body"
TOO_MANY_INFORMATIONAL = "too many informational answers"
HEAD_TOO_LARGE = "head-too-large"
AMBIGUOUS_LENGTH = "the length is given more than once"
NOT_AN_ANSWER = "bytes that are no answer"
CLOSED_IN_HEAD = "connection closed before the end of the head"


class BrokenAnswer(msgspec.Struct, frozen=True):
    """What was received is no well-formed answer; nothing after it can be trusted."""

    reason: str


class NeedData(msgspec.Struct, frozen=True):
    """All received bytes were parsed; the answer continues with the next ones."""


NEED_DATA = NeedData()

AnswerEvent = (
    h11.InformationalResponse
    | h11.Response
    | h11.Data
    | h11.EndOfMessage
    | BrokenAnswer
    | NeedData
)


class AnswerReader:
    """Writer of the requests and parser of the answers of one connection."""

    def __init__(self) -> None:
        """Start before the first request."""
        self._http = _new_parser()
        self._head = bytearray()
        self._checked_octets = 0
        self._informational = 0
        self._has_ended = False
        self._search: SecondAnswerSearch | None = None

    @property
    def is_sending_body(self) -> bool:
        """Whether a request was begun and is not yet sent completely."""
        return self._http.our_state is h11.SEND_BODY

    @property
    def has_sent_request(self) -> bool:
        """Whether the request was sent completely."""
        return self._http.our_state is h11.DONE

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes were received behind the end of the answer."""
        return bool(self._http.trailing_data[0])

    def send(self, event: h11.Request | h11.Data | h11.EndOfMessage) -> bytes:
        """Return the bytes of a part of the request.

        Raise h11.LocalProtocolError if it can't be sent as HTTP.
        """
        return self._http.send(event)

    def receive(self, data: bytes) -> None:
        """Take received bytes; ``next_event`` parses them."""
        if self._awaits_head:
            self._head += data
        else:
            self._http.receive_data(data)

    def receive_end(self) -> None:
        """Record that the back end sends no more bytes."""
        self._has_ended = True
        if not self._awaits_head:
            self._http.receive_data(b"")

    def search_body(self, id_name: bytes = b"") -> None:
        """Search the body of the current answer for the beginning of another one.

        ``id_name``: see ``SecondAnswerSearch``; empty where no proper body follows.
        """
        self._search = SecondAnswerSearch(id_name)

    def next_event(self) -> AnswerEvent:
        """Return the next part of the answer, why it is broken, or that data is missing."""
        try:
            if self._awaits_head:
                return self._next_head()
            return self._searched(self._http.next_event())
        except h11.RemoteProtocolError as problem:
            return BrokenAnswer(str(problem))

    def begin_next_answer(self, method: bytes) -> bool:
        """Read the answer that follows a complete one, to the same request.

        ``method`` is that of the request. Return false if no answer can follow.
        """
        rest = self._http.trailing_data[0]
        if self._http.their_state is not h11.DONE:
            return False
        self._http = _awaiting_answer(method)
        self._begin_answer(rest)
        return True

    def begin_next_request(self) -> bool:
        """Prepare for another request; return false if the connection can't carry one.

        It can't after bytes that no request asked for: more of them may be on their way.
        """
        http = self._http
        is_over = http.our_state is h11.DONE and http.their_state is h11.DONE
        if not is_over or self._has_ended or self.has_unread_bytes:
            return False
        http.start_next_cycle()
        self._begin_answer()
        return True

    @property
    def _awaits_head(self) -> bool:
        return self._http.their_state is h11.SEND_RESPONSE

    def _begin_answer(self, received: bytes = b"") -> None:
        self._begin_head(received)
        self._informational = 0
        self._search = None

    def _begin_head(self, received: bytes = b"") -> None:
        self._head = bytearray(received)
        self._checked_octets = 0

    def _next_head(self) -> AnswerEvent:
        checked = check_answer_head(self._head, self._checked_octets)
        if isinstance(checked, Failure):
            return BrokenAnswer(checked.failure())
        octets = checked.unwrap()
        if not octets:
            self._checked_octets = len(self._head)
            return BrokenAnswer(CLOSED_IN_HEAD) if self._has_ended else NEED_DATA
        if self._head.startswith(INFORMATIONAL, len(PROTOCOL)):
            return self._informational_head(octets)
        self._http.receive_data(bytes(self._head))
        self._begin_head()
        if self._has_ended:
            self._http.receive_data(b"")
        return _as_event(self._http.next_event())

    def _informational_head(self, octets: int) -> AnswerEvent:
        """Pass on the first head alone: the one behind it is not checked yet."""
        self._informational += 1
        if self._informational > MAX_INFORMATIONAL_ANSWERS:
            return BrokenAnswer(TOO_MANY_INFORMATIONAL)
        self._http.receive_data(bytes(self._head[:octets]))
        self._begin_head(bytes(self._head[octets:]))
        return _as_event(self._http.next_event())

    def _searched(self, event: object) -> AnswerEvent:
        search = self._search
        if search is None:
            return _as_event(event)
        if isinstance(event, h11.Data):
            is_mixed = search.finds_answer(bytes(event.data))
        else:
            is_over = isinstance(event, h11.EndOfMessage)
            is_mixed = is_over and search.ends_in_answer(self._http.trailing_data[0])
        return BrokenAnswer(ANSWER_IN_BODY) if is_mixed else _as_event(event)


INCOMPLETE: Result[int, str] = Success(0)


def check_answer_head(received: bytes | bytearray, checked: int = 0) -> Result[int, str]:
    """Return the length of the first head in ``received``; 0 as long as it is incomplete.

    The first ``checked`` bytes were found to be the beginning of a head before. Fail with
    the reason if it is not the head of exactly one answer or gives its length more than
    once: also an incomplete one, once that is certain. The form of its lines is left to
    the parser; lines may end without a carriage return.
    """
    if received[: len(PROTOCOL)] != PROTOCOL[: len(received)]:
        return Failure(NOT_AN_ANSWER)
    found = HEAD_END.search(received, max(0, checked - HEAD_END_BYTES))
    octets = found.end() if found else len(received)
    if octets > MAX_HEAD_BYTES:
        return Failure(HEAD_TOO_LARGE)
    if STATUS_LINE.search(received, max(1, checked - STATUS_LINE_BYTES), octets):
        return Failure(ANSWER_IN_HEAD)
    if not found:
        return INCOMPLETE
    if len(FRAMING_FIELD.findall(received, 0, octets)) > 1:
        return Failure(AMBIGUOUS_LENGTH)
    return Success(octets)


def _as_event(event: object) -> AnswerEvent:
    if event is h11.NEED_DATA or event is h11.PAUSED:
        return NEED_DATA
    if isinstance(event, h11.ConnectionClosed):
        return BrokenAnswer("connection closed")
    return cast("AnswerEvent", event)


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _awaiting_answer(method: bytes) -> h11.Connection:
    """Return a parser for the answer to a request that was already sent."""
    http = _new_parser()
    http.send(h11.Request(method=method, target=b"/", headers=[(b"host", b"-")]))
    http.send(h11.EndOfMessage())
    return http
