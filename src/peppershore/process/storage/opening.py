"""Opening and creating a replica's store, and the checks of its file."""

from __future__ import annotations

import os
import secrets
import sqlite3
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.messages.consensus import LogEntry
from peppershore.process.consensus.membership import decode_membership
from peppershore.process.consensus.records import (
    HardState,
    SnapshotPart,
    StateSnapshot,
    StoredState,
)
from peppershore.process.storage.errors import StoreRefusal, StoreRefused
from peppershore.process.storage.log_store import LogStore, code_of
from peppershore.process.storage.rows import (
    SNAPSHOT_KIND,
    DamagedStoreError,
    Owner,
    load_entries,
    load_hard_state,
    load_owner,
    load_snapshot,
    write_hard_state,
    write_owner,
    write_part,
    write_snapshot,
)
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
BLANK_GROUP = 0

_UNREADABLE_CODES = frozenset({sqlite3.SQLITE_CANTOPEN, sqlite3.SQLITE_PERM})
_IN_USE_CODES = frozenset({sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED})


class OpenedStore(msgspec.Struct, frozen=True):
    """An open store, and the state that it held when it was opened."""

    store: LogStore
    stored: StoredState


def open_store(
    folder: Path, cluster: str, replica: str
) -> Result[OpenedStore, StoreRefused]:
    """Open the store in ``folder``, or create it; return it with its stored state.

    Refuse a file that is damaged, in use, unreadable, of a newer format, or that belongs
    to another replica.
    """
    path = folder / FILE_NAME
    try:
        _create_folder(folder)
        connection = _connect(path)
    except (OSError, sqlite3.Error) as problem:
        return Failure(_refused(path, problem))
    try:
        opened = _load_or_create(connection, path, cluster, replica)
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


def _load_or_create(
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
    owner = load_owner(connection)
    if (owner.cluster, owner.replica) != (cluster, replica):
        detail = f"the file belongs to replica {owner.replica} of cluster {owner.cluster}"
        return Failure(StoreRefused(str(path), StoreRefusal.OTHER_OWNER, detail))
    stored = _load(connection, owner)
    parts = _drop_unused_parts(connection, stored.snapshot)
    return Success(OpenedStore(LogStore(connection, owner, stored, parts), stored))


def _set_durable(connection: sqlite3.Connection) -> None:
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")


def _create(connection: sqlite3.Connection, path: Path, cluster: str, replica: str) -> None:
    _set_durable(connection)
    identity = secrets.randbits(IDENTITY_BITS)
    connection.execute("BEGIN IMMEDIATE")
    for statement in CREATE_TABLES.split(";"):
        connection.execute(statement)
    write_owner(connection, Owner(cluster, replica, identity, BLANK_GROUP))
    write_hard_state(connection, HardState())
    connection.execute(f"PRAGMA application_id={APPLICATION_ID}")
    connection.execute(f"PRAGMA user_version={FORMAT_VERSION}")
    connection.execute("COMMIT")
    _sync_folder(path.parent)


def _upgrade_from_first_format(connection: sqlite3.Connection) -> None:
    """Add checksums to the single-row tables; move the snapshot's state into a part."""
    owner = connection.execute(
        "SELECT cluster, replica, identity, group_id FROM owner"
    ).fetchone()
    hard_state = connection.execute("SELECT term, voted_for FROM hard_state").fetchone()
    if owner is None or hard_state is None:
        raise DamagedStoreError("the store misses its first rows")
    row = connection.execute(
        "SELECT position, term, membership, state, checksum FROM snapshot"
    ).fetchone()
    connection.execute("BEGIN IMMEDIATE")
    for statement in UPGRADE_FROM_FIRST_FORMAT.split(";"):
        connection.execute(statement)
    write_owner(connection, Owner(*owner))
    write_hard_state(connection, HardState(*hard_state))
    if row is not None:
        position, term, membership, state, checksum = row
        if checksum != checksum_of(position, term, SNAPSHOT_KIND, membership + state):
            raise DamagedStoreError(f"checksum of the snapshot at {position}")
        part = SnapshotPart(1, state)
        snapshot = StateSnapshot(position, term, decode_membership(membership), (part,))
        write_part(connection, part)
        write_snapshot(connection, snapshot, [part.number])
    connection.execute(f"PRAGMA user_version={FORMAT_VERSION}")
    connection.execute("COMMIT")


def _drop_unused_parts(
    connection: sqlite3.Connection, snapshot: StateSnapshot | None
) -> frozenset[int]:
    """Delete parts of unfinished snapshots; return the numbers of the parts in use."""
    used = frozenset(part.number for part in snapshot.parts) if snapshot else frozenset()
    stored = connection.execute("SELECT number FROM snapshot_parts").fetchall()
    unused = [row for row in stored if row[0] not in used]
    if unused:
        connection.execute("BEGIN IMMEDIATE")
        connection.executemany("DELETE FROM snapshot_parts WHERE number = ?", unused)
        connection.execute("COMMIT")
    return used


def _create_folder(folder: Path) -> None:
    """Create a folder and its parents, synced so that they survive a loss of power."""
    if folder.is_dir():
        return
    _create_folder(folder.parent)
    folder.mkdir(mode=PRIVATE_MODE, exist_ok=True)
    _sync_folder(folder.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _check_pages(connection: sqlite3.Connection) -> None:
    result = connection.execute("PRAGMA quick_check(1)").fetchone()[0]
    if result != "ok":
        raise DamagedStoreError(str(result))


def _load(connection: sqlite3.Connection, owner: Owner) -> StoredState:
    hard_state = load_hard_state(connection)
    snapshot = load_snapshot(connection)
    entries = load_entries(connection)
    _check_order(snapshot, entries)
    return StoredState(owner.identity, owner.group_id, hard_state, snapshot, entries)


def _check_order(snapshot: StateSnapshot | None, entries: tuple[LogEntry, ...]) -> None:
    if not entries:
        return
    highest_first = 1 if snapshot is None else snapshot.index + 1
    if entries[0].index > highest_first:
        raise DamagedStoreError(f"entries between {highest_first} and {entries[0].index}")


def _pragma(connection: sqlite3.Connection, name: str) -> int:
    return int(connection.execute(f"PRAGMA {name}").fetchone()[0])


def _refused(path: Path, problem: Exception) -> StoreRefused:
    refusal = StoreRefusal.DAMAGED
    if isinstance(problem, OSError) or code_of(problem) in _UNREADABLE_CODES:
        refusal = StoreRefusal.UNREADABLE
    elif code_of(problem) in _IN_USE_CODES:
        refusal = StoreRefusal.IN_USE
    return StoreRefused(str(path), refusal, str(problem))
