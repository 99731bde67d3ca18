"""Search of an answer's body for another answer that begins inside it.

A back end that stops within a body and answers again leaves the rest of the body to be
filled with the second answer: the caller would get a complete answer with a mixed body.
"""

from __future__ import annotations

import re
from functools import lru_cache

from peppershore.connection.http_head import MAX_HEAD_BYTES

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9][0-9](?![0-9])")
"""The beginning of an answer."""

STATUS_LINE_BYTES = 12
HEAD_END = re.compile(rb"\n\r?\n")

_CUT_STATUS_LINE = re.compile(rb"HTTP/(?:1(?:\.(?:[01](?: (?:[1-9][0-9]?)?)?)?)?)?\Z")
"""A status line that is cut off behind the name of the protocol."""


class SecondAnswerSearch:
    """Searches one body, piece by piece.

    Text that quotes an answer is not one: where the body has a length, a status line
    counts only with the field ``id_name`` in the head that it begins, also if that lies
    behind the body, or if bytes that no request asked for end the body inside that head.
    Without ``id_name`` each status line counts.
    """

    def __init__(self, id_name: bytes = b"") -> None:
        """Start before the first byte; ``id_name`` is the field that names the request."""
        self._id_name = id_name
        self._tail = b""
        self._head = b""

    def finds_answer(self, data: bytes) -> bool:
        """Report whether the body has another answer, once ``data`` is part of it."""
        searched = self._head or self._tail
        searched = searched + data if searched else data
        self._tail = searched[-STATUS_LINE_BYTES:]
        self._head = b""
        return self._finds_in(searched)

    def ends_in_answer(self, rest: bytes) -> bool:
        """Report whether the body ended inside another answer; ``rest`` lies behind it."""
        if not self._id_name:
            return _CUT_STATUS_LINE.search(self._tail) is not None
        if not rest:
            return False
        searched = (self._head or self._tail) + rest
        begun = STATUS_LINE.search(searched)
        if begun is None or begun.start() >= len(searched) - len(rest):
            return False
        head, is_complete = _head_at(searched, begun.start())
        return not is_complete or self._names_request(head)

    def _finds_in(self, searched: bytes) -> bool:
        begun = STATUS_LINE.search(searched)
        while begun is not None:
            head, is_complete = _head_at(searched, begun.start())
            if not self._id_name or self._names_request(head):
                return True
            if not is_complete and len(head) < MAX_HEAD_BYTES:
                self._head = head
                return False
            # No head that begins within this one has a field that it lacks.
            begun = STATUS_LINE.search(searched, begun.start() + len(head))
        return False

    def _names_request(self, head: bytes) -> bool:
        return _field(self._id_name).search(head) is not None


def _head_at(searched: bytes, start: int) -> tuple[bytes, bool]:
    """Return the head that begins at ``start``, and whether its end was received."""
    received = searched[start : start + MAX_HEAD_BYTES]
    end = HEAD_END.search(received)
    return (received, False) if end is None else (received[: end.end()], True)


@lru_cache
def _field(name: bytes) -> re.Pattern[bytes]:
    return re.compile(rb"\n" + re.escape(name) + rb":", re.IGNORECASE)
