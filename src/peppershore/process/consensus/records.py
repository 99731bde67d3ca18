"""Stored state of a replica, and the records that change it durably.

The records of one ``PersistLog`` become durable atomically, and in the order in which
the core issued them.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.consensus import LogEntry, Membership
from peppershore.process.commands import PersistRecords
from peppershore.version.hidden import describe


class HardState(msgspec.Struct, frozen=True):
    """The newest term seen and the replica voted for in it; "" if none."""

    term: int = 0
    voted_for: str = ""


class SnapshotPart(msgspec.Struct, frozen=True):
    """A part of an encoded state; a store never reuses its ``number``."""

    number: int
    data: bytes

    def __repr__(self) -> str:
        """Return a representation that shows only the length of the data."""
        return describe(self)


class StateSnapshot(msgspec.Struct, frozen=True):
    """State of the state machine after applying the entry at ``index``.

    The state is the concatenation of the parts; a part may be shared with an older
    snapshot.
    """

    index: int
    term: int
    membership: Membership
    parts: tuple[SnapshotPart, ...]

    @property
    def size(self) -> int:
        """Size of the state in bytes."""
        return sum(len(part.data) for part in self.parts)

    @property
    def state(self) -> bytes:
        """The complete state, copied into one byte string."""
        return b"".join(part.data for part in self.parts)

    def piece(self, start: int, end: int) -> bytes:
        """Return the bytes of the state from ``start`` up to before ``end``."""
        found: list[bytes] = []
        offset = 0
        for part in self.parts:
            low, high = max(0, start - offset), end - offset
            if high <= 0:
                break
            found.append(part.data[low:high])
            offset += len(part.data)
        return b"".join(found)


class StoredState(msgspec.Struct, frozen=True):
    """Content of a store when its replica starts.

    ``identity`` was chosen at random when the store was created. ``group_id`` identifies
    the group by its founding membership; 0 means that the store is blank. ``first_seeds``
    are the addresses of the hubs that found the group, if this is a hub's store that was
    made at the cluster's very first start; else empty.
    """

    identity: int
    group_id: int = 0
    hard_state: HardState = HardState()
    snapshot: StateSnapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    first_seeds: tuple[str, ...] = ()


class SaveHardState(msgspec.Struct, frozen=True):
    """Replace the stored term and vote."""

    hard_state: HardState


class SaveGroup(msgspec.Struct, frozen=True):
    """Record permanently which group this store belongs to."""

    group_id: int


class SaveEntries(msgspec.Struct, frozen=True):
    """Drop the stored entries from the index of the first new one on, then append."""

    entries: tuple[LogEntry, ...]


class SaveSnapshotPart(msgspec.Struct, frozen=True):
    """Store a part of a snapshot in progress; unused until a ``SaveSnapshot`` names it."""

    part: SnapshotPart


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Replace the stored snapshot and drop the entries before ``first_kept_index``.

    The entry at ``first_kept_index`` is retained for its term. Parts that are stored
    already are not written again; parts that the snapshot does not name are deleted.
    """

    snapshot: StateSnapshot
    first_kept_index: int


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Replace the stored snapshot and drop all entries; the log continues after it."""

    snapshot: StateSnapshot


Record = (
    SaveHardState
    | SaveGroup
    | SaveEntries
    | SaveSnapshotPart
    | SaveSnapshot
    | InstallSnapshot
)


class PersistLog(PersistRecords, frozen=True):
    """Make the records durable, in order and atomically.

    After a failed write the shell rejects all writes until one with ``retry``, which
    contains all records that are not durable.
    """

    records: tuple[Record, ...]
    retry: bool = False
