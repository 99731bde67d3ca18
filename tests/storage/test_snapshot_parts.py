"""Snapshots in parts: parts are written first and count once a snapshot names them.

A store in the first format, with the snapshot in one blob, is upgraded.
"""

import sqlite3
from pathlib import Path

import pytest
from returns.pipeline import is_successful

from peppershore.connection.messages.consensus import EntryKind, LogEntry
from peppershore.process.consensus.membership import EMPTY_MEMBERSHIP, encode_membership
from peppershore.process.consensus.records import (
    InstallSnapshot,
    SaveEntries,
    SaveSnapshot,
    SaveSnapshotPart,
    SnapshotPart,
    StateSnapshot,
)
from peppershore.process.storage.errors import StoreRefusal
from peppershore.process.storage.log_store import DROPPED_PER_WRITE
from peppershore.process.storage.opening import FILE_NAME, open_store
from peppershore.process.storage.rows import SNAPSHOT_KIND
from peppershore.process.storage.schema import checksum_of

ENTRIES = tuple(LogEntry(index, 1, EntryKind.COMMAND, b"x") for index in range(1, 31))
OLD, NEW, OTHER = (SnapshotPart(number, b"part-%d" % number) for number in (1, 2, 3))

FIRST_FORMAT_SNAPSHOT = """
DROP TABLE snapshot_parts;
ALTER TABLE snapshot RENAME COLUMN parts TO state;
ALTER TABLE owner DROP COLUMN checksum;
ALTER TABLE hard_state DROP COLUMN checksum;
PRAGMA user_version=1
"""


def opened(folder: Path):
    return open_store(folder, "test", "c1").unwrap()


def snapshot(index: int, *parts: SnapshotPart) -> StateSnapshot:
    return StateSnapshot(index, 1, EMPTY_MEMBERSHIP, parts)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    store = opened(tmp_path).store
    store.write([SaveEntries(ENTRIES)])
    store.write([SaveSnapshot(snapshot(10, OLD), 5)])
    store.close()
    return tmp_path


def stored_parts(folder: Path) -> list[int]:
    connection = sqlite3.connect(folder / FILE_NAME)
    rows = connection.execute("SELECT number FROM snapshot_parts ORDER BY number")
    numbers = [row[0] for row in rows]
    connection.close()
    return numbers


def test_a_part_written_ahead_counts_only_once_a_snapshot_names_it(folder: Path):
    store = opened(folder).store
    assert is_successful(store.write([SaveSnapshotPart(NEW)]))
    store.close()
    assert stored_parts(folder) == [1, 2]
    reopened = opened(folder)
    reopened.store.close()
    assert reopened.stored.snapshot == snapshot(10, OLD)
    assert stored_parts(folder) == [1], "the part of an unfinished snapshot is dropped"


def test_a_snapshot_keeps_parts_that_are_stored_and_drops_those_not_named(folder: Path):
    store = opened(folder).store
    store.write([SaveSnapshotPart(NEW)])
    store.write([SaveSnapshot(snapshot(20, OLD, NEW), 15)])
    store.write([SaveSnapshot(snapshot(30, NEW, OTHER), 25)])
    store.close()
    assert stored_parts(folder) == [2, 3]
    reopened = opened(folder)
    reopened.store.close()
    assert reopened.stored.snapshot == snapshot(30, NEW, OTHER)
    assert reopened.stored.snapshot.state == b"part-2part-3"
    assert [entry.index for entry in reopened.stored.entries] == [25, 26, 27, 28, 29, 30]


def test_an_installed_snapshot_replaces_every_part(folder: Path):
    store = opened(folder).store
    store.write([SaveSnapshotPart(NEW)])
    store.write([InstallSnapshot(snapshot(40, SnapshotPart(1, b"installed")))])
    store.close()
    reopened = opened(folder)
    reopened.store.close()
    assert reopened.stored.snapshot.state == b"installed"
    assert stored_parts(folder) == [1]


def test_parts_of_a_refused_write_are_written_again(folder: Path):
    store = opened(folder).store
    large = SnapshotPart(2, b"y" * 200_000)
    store.limit_pages(20)
    assert not is_successful(store.write([SaveSnapshotPart(large)]))
    store.limit_pages(10_000)
    assert is_successful(store.write([SaveSnapshot(snapshot(20, OLD, large), 15)]))
    store.close()
    reopened = opened(folder)
    reopened.store.close()
    assert reopened.stored.snapshot == snapshot(20, OLD, large)


@pytest.mark.parametrize(
    "damage",
    [
        "UPDATE snapshot_parts SET data = X'00'",
        "DELETE FROM snapshot_parts",
        "UPDATE snapshot SET parts = X'90'",
    ],
)
def test_a_damaged_part_is_refused(folder: Path, damage: str):
    connection = sqlite3.connect(folder / FILE_NAME)
    connection.execute(damage)
    connection.commit()
    connection.close()
    assert open_store(folder, "test", "c1").failure().refusal is StoreRefusal.DAMAGED


def to_first_format(folder: Path, state: bytes) -> None:
    membership = encode_membership(EMPTY_MEMBERSHIP)
    checksum = checksum_of(10, 1, SNAPSHOT_KIND, membership + state)
    connection = sqlite3.connect(folder / FILE_NAME)
    connection.executescript(FIRST_FORMAT_SNAPSHOT)
    connection.execute("UPDATE snapshot SET state = ?, checksum = ?", (state, checksum))
    connection.commit()
    connection.close()


def test_a_file_of_the_first_format_is_upgraded(folder: Path):
    to_first_format(folder, b"whole")
    for _ in range(2):
        reopened = opened(folder)
        reopened.store.close()
        assert reopened.stored.snapshot == snapshot(10, SnapshotPart(1, b"whole"))
        assert len(reopened.stored.entries) == 26


def test_pieces_of_a_snapshot_reach_over_its_parts():
    whole = snapshot(
        1, SnapshotPart(1, b"abc"), SnapshotPart(2, b""), SnapshotPart(3, b"de")
    )
    assert whole.size == 5
    for start in range(6):
        for end in range(start, 8):
            assert whole.piece(start, end) == b"abcde"[start:end]


def test_old_entries_are_deleted_in_steps_and_never_one_that_is_needed(tmp_path: Path):
    count = 3 * DROPPED_PER_WRITE
    entries = tuple(
        LogEntry(index, 1, EntryKind.COMMAND, b"x") for index in range(1, count + 1)
    )
    store = opened(tmp_path).store
    store.write([SaveEntries(entries)])
    store.write([SaveSnapshot(snapshot(count - 10, OLD), count - 20)])
    store.close()
    reopened = opened(tmp_path)
    kept = [entry.index for entry in reopened.stored.entries]
    assert kept == list(range(DROPPED_PER_WRITE + 1, count + 1))
    store = reopened.store
    store.write([SaveSnapshot(snapshot(count - 10, OLD), count - 20)])
    for number in range(3):
        added = LogEntry(count + 1 + number, 1, EntryKind.COMMAND, b"x")
        store.write([SaveEntries((added,))])
    store.close()
    reopened = opened(tmp_path)
    reopened.store.close()
    assert [entry.index for entry in reopened.stored.entries] == list(
        range(count - 20, count + 4)
    )
