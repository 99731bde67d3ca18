"""Unanswered messages of a claims client, bounded in number, size and age.

A "want" is a claim request for which a call waits. A "note" is a completion or a release,
for which no call waits; it is sent until the group has stored it, or until it is too old.
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
"""Bound on the total size of the answer bodies in unanswered completions. Completions
beyond it are sent without their answer."""

NOTE_SECONDS = 120.0
"""Time after which an unanswered completion or release is dropped. The group's record of
its key then stays as it is."""


class Pending(msgspec.Struct):
    """A message not yet answered.

    It is a note (completion or release) if ``deadline`` is None, else a want (claim
    request). ``sent_at`` is the time of the last send, ``sends`` the number of sends.
    """

    message: ClaimRequest | ClaimCompleted | ClaimReleased
    deadline: float | None
    added_at: float
    sent_at: float = 0.0
    sends: int = 0

    @property
    def is_want(self) -> bool:
        """Whether a call waits for the answer."""
        return self.deadline is not None


class PendingTable:
    """All unanswered messages of one client, by request number."""

    def __init__(self) -> None:
        """Start without unanswered messages."""
        self.notes_dropped = 0
        self.answers_dropped = 0
        self._entries: dict[int, Pending] = {}
        self._wants = 0
        self._note_bytes = 0

    def __len__(self) -> int:
        """Return the number of messages not yet answered."""
        return len(self._entries)

    @property
    def wants(self) -> int:
        """Number of calls that wait for a claim."""
        return self._wants

    @property
    def wants_full(self) -> bool:
        """Whether the maximum number of unanswered claim requests is reached."""
        return self._wants >= MAX_WANTS

    def get(self, request: int) -> Pending | None:
        """Return the message with a request number; None if it was answered or dropped."""
        return self._entries.get(request)

    def requests(self) -> Iterator[int]:
        """Return the request numbers of all unanswered messages, the oldest first.

        Messages may be added and removed during the iteration.
        """
        return iter(list(self._entries))

    def add_want(self, request: ClaimRequest, deadline: float, now: float) -> Pending:
        """Add a claim request, to be answered before its deadline; return its entry."""
        entry = Pending(request, deadline, now)
        self._entries[request.request] = entry
        self._wants += 1
        return entry

    def add_note(self, note: ClaimCompleted | ClaimReleased, now: float) -> Pending:
        """Add a completion or release and return its entry.

        If there are too many of these, drop the oldest.
        """
        if len(self._entries) - self._wants >= MAX_NOTES:
            self._drop_oldest_note()
        entry = Pending(self._within_bytes(note), None, now)
        self._note_bytes += _body_bytes(entry)
        self._entries[note.request] = entry
        return entry

    def pop(self, request: int) -> Pending | None:
        """Remove and return the message with a request number; None if there is none."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return None
        if entry.is_want:
            self._wants -= 1
        self._note_bytes -= _body_bytes(entry)
        return entry

    def drop_old_notes(self, now: float) -> None:
        """Drop completions and releases that were not answered within ``NOTE_SECONDS``."""
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
