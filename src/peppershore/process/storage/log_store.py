"""A replica's durable log in one SQLite file.

Write-ahead journal, ``synchronous=FULL`` (a commit returns after the sync) and
an exclusive lock, with which SQLite keeps its journal index in the process's
own memory instead of in shared memory.
"""

from __future__ import annotations

import os
import secrets
import sqlite3
from functools import singledispatchmethod
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.messages import EntryKind, LogEntry
from peppershore.process.consensus.membership import decode_membership, encode_membership
from peppershore.process.consensus.records import (
    HardState,
    InstallSnapshot,
    Record,
    SaveEntries,
    SaveGroup,
    SaveHardState,
    SaveSnapshot,
    SaveSnapshotPart,
    SnapshotPart,
    StateSnapshot,
    StoredState,
)
from peppershore.process.storage.errors import StoreFailed, StoreRefusal, StoreRefused
from peppershore.process.storage.schema import (
    APPLICATION_ID,
    CREATE_TABLES,
    FIRST_FORMAT,
    FORMAT_VERSION,
    UPGRADE_FROM_FIRST_FORMAT,
    checksum_of,
)

FILE_NAME = "replica.sqlite"
PRIVATE_MODE = 0o700
IDENTITY_BITS = 63
SNAPSHOT_KIND = -1
PART_KIND = -2
DROPPED_PER_WRITE = 1_000
"""Old entries dropped with one commit at most: dropping many takes as long as a
disk's sync several times over, and they do no harm meanwhile."""

DISK_FULL_CODES = frozenset({sqlite3.SQLITE_FULL})

_UNREADABLE_CODES = frozenset({sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_PERM})
_IN_USE_CODES = frozenset({sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED})


class DamagedStoreError(Exception):
    """Inside this module: a row contradicts its checksum or its neighbours."""


class LogStore:
    """An open store; only one process can have it open."""

    def __init__(
        self, connection: sqlite3.Connection, stored: StoredState, parts: frozenset[int]
    ) -> None:
        """Use ``open_store``."""
        self._connection = connection
        self._last_index = _last_index(stored)
        entries = stored.entries
        self._first_index = entries[0].index if entries else self._last_index + 1
        self._first_kept_index = self._first_index
        self._parts = parts
        self._broken = False

    def write(self, records: list[Record]) -> Result[None, StoreFailed]:
        """Make all records durable in one synced commit, or none of them."""
        if self._broken:
            return Failure(StoreFailed("the store is closed after an error", final=True))
        before = (
            self._last_index,
            self._first_index,
            self._first_kept_index,
            self._parts,
        )
        try:
            self._connection.execute("BEGIN IMMEDIATE")
            for record in records:
                self._apply(record)
            self._drop_some_entries()
            self._connection.execute("COMMIT")
        except sqlite3.Error as problem:
            (
                self._last_index,
                self._first_index,
                self._first_kept_index,
                self._parts,
            ) = before
            return Failure(self._failed(problem))
        return Success(None)

    def close(self) -> None:
        """Close the file and release its lock."""
        self._connection.close()

    def limit_pages(self, pages: int) -> None:
        """Refuse to grow beyond so many pages, as a full disk would."""
        self._connection.execute(f"PRAGMA max_page_count={pages}")

    def _drop_some_entries(self) -> None:
        if self._first_index >= self._first_kept_index:
            return
        first = min(self._first_index + DROPPED_PER_WRITE, self._first_kept_index)
        self._connection.execute("DELETE FROM entries WHERE position < ?", (first,))
        self._first_index = first

    def _failed(self, problem: sqlite3.Error) -> StoreFailed:
        """After a failed sync nobody knows what the disk holds: no second try."""
        final = _code_of(problem) not in DISK_FULL_CODES
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error:
            final = True
        if final:
            self._broken = True
        return StoreFailed(str(problem), final)

    @singledispatchmethod
    def _apply(self, record: Record) -> None:
        raise AssertionError(f"no table for {type(record).__name__}")

    @_apply.register
    def _save_hard_state(self, record: SaveHardState) -> None:
        self._connection.execute(
            "REPLACE INTO hard_state VALUES (1, ?, ?)",
            (record.hard_state.term, record.hard_state.voted_for),
        )

    @_apply.register
    def _save_group(self, record: SaveGroup) -> None:
        self._connection.execute("UPDATE owner SET group_id = ?", (record.group_id,))

    @_apply.register
    def _save_entries(self, record: SaveEntries) -> None:
        first = record.entries[0].index
        assert first <= self._last_index + 1, "the stored log would have a gap"
        if first <= self._last_index:
            self._connection.execute("DELETE FROM entries WHERE position >= ?", (first,))
        rows = [
            (
                entry.index,
                entry.term,
                int(entry.kind),
                entry.payload,
                checksum_of(entry.index, entry.term, int(entry.kind), entry.payload),
            )
            for entry in record.entries
        ]
        self._connection.executemany("INSERT INTO entries VALUES (?, ?, ?, ?, ?)", rows)
        self._last_index = record.entries[-1].index

    @_apply.register
    def _save_snapshot_part(self, record: SaveSnapshotPart) -> None:
        _write_part(self._connection, record.part)
        self._parts |= {record.part.number}

    @_apply.register
    def _save_snapshot(self, record: SaveSnapshot) -> None:
        self._replace_snapshot(record.snapshot)
        self._first_kept_index = record.first_kept_index

    @_apply.register
    def _install_snapshot(self, record: InstallSnapshot) -> None:
        self._connection.execute("DELETE FROM snapshot_parts")
        self._parts = frozenset()
        self._replace_snapshot(record.snapshot)
        self._connection.execute("DELETE FROM entries")
        self._last_index = record.snapshot.index
        self._first_index = self._first_kept_index = self._last_index + 1

    def _replace_snapshot(self, snapshot: StateSnapshot) -> None:
        """Write what parts are missing, then name them all; drop the others."""
        for part in snapshot.parts:
            if part.number not in self._parts:
                _write_part(self._connection, part)
        numbers = [part.number for part in snapshot.parts]
        _write_snapshot(self._connection, snapshot, numbers)
        unused = self._parts - frozenset(numbers)
        self._connection.executemany(
            "DELETE FROM snapshot_parts WHERE number = ?",
            [(number,) for number in unused],
        )
        self._parts = frozenset(numbers)


