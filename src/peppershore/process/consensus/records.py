"""What a replica keeps on disk, and the durable writes its core asks for.

The records of one ``PersistLog`` become durable together or not at all, and
in the order in which the core gave them.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.consensus import LogEntry, Membership
from peppershore.process.commands import PersistRecords
from peppershore.version.hidden import describe


class HardState(msgspec.Struct, frozen=True):
    """The newest term seen and the replica voted for in it ("" for nobody)."""

    term: int = 0
    voted_for: str = ""


class SnapshotPart(msgspec.Struct, frozen=True):
    """A piece of an encoded state; its store never uses ``number`` again."""

    number: int
    data: bytes

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class StateSnapshot(msgspec.Struct, frozen=True):
    """State of the state machine after applying the entry at ``index``.

    The state is the parts put together; a part may be that of an older snapshot.
    """

    index: int
    term: int
    membership: Membership
    parts: tuple[SnapshotPart, ...]

    @property
    def size(self) -> int:
        """Bytes of the state."""
        return sum(len(part.data) for part in self.parts)

    @property
    def state(self) -> bytes:
        """The whole state, copied together."""
        return b"".join(part.data for part in self.parts)

    def piece(self, start: int, end: int) -> bytes:
        """The bytes of the state from ``start`` up to ``end``."""
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
    """All that a store holds when its replica starts.

    ``identity`` was drawn when the store was made.  ``group_id`` names the
    group's founding membership; 0 means that the store is blank.
    """

    identity: int
    group_id: int = 0
    hard_state: HardState = HardState()
    snapshot: StateSnapshot | None = None
    entries: tuple[LogEntry, ...] = ()


class SaveHardState(msgspec.Struct, frozen=True):
    """Replace term and vote."""

    hard_state: HardState


class SaveGroup(msgspec.Struct, frozen=True):
    """Note for good which group this store belongs to."""

    group_id: int


class SaveEntries(msgspec.Struct, frozen=True):
    """Drop every stored entry from the first given index on, then append."""

    entries: tuple[LogEntry, ...]


class SaveSnapshotPart(msgspec.Struct, frozen=True):
    """Keep a part of a snapshot that is being made; it counts once named by one."""

    part: SnapshotPart


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Replace the snapshot and drop the entries before ``first_kept_index``,
    which itself stays for its term.

    Parts that are stored are not written again; those not named any more go.
    """

    snapshot: StateSnapshot
    first_kept_index: int


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Replace the snapshot and drop all entries: the log goes on after it."""

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
    """Make the records durable, in order and all together.

    After a failed write the shell refuses every later one but a ``retry``, which
    holds all records that are not durable.
    """

    records: tuple[Record, ...]
    retry: bool = False
