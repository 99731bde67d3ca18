"""Writes to the durable log of a replica, which is one SQLite file.

The file uses a write-ahead log, ``synchronous=FULL`` (a commit returns after the sync) and
an exclusive lock, with which SQLite holds the index of the write-ahead log in the memory
of the process instead of in shared memory.
"""

from __future__ import annotations

import sqlite3
from functools import singledispatchmethod

import msgspec
from returns.result import Failure, Result, Success

from peppershore.process.consensus.records import (
    InstallSnapshot,
    Record,
    SaveEntries,
    SaveGroup,
    SaveHardState,
    SaveSnapshot,
    SaveSnapshotPart,
    StateSnapshot,
    StoredState,
)
from peppershore.process.storage.errors import StoreFailed
from peppershore.process.storage.rows import (
    Owner,
    write_entries,
    write_hard_state,
    write_owner,
    write_part,
    write_snapshot,
)

DROPPED_PER_WRITE = 1_000
"""Maximum number of old entries deleted with one commit. Deleting many at once takes
several times as long as a disk sync, and entries that are deleted later do no harm."""

DISK_FULL_CODES = frozenset({sqlite3.SQLITE_FULL})


class LogStore:
    """An open store; only one process at a time can have it open."""

    def __init__(
        self,
        connection: sqlite3.Connection,
        owner: Owner,
        stored: StoredState,
        parts: frozenset[int],
    ) -> None:
        """Use an open connection to the store of ``owner``; callers use ``open_store``.

        ``stored`` is the state that was loaded, ``parts`` are the numbers of the snapshot
        parts that the file holds.
        """
        self._connection = connection
        self._owner = owner
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
        """Limit the file to ``pages`` pages, so that writes fail as on a full disk."""
        self._connection.execute(f"PRAGMA max_page_count={pages}")

    def _drop_some_entries(self) -> None:
        if self._first_index >= self._first_kept_index:
            return
        first = min(self._first_index + DROPPED_PER_WRITE, self._first_kept_index)
        self._connection.execute("DELETE FROM entries WHERE position < ?", (first,))
        self._first_index = first

    def _failed(self, problem: sqlite3.Error) -> StoreFailed:
        """Roll back after an error, and return the failure.

        Unless the disk was full and the rollback worked, the store accepts no more writes:
        after a failed sync it is unknown what the disk holds, so a retry is not safe.
        """
        final = code_of(problem) not in DISK_FULL_CODES
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
        write_hard_state(self._connection, record.hard_state)

    @_apply.register
    def _save_group(self, record: SaveGroup) -> None:
        owner = msgspec.structs.replace(self._owner, group_id=record.group_id)
        write_owner(self._connection, owner)

    @_apply.register
    def _save_entries(self, record: SaveEntries) -> None:
        first = record.entries[0].index
        assert first <= self._last_index + 1, "the stored log would have a gap"
        if first <= self._last_index:
            self._connection.execute("DELETE FROM entries WHERE position >= ?", (first,))
        write_entries(self._connection, record.entries)
        self._last_index = record.entries[-1].index

    @_apply.register
    def _save_snapshot_part(self, record: SaveSnapshotPart) -> None:
        write_part(self._connection, record.part)
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
        """Write the snapshot's missing parts and its row; delete parts it doesn't use."""
        for part in snapshot.parts:
            if part.number not in self._parts:
                write_part(self._connection, part)
        numbers = [part.number for part in snapshot.parts]
        write_snapshot(self._connection, snapshot, numbers)
        unused = self._parts - frozenset(numbers)
        self._connection.executemany(
            "DELETE FROM snapshot_parts WHERE number = ?",
            [(number,) for number in unused],
        )
        self._parts = frozenset(numbers)


def _last_index(stored: StoredState) -> int:
    last = stored.entries[-1].index if stored.entries else 0
    if stored.snapshot is not None:
        last = max(last, stored.snapshot.index)
    return last


def code_of(problem: BaseException) -> int:
    """Return the primary SQLite result code of an error; 0 if it has none."""
    return int(getattr(problem, "sqlite_errorcode", 0)) & 0xFF