def _write_part(connection: sqlite3.Connection, part: SnapshotPart) -> None:
    checksum = checksum_of(part.number, 0, PART_KIND, part.data)
    connection.execute(
        "REPLACE INTO snapshot_parts VALUES (?, ?, ?)", (part.number, part.data, checksum)
    )


def _write_snapshot(
    connection: sqlite3.Connection, snapshot: StateSnapshot, numbers: list[int]
) -> None:
    membership = encode_membership(snapshot.membership)
    parts = msgspec.msgpack.encode(numbers)
    checksum = checksum_of(snapshot.index, snapshot.term, SNAPSHOT_KIND, membership + parts)
    connection.execute(
        "REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?)",
        (snapshot.index, snapshot.term, membership, parts, checksum),
    )


class OpenedStore(msgspec.Struct, frozen=True):
    """A store and what it held when it was opened."""

    store: LogStore
    stored: StoredState


def open_store(
    folder: Path, cluster: str, replica: str
) -> Result[OpenedStore, StoreRefused]:
    """Open the store in ``folder``, or make it; refuse what isn't whole and ours."""
    path = folder / FILE_NAME
    try:
        folder.mkdir(mode=PRIVATE_MODE, parents=True, exist_ok=True)
        connection = _connect(path)
    except (OSError, sqlite3.Error) as problem:
        return Failure(_refused(path, problem))
    try:
        opened = _take_up(connection, path, cluster, replica)
    except (DamagedStoreError, msgspec.DecodeError, ValueError, TypeError) as problem:
        opened = Failure(StoreRefused(str(path), StoreRefusal.DAMAGED, str(problem)))
    except sqlite3.Error as problem:
        opened = Failure(_refused(path, problem))
    if isinstance(opened, Failure):
        connection.close()
    return opened


def _connect(path: Path) -> sqlite3.Connection:
    connection = sqlite3.connect(path, isolation_level=None, timeout=0)
    connection.execute("PRAGMA locking_mode=EXCLUSIVE")
    return connection


def _take_up(
    connection: sqlite3.Connection, path: Path, cluster: str, replica: str
) -> Result[OpenedStore, StoreRefused]:
    application = _pragma(connection, "application_id")
    version = _pragma(connection, "user_version")
    tables = connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
    if application == 0 and tables == 0:
        _create(connection, path, cluster, replica)
    elif application != APPLICATION_ID:
        detail = "the file is no store of this program"
        return Failure(StoreRefused(str(path), StoreRefusal.DAMAGED, detail))
    elif version > FORMAT_VERSION:
        detail = f"the file has format {version}, this program knows {FORMAT_VERSION}"
        return Failure(StoreRefused(str(path), StoreRefusal.NEWER_FORMAT, detail))
    else:
        _set_durable(connection)
        _check_pages(connection)
        if version == FIRST_FORMAT:
            _upgrade_from_first_format(connection)
    owner = connection.execute("SELECT cluster, replica FROM owner").fetchone()
    if owner is None:
        raise DamagedStoreError("the store names no owner")
    if tuple(owner) != (cluster, replica):
        detail = f"the file belongs to replica {owner[1]} of cluster {owner[0]}"
        return Failure(StoreRefused(str(path), StoreRefusal.OTHER_OWNER, detail))
    stored = _load(connection)
    parts = _drop_unused_parts(connection, stored.snapshot)
    return Success(OpenedStore(LogStore(connection, stored, parts), stored))


