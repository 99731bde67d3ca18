"""What a replica keeps on disk, and the durable writes its core asks for.

The records of one ``PersistLog`` become durable together or not at all, and
in the order in which the core gave them.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages import LogEntry, Membership
from peppershore.process.commands import PersistRecords
from peppershore.version.hidden import describe


class HardState(msgspec.Struct, frozen=True):
    """The newest term seen and the replica voted for in it ("" for nobody)."""

    term: int = 0
    voted_for: str = ""


class StateSnapshot(msgspec.Struct, frozen=True):
    """State of the state machine after applying the entry at ``index``."""

    index: int
    term: int
    membership: Membership
    state: bytes

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


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


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Replace the snapshot and drop the entries before ``first_kept_index``,
    which itself stays for its term."""

    snapshot: StateSnapshot
    first_kept_index: int


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Replace the snapshot and drop all entries: the log goes on after it."""

    snapshot: StateSnapshot


Record = SaveHardState | SaveGroup | SaveEntries | SaveSnapshot | InstallSnapshot


class PersistLog(PersistRecords, frozen=True):
    """Make the records durable, in order and all together.

    After a failed write the shell refuses every later one but a ``retry``, which
    holds all records that are not durable.
    """

    records: tuple[Record, ...]
    retry: bool = False
