"""The replica's log, memberships and snapshot; each change also becomes a record."""

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

MAX_KEPT_FACTOR = 10
"""A snapshot under way holds back at most so many times the entries kept."""


def compaction_point(snapshot_index: int, kept: int, under_way: int | None) -> int:
    """First entry to keep: some for peers behind, more while one gets a snapshot.

    ``under_way`` is the index of the oldest snapshot that a peer is receiving.
    """
    point = snapshot_index - kept
    if under_way is None:
        return point
    return max(min(point, under_way), snapshot_index - MAX_KEPT_FACTOR * kept)


class DurableLog:
    """What this replica holds of the group's log, in memory and on its way to disk."""

    def __init__(self, stored: StoredState) -> None:
        """Take up what the store holds."""
        self.durability = DurabilityQueue()
        self.snapshot = stored.snapshot
        self.entries = _stored_entries(stored)
        self.memberships = _stored_memberships(stored)
        self._next_part = _first_free_part(stored.snapshot)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries at the end."""
        for entry in entries:
            self.entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self.memberships.append(entry.index, decode_membership(entry.payload))
        self.durability.add(SaveEntries(entries))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on; the next append replaces them on disk."""
        self.entries.truncate_from(index)
        self.memberships.truncate_from(index)

    def new_part(self, data: bytes) -> SnapshotPart:
        """Give a piece of an encoded state its number."""
        part = SnapshotPart(self._next_part, data)
        self._next_part += 1
        return part

    def save_part(self, part: SnapshotPart) -> None:
        """Write a part ahead of the snapshot that will name it."""
        self.durability.add(SaveSnapshotPart(part))

    def compact(
        self, index: int, parts: tuple[SnapshotPart, ...], first_kept_index: int
    ) -> None:
        """Keep the state after the entry at ``index``, and the first kept entries on."""
        term = self.entries.term_at(index)
        assert term is not None
        membership = self.memberships.at(index)
        self.snapshot = StateSnapshot(index, term, membership, parts)
        self.entries.compact(first_kept_index)
        self.durability.add(SaveSnapshot(self.snapshot, self.entries.base_index))

    def install(self, snapshot: StateSnapshot) -> None:
        """Replace everything by a snapshot that is ahead of it."""
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