def _last_index(stored: StoredState) -> int:
    last = stored.entries[-1].index if stored.entries else 0
    if stored.snapshot is not None:
        last = max(last, stored.snapshot.index)
    return last


def _set_durable(connection: sqlite3.Connection) -> None:
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")


def _create(connection: sqlite3.Connection, path: Path, cluster: str, replica: str) -> None:
    _set_durable(connection)
    identity = secrets.randbits(IDENTITY_BITS)
    connection.execute("BEGIN IMMEDIATE")
    for statement in CREATE_TABLES.split(";"):
        connection.execute(statement)
    connection.execute(
        "INSERT INTO owner VALUES (1, ?, ?, ?, 0)", (cluster, replica, identity)
    )
    connection.execute("INSERT INTO hard_state VALUES (1, 0, '')")
    connection.execute(f"PRAGMA application_id={APPLICATION_ID}")
    connection.execute(f"PRAGMA user_version={FORMAT_VERSION}")
    connection.execute("COMMIT")
    _sync_folder(path.parent)


def _upgrade_from_first_format(connection: sqlite3.Connection) -> None:
    """Move the state of the one snapshot, if any, into a part of its own."""
    row = connection.execute(
        "SELECT position, term, membership, state, checksum FROM snapshot"
    ).fetchone()
    connection.execute("BEGIN IMMEDIATE")
    for statement in UPGRADE_FROM_FIRST_FORMAT.split(";"):
        connection.execute(statement)
    if row is not None:
        position, term, membership, state, checksum = row
        if checksum != checksum_of(position, term, SNAPSHOT_KIND, membership + state):
            raise DamagedStoreError(f"checksum of the snapshot at {position}")
        part = SnapshotPart(1, state)
        snapshot = StateSnapshot(position, term, decode_membership(membership), (part,))
        _write_part(connection, part)
        _write_snapshot(connection, snapshot, [part.number])
    connection.execute(f"PRAGMA user_version={FORMAT_VERSION}")
    connection.execute("COMMIT")


def _drop_unused_parts(
    connection: sqlite3.Connection, snapshot: StateSnapshot | None
) -> frozenset[int]:
    """Drop the parts of a snapshot that was not finished; give those in use."""
    used = frozenset(part.number for part in snapshot.parts) if snapshot else frozenset()
    stored = connection.execute("SELECT number FROM snapshot_parts").fetchall()
    unused = [row for row in stored if row[0] not in used]
    if unused:
        connection.execute("BEGIN IMMEDIATE")
        connection.executemany("DELETE FROM snapshot_parts WHERE number = ?", unused)
        connection.execute("COMMIT")
    return used


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _check_pages(connection: sqlite3.Connection) -> None:
    verdict = connection.execute("PRAGMA quick_check(1)").fetchone()[0]
    if verdict != "ok":
        raise DamagedStoreError(str(verdict))


def _load(connection: sqlite3.Connection) -> StoredState:
    owner = connection.execute("SELECT identity, group_id FROM owner").fetchone()
    hard = connection.execute("SELECT term, voted_for FROM hard_state").fetchone()
    if owner is None or hard is None:
        raise DamagedStoreError("the store misses its first rows")
    snapshot = _load_snapshot(connection)
    entries = _load_entries(connection)
    _check_order(snapshot, entries)
    return StoredState(owner[0], owner[1], HardState(hard[0], hard[1]), snapshot, entries)


def _load_snapshot(connection: sqlite3.Connection) -> StateSnapshot | None:
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


def _load_entries(connection: sqlite3.Connection) -> tuple[LogEntry, ...]:
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


def _check_order(snapshot: StateSnapshot | None, entries: tuple[LogEntry, ...]) -> None:
    if not entries:
        return
    highest_first = 1 if snapshot is None else snapshot.index + 1
    if entries[0].index > highest_first:
        raise DamagedStoreError(f"entries between {highest_first} and {entries[0].index}")


def _pragma(connection: sqlite3.Connection, name: str) -> int:
    return int(connection.execute(f"PRAGMA {name}").fetchone()[0])


def _code_of(problem: BaseException) -> int:
    """The primary SQLite result code of an error; 0 if it has none."""
    return int(getattr(problem, "sqlite_errorcode", 0)) & 0xFF


def _refused(path: Path, problem: Exception) -> StoreRefused:
    refusal = StoreRefusal.DAMAGED
    if isinstance(problem, OSError) or _code_of(problem) in _UNREADABLE_CODES:
        refusal = StoreRefusal.UNREADABLE
    elif _code_of(problem) in _IN_USE_CODES:
        refusal = StoreRefusal.IN_USE
    return StoreRefused(str(path), refusal, str(problem))
