"""A store that is damaged, another replica's, in use or of a newer format is refused."""

from __future__ import annotations

import random
import sqlite3
from pathlib import Path

import pytest
from returns.result import Failure

from peppershore.connection.messages.consensus import EntryKind, LogEntry
from peppershore.process.consensus.membership import EMPTY_MEMBERSHIP
from peppershore.process.consensus.records import (
    SaveEntries,
    SaveSnapshot,
    SnapshotPart,
    StateSnapshot,
)
from peppershore.process.storage.errors import StoreRefusal
from peppershore.process.storage.opening import FILE_NAME, open_store
from peppershore.process.storage.schema import FORMAT_VERSION

ENTRIES = tuple(
    LogEntry(index, 1, EntryKind.COMMAND, b"entry %d" % index * 20)
    for index in range(1, 60)
)
SNAPSHOT = StateSnapshot(20, 1, EMPTY_MEMBERSHIP, (SnapshotPart(1, b"state" * 400),))
DAMAGED_COPIES = 150
BYTES_OF_A_DAMAGE = 16


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    opened = open_store(tmp_path, "test", "c1").unwrap()
    opened.store.write([SaveEntries(ENTRIES)])
    opened.store.write([SaveSnapshot(SNAPSHOT, 10)])
    opened.store.close()
    return tmp_path


def refusal(folder: Path, replica: str = "c1") -> StoreRefusal:
    opened = open_store(folder, "test", replica)
    assert isinstance(opened, Failure)
    return opened.failure().refusal


def test_a_newer_format_is_refused_and_left_as_it_is(folder: Path) -> None:
    path = folder / FILE_NAME
    connection = sqlite3.connect(path)
    connection.execute(f"PRAGMA user_version={FORMAT_VERSION + 1}")
    connection.close()
    before = path.read_bytes()
    assert refusal(folder) is StoreRefusal.NEWER_FORMAT
    assert path.read_bytes() == before


def test_the_store_of_another_replica_is_refused(folder: Path) -> None:
    assert refusal(folder, "c2") is StoreRefusal.OTHER_OWNER


def test_a_store_in_use_is_refused(folder: Path) -> None:
    opened = open_store(folder, "test", "c1").unwrap()
    assert refusal(folder) is StoreRefusal.IN_USE
    opened.store.close()


def test_a_file_of_something_else_is_refused(tmp_path: Path) -> None:
    (tmp_path / FILE_NAME).write_bytes(b"something else" * 1_000)
    assert refusal(tmp_path) is StoreRefusal.DAMAGED


def test_a_file_cut_short_is_refused(folder: Path) -> None:
    path = folder / FILE_NAME
    path.write_bytes(path.read_bytes()[: -path.stat().st_size // 3])
    assert refusal(folder) is StoreRefusal.DAMAGED


def test_damage_anywhere_is_refused_or_did_not_touch_what_is_stored(
    folder: Path, tmp_path_factory: pytest.TempPathFactory
) -> None:
    whole = (folder / FILE_NAME).read_bytes()
    opened = open_store(folder, "test", "c1").unwrap()
    stored = opened.stored
    opened.store.close()
    generator = random.Random(1)
    refused = 0
    for _ in range(DAMAGED_COPIES):
        copy = tmp_path_factory.mktemp("damaged")
        data = bytearray(whole)
        start = generator.randrange(len(data) - BYTES_OF_A_DAMAGE)
        data[start : start + BYTES_OF_A_DAMAGE] = generator.randbytes(BYTES_OF_A_DAMAGE)
        (copy / FILE_NAME).write_bytes(data)
        result = open_store(copy, "test", "c1")
        if isinstance(result, Failure):
            refused += 1
            continue
        reopened = result.unwrap()
        reopened.store.close()
        assert reopened.stored == stored, f"damage at {start} was taken up"
    assert refused > DAMAGED_COPIES // 4


@pytest.mark.parametrize(
    "damage",
    [
        "UPDATE hard_state SET voted_for = 'c9'",
        "UPDATE hard_state SET term = term + 1",
        "UPDATE owner SET group_id = group_id + 1",
        "UPDATE owner SET identity = identity + 1",
        "DELETE FROM hard_state",
        "DELETE FROM owner",
        "DELETE FROM entries WHERE position = 30",
        "UPDATE entries SET term = 2 WHERE position = 30",
    ],
)
def test_a_changed_row_is_refused(folder: Path, damage: str) -> None:
    connection = sqlite3.connect(folder / FILE_NAME)
    connection.execute(damage)
    connection.commit()
    connection.close()
    assert refusal(folder) is StoreRefusal.DAMAGED
