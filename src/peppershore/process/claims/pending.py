"""What a claims client has asked and not heard of: wants and notes, bounded.

A want is a call that waits for its claim.  A note (completion, release) has
nobody waiting; it is sent until it is on disk, or has grown too old to matter.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from peppershore.connection.messages.claims import (
    ClaimCompleted,
    ClaimReleased,
    ClaimRequest,
)

MAX_WANTS = 10_000
MAX_NOTES = 20_000
MAX_NOTE_BYTES = 8 * 1024 * 1024
"""Answers in completions not yet on disk; beyond it they are sent without answer."""

NOTE_SECONDS = 120.0
"""A note not on disk after so long is given up: its key stays as it is recorded."""


class Pending(msgspec.Struct):
    """A message not yet answered; ``deadline`` None marks a note.

    ``sent_at`` is the time of the last send, ``sends`` their number.
    """

    message: ClaimRequest | ClaimCompleted | ClaimReleased
    deadline: float | None
    added_at: float
    sent_at: float = 0.0
    sends: int = 0

    @property
    def is_want(self) -> bool:
        """Whether a call waits for it."""
        return self.deadline is not None


class PendingTable:
    """All unanswered messages of one client, by request number."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self.notes_dropped = 0
        self.answers_dropped = 0
        self._entries: dict[int, Pending] = {}
        self._wants = 0
        self._note_bytes = 0

    def __len__(self) -> int:
        """Messages not yet answered."""
        return len(self._entries)

    @property
    def wants(self) -> int:
        """Calls that wait for a claim."""
        return self._wants

    @property
    def wants_full(self) -> bool:
        """Whether no further want is taken."""
        return self._wants >= MAX_WANTS

    def get(self, request: int) -> Pending | None:
        """Give an entry, None if it was answered or given up."""
        return self._entries.get(request)

    def requests(self) -> Iterator[int]:
        """Give the numbers of all entries as they are now, the oldest first."""
        return iter(list(self._entries))

    def add_want(self, request: ClaimRequest, deadline: float, now: float) -> Pending:
        """Keep a want until its deadline."""
        entry = Pending(request, deadline, now)
        self._entries[request.request] = entry
        self._wants += 1
        return entry

    def add_note(self, note: ClaimCompleted | ClaimReleased, now: float) -> Pending:
        """Keep a note; the oldest one goes if there are too many."""
        if len(self._entries) - self._wants >= MAX_NOTES:
            self._drop_oldest_note()
        entry = Pending(self._within_bytes(note), None, now)
        self._note_bytes += _body_bytes(entry)
        self._entries[note.request] = entry
        return entry

    def pop(self, request: int) -> Pending | None:
        """Take an entry out."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return None
        if entry.is_want:
            self._wants -= 1
        self._note_bytes -= _body_bytes(entry)
        return entry

    def drop_old_notes(self, now: float) -> None:
        """Give up the notes that have grown too old."""
        for request, entry in list(self._entries.items()):
            if not entry.is_want and now - entry.added_at >= NOTE_SECONDS:
                self.pop(request)
                self.notes_dropped += 1

    def _within_bytes(
        self, note: ClaimCompleted | ClaimReleased
    ) -> ClaimCompleted | ClaimReleased:
        if isinstance(note, ClaimReleased) or note.answer is None:
            return note
        if self._note_bytes + len(note.answer.body) <= MAX_NOTE_BYTES:
            return note
        self.answers_dropped += 1
        return msgspec.structs.replace(note, answer=None)

    def _drop_oldest_note(self) -> None:
        for request, entry in self._entries.items():
            if not entry.is_want:
                self.pop(request)
                self.notes_dropped += 1
                return


def _body_bytes(entry: Pending) -> int:
    message = entry.message
    if isinstance(message, ClaimCompleted) and message.answer is not None:
        return len(message.answer.body)
    return 0
