"""The replica's log, memberships and snapshot; each change is also queued for disk."""

from __future__ import annotations

from peppershore.connection.messages.consensus import EntryKind, LogEntry
from peppershore.process.consensus.durability import DurabilityQueue
from peppershore.process.consensus.log import ReplicatedLog
from peppershore.process.consensus.membership import (
    EMPTY_MEMBERSHIP,
    MembershipHistory,
    decode_membership,
)
from peppershore.process.consensus.records import (
    InstallSnapshot,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotPart,
    SnapshotPart,
    StateSnapshot,
    StoredState,
)

MAX_RETAINED_FACTOR = 10
"""Limit on the log entries retained while a peer receives a snapshot.

It is a multiple of the number of entries that are always retained before a snapshot.
Without a limit, a slow receiver would hold back log compaction.
"""


def compaction_point(snapshot_index: int, kept: int, in_transfer: int | None) -> int:
    """Return the log index after which entries must be retained.

    ``kept`` entries before the snapshot are retained for peers that lag slightly,
    and up to ``MAX_RETAINED_FACTOR`` times as many while a peer receives a snapshot.
    ``in_transfer`` is the log index of the oldest snapshot being sent, None without one.
    """
    point = snapshot_index - kept
    if in_transfer is None:
        return point
    return max(min(point, in_transfer), snapshot_index - MAX_RETAINED_FACTOR * kept)


class DurableLog:
    """This replica's copy of the log, in memory and queued for the disk."""

    def __init__(self, stored: StoredState) -> None:
        """Restore log, memberships and snapshot from the state read from disk."""
        self.durability = DurabilityQueue()
        self.snapshot = stored.snapshot
        self.entries = _stored_entries(stored)
        self.memberships = _stored_memberships(stored)
        self._next_part = _first_free_part(stored.snapshot)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries and queue them for the disk."""
        for entry in entries:
            self.entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self.memberships.append(entry.index, decode_membership(entry.payload))
        self.durability.add(SaveEntries(entries))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on; on disk the next append replaces them."""
        self.entries.truncate_from(index)
        self.memberships.truncate_from(index)

    def new_part(self, data: bytes) -> SnapshotPart:
        """Return a snapshot part with the next free number."""
        part = SnapshotPart(self._next_part, data)
        self._next_part += 1
        return part

    def save_part(self, part: SnapshotPart) -> None:
        """Queue a part for the disk, before the snapshot that will refer to it."""
        self.durability.add(SaveSnapshotPart(part))

    def compact(
        self, index: int, parts: tuple[SnapshotPart, ...], first_kept_index: int
    ) -> None:
        """Set the snapshot of the state after the entry at ``index``; drop old entries.

        Entries after ``first_kept_index`` are retained, and the term of the entry at it.
        """
        term = self.entries.term_at(index)
        assert term is not None
        membership = self.memberships.at(index)
        self.snapshot = StateSnapshot(index, term, membership, parts)
        self.entries.compact(first_kept_index)
        self.durability.add(SaveSnapshot(self.snapshot, self.entries.base_index))

    def install(self, snapshot: StateSnapshot) -> None:
        """Replace the log and memberships by a snapshot that is ahead of them."""
        self.snapshot = snapshot
        self.entries = ReplicatedLog(snapshot.index, snapshot.term)
        self.memberships = MembershipHistory(snapshot.index, snapshot.membership)
        self.durability.add(InstallSnapshot(snapshot))


def _first_free_part(snapshot: StateSnapshot | None) -> int:
    numbers = [] if snapshot is None else [part.number for part in snapshot.parts]
    return max(numbers, default=0) + 1


def _stored_entries(stored: StoredState) -> ReplicatedLog:
    snapshot = stored.snapshot
    entries = stored.entries
    if snapshot is None:
        return ReplicatedLog(0, 0, entries)
    if entries and entries[0].index <= snapshot.index:
        return ReplicatedLog(entries[0].index, entries[0].term, entries[1:])
    return ReplicatedLog(snapshot.index, snapshot.term, entries)


def _stored_memberships(stored: StoredState) -> MembershipHistory:
    snapshot = stored.snapshot
    if snapshot is None:
        history = MembershipHistory(0, EMPTY_MEMBERSHIP)
    else:
        history = MembershipHistory(snapshot.index, snapshot.membership)
    first = 0 if snapshot is None else snapshot.index
    for entry in stored.entries:
        if entry.kind is EntryKind.MEMBERSHIP and entry.index > first:
            history.append(entry.index, decode_membership(entry.payload))
    return history
