"""The quarantine file on a hub's disk: ages of its records, and refusal if damaged."""

from __future__ import annotations

import asyncio
from pathlib import Path

from peppershore.connection.messages.crashes import CrashRecord
from peppershore.process.commands import Notice
from peppershore.process.quarantine.storage import (
    FILE_NAME,
    QuarantineKeeper,
    QuarantineNotKept,
    QuarantineUnusable,
)

RECORDS = (CrashRecord(b"head", b"key", 1, ("life-1", "life-2", "life-3"), 5_000),)


def keeper(folder: Path, cluster: str = "c") -> tuple[QuarantineKeeper, list[Notice]]:
    notices: list[Notice] = []
    return QuarantineKeeper(str(folder), cluster, notices.append), notices


def write(folder: Path, *states: tuple[CrashRecord, ...]) -> None:
    async def work() -> None:
        kept, _ = keeper(folder)
        for state in states:
            kept.keep(state)
        await kept.close()

    asyncio.run(work())


def test_what_was_written_is_read_with_its_age(tmp_path: Path) -> None:
    write(tmp_path / "new", RECORDS)
    kept, notices = keeper(tmp_path / "new")
    loaded = kept.load()
    assert [(each.key, each.lives) for each in loaded] == [(b"key", RECORDS[0].lives)]
    assert loaded[0].age_milliseconds >= RECORDS[0].age_milliseconds
    assert notices == []


def test_the_newest_state_is_the_one_that_is_kept(tmp_path: Path) -> None:
    write(tmp_path, RECORDS, (), RECORDS, ())
    assert keeper(tmp_path)[0].load() == ()


def test_without_a_file_nothing_is_loaded(tmp_path: Path) -> None:
    kept, notices = keeper(tmp_path)
    assert (kept.load(), notices) == ((), [])


def test_a_damaged_file_and_another_clusters_are_not_used(tmp_path: Path) -> None:
    write(tmp_path, RECORDS)
    assert keeper(tmp_path, "another")[0].load() == ()
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-1])
    kept, notices = keeper(tmp_path)
    assert kept.load() == ()
    assert isinstance(notices[0], QuarantineUnusable)


def test_a_failed_write_is_reported_and_does_not_block_a_stop(tmp_path: Path) -> None:
    (tmp_path / FILE_NAME).with_suffix(".new").mkdir()

    async def work() -> list[Notice]:
        kept, notices = keeper(tmp_path)
        kept.keep(RECORDS)
        await kept.close()
        return notices

    assert [type(each) for each in asyncio.run(work())] == [QuarantineNotKept]
