"""Reading and writing of the rows of a replica's store, each with a checksum."""

from __future__ import annotations

import sqlite3

import msgspec

from peppershore.connection.messages.consensus import EntryKind, LogEntry
from peppershore.process.consensus.membership import decode_membership, encode_membership
from peppershore.process.consensus.records import (
    HardState,
    SnapshotPart,
    StateSnapshot,
)
from peppershore.process.storage.schema import checksum_of

SNAPSHOT_KIND = -1
PART_KIND = -2
HARD_STATE_KIND = -3
OWNER_KIND = -4
"""Kinds of rows in checksums; negative, so they differ from the kinds of log entries."""


class DamagedStoreError(Exception):
    """A row of the store is missing or doesn't match its checksum or its neighbours.

    Raised and caught inside this package only.
    """


class Owner(msgspec.Struct, frozen=True):
    """The replica that a store belongs to.

    ``identity`` is a random number chosen when the store was created; ``group_id`` is the
    replica's group.
    """

    cluster: str
    replica: str
    identity: int
    group_id: int

    @property
    def checksum(self) -> int:
        """Checksum of the row of the table ``owner`` that holds these values."""
        names = f"{self.cluster}/{self.replica}".encode()
        return checksum_of(self.identity, self.group_id, OWNER_KIND, names)


def write_owner(connection: sqlite3.Connection, owner: Owner) -> None:
    """Write the row that names the replica to which the store belongs."""
    row = (owner.cluster, owner.replica, owner.identity, owner.group_id, owner.checksum)
    connection.execute("REPLACE INTO owner VALUES (1, ?, ?, ?, ?, ?)", row)


def load_owner(connection: sqlite3.Connection) -> Owner:
    """Load the row that names the replica to which the store belongs.

    Raise ``DamagedStoreError`` if the row is missing or not valid.
    """
    row = connection.execute(
        "SELECT cluster, replica, identity, group_id, checksum FROM owner"
    ).fetchone()
    if row is None:
        raise DamagedStoreError("the store names no owner")
    owner = Owner(*row[:-1])
    if row[-1] != owner.checksum:
        raise DamagedStoreError("checksum of the owner")
    return owner


def write_hard_state(connection: sqlite3.Connection, state: HardState) -> None:
    """Write the row with the replica's current term and its vote in it."""
    row = (state.term, state.voted_for, _checksum_of_hard_state(state))
    connection.execute("REPLACE INTO hard_state VALUES (1, ?, ?, ?)", row)


def load_hard_state(connection: sqlite3.Connection) -> HardState:
    """Load the replica's current term and its vote in it.

    Raise ``DamagedStoreError`` if the row is missing or not valid.
    """
    row = connection.execute("SELECT term, voted_for, checksum FROM hard_state").fetchone()
    if row is None:
        raise DamagedStoreError("the store holds no term")
    state = HardState(row[0], row[1])
    if row[2] != _checksum_of_hard_state(state):
        raise DamagedStoreError("checksum of the term and vote")
    return state


def _checksum_of_hard_state(state: HardState) -> int:
    return checksum_of(state.term, 0, HARD_STATE_KIND, state.voted_for.encode())


def write_entries(connection: sqlite3.Connection, entries: tuple[LogEntry, ...]) -> None:
    """Add entries to the table of log entries; their indexes must be new."""
    rows = [
        (
            entry.index,
            entry.term,
            int(entry.kind),
            entry.payload,
            checksum_of(entry.index, entry.term, int(entry.kind), entry.payload),
        )
        for entry in entries
    ]
    connection.executemany("INSERT INTO entries VALUES (?, ?, ?, ?, ?)", rows)


def write_part(connection: sqlite3.Connection, part: SnapshotPart) -> None:
    """Write a part of a snapshot."""
    checksum = checksum_of(part.number, 0, PART_KIND, part.data)
    connection.execute(
        "REPLACE INTO snapshot_parts VALUES (?, ?, ?)", (part.number, part.data, checksum)
    )


def write_snapshot(
    connection: sqlite3.Connection, snapshot: StateSnapshot, numbers: list[int]
) -> None:
    """Write the snapshot's row, which lists the numbers of its stored parts."""
    membership = encode_membership(snapshot.membership)
    parts = msgspec.msgpack.encode(numbers)
    checksum = checksum_of(snapshot.index, snapshot.term, SNAPSHOT_KIND, membership + parts)
    connection.execute(
        "REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?)",
        (snapshot.index, snapshot.term, membership, parts, checksum),
    )


def load_snapshot(connection: sqlite3.Connection) -> StateSnapshot | None:
    """Load the snapshot with its parts, or return None if there is none.

    Raise ``DamagedStoreError`` if a row is missing or not valid.
    """
    row = connection.execute(
        "SELECT position, term, membership, parts, checksum FROM snapshot"
    ).fetchone()
    if row is None:
        return None
    position, term, membership, parts, checksum = row
    if checksum != checksum_of(position, term, SNAPSHOT_KIND, membership + parts):
        raise DamagedStoreError(f"checksum of the snapshot at {position}")
    numbers = msgspec.msgpack.decode(parts, type=list[int])
    loaded = tuple(_load_part(connection, number) for number in numbers)
    return StateSnapshot(position, term, decode_membership(membership), loaded)


def _load_part(connection: sqlite3.Connection, number: int) -> SnapshotPart:
    row = connection.execute(
        "SELECT data, checksum FROM snapshot_parts WHERE number = ?", (number,)
    ).fetchone()
    if row is None:
        raise DamagedStoreError(f"part {number} of the snapshot is missing")
    data, checksum = row
    if checksum != checksum_of(number, 0, PART_KIND, data):
        raise DamagedStoreError(f"checksum of part {number} of the snapshot")
    return SnapshotPart(number, data)


def load_entries(connection: sqlite3.Connection) -> tuple[LogEntry, ...]:
    """Load the log; raise ``DamagedStoreError`` on a gap or a wrong checksum."""
    rows = connection.execute(
        "SELECT position, term, kind, payload, checksum FROM entries ORDER BY position"
    )
    entries: list[LogEntry] = []
    for position, term, kind, payload, checksum in rows:
        if checksum != checksum_of(position, term, kind, payload):
            raise DamagedStoreError(f"checksum of the entry at {position}")
        if entries and position != entries[-1].index + 1:
            raise DamagedStoreError(f"no entry before {position}")
        entries.append(LogEntry(position, term, EntryKind(kind), payload))
    return tuple(entries)
