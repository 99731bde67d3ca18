"""Counts of what back ends send besides exactly one well-formed answer to each request.

A connection on which such bytes came may give the answer to one request to another.
"""

from __future__ import annotations

from typing import Literal

import msgspec

Irregularity = Literal[
    "answer-in-body",
    "broken-answer",
    "bytes-after-answer",
    "bytes-while-idle",
    "repeated-field",
    "status-line-in-head",
    "surplus-answer",
]
"""Kinds: a body that holds the beginning of another answer; an answer that cannot be
parsed or breaks a rule; bytes in the same read as the end of an answer; bytes while no
answer is expected; a field that identifies the answer given twice; the status line of
another answer inside a head; an answer to another request."""

MAX_NAMED_REQUESTS = 8
"""Requests named between two reports; the counts have all."""


class RecentIrregularities(msgspec.Struct, frozen=True):
    """Irregularities since the previous report, and some of the requests they met."""

    counts: dict[str, int]
    request_ids: tuple[str, ...]


class IrregularAnswers:
    """Counts of all connections to back ends of one process."""

    def __init__(self) -> None:
        """Start without irregularities."""
        self.total = 0
        """Irregularities since the start of the process."""
        self._recent: dict[str, int] = {}
        self._request_ids: list[str] = []

    def note(self, kind: Irregularity, request_id: bytes = b"") -> None:
        """Count one irregularity, met while the answer to ``request_id`` was expected."""
        self.total += 1
        self._recent[kind] = self._recent.get(kind, 0) + 1
        if request_id and len(self._request_ids) < MAX_NAMED_REQUESTS:
            self._request_ids.append(request_id.decode("latin-1"))

    def take(self) -> RecentIrregularities | None:
        """Return the irregularities since the previous call, or None without any."""
        if not self._recent:
            return None
        taken = RecentIrregularities(self._recent, tuple(self._request_ids))
        self._recent = {}
        self._request_ids = []
        return taken


IRREGULAR_ANSWERS = IrregularAnswers()
