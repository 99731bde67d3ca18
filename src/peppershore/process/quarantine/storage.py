"""The quarantine on a hub's disk, so that it outlives the loss of power of all machines.

Only what two back ends or more ended under is kept; of one end nobody needs to know for
long.  Ages are told by the time of day at the write, the only clock that goes on while a
machine is without power: a step of it by seconds is nothing against a hold of minutes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import ClassVar

import msgspec
from returns.result import Failure

from peppershore.connection.messages.crashes import CrashRecord
from peppershore.process.commands import Notice
from peppershore.process.storage.whole_file import WholeFile

FILE_NAME = "quarantine.state"
MILLISECONDS = 1_000
RETRY_SECONDS = 1.0
"""A disk that refuses is asked again after so long; other hubs keep the same meanwhile."""


class StoredQuarantine(msgspec.Struct, frozen=True):
    """What is stored, and the time of day at the write, Unix milliseconds."""

    cluster: str
    saved_at: int
    records: tuple[CrashRecord, ...]


class QuarantineNotKept(Notice, frozen=True):
    """The disk refused the quarantine; it is written again later."""

    level: ClassVar[str] = "warning"
    reason: str


class QuarantineUnusable(Notice, frozen=True):
    """The stored quarantine is not used; other hubs tell what they hold."""

    level: ClassVar[str] = "warning"
    path: str
    reason: str
    advice: str


class QuarantineKeeper:
    """Reads the file of a hub, and has the newest state written, one write at a time."""

    def __init__(
        self, data_folder: str, cluster: str, notice_sink: Callable[[Notice], None]
    ) -> None:
        """Use the hub's folder."""
        path = Path(data_folder) / FILE_NAME
        without = "the other hubs tell what they hold"
        self._file = WholeFile(path, StoredQuarantine, "quarantine", without)
        self._cluster = cluster
        self._notice_sink = notice_sink
        self._disk = ThreadPoolExecutor(max_workers=1)
        self._wanted: tuple[CrashRecord, ...] | None = None
        self._writing: asyncio.Task[None] | None = None
        self._is_closing = False

    def load(self) -> tuple[CrashRecord, ...]:
        """Give what was written, as old as it is by now."""
        loaded = self._file.load()
        if isinstance(loaded, Failure):
            problem = loaded.failure()
            notice = QuarantineUnusable(problem.path, problem.reason, problem.advice)
            self._notice_sink(notice)
            return ()
        stored = loaded.unwrap()
        if stored is None or stored.cluster != self._cluster:
            return ()
        elapsed = max(0, _time_of_day() - stored.saved_at)
        return tuple(
            msgspec.structs.replace(each, age_milliseconds=each.age_milliseconds + elapsed)
            for each in stored.records
        )

    def keep(self, records: tuple[CrashRecord, ...]) -> None:
        """Write these records in place of those before."""
        self._wanted = records
        if self._writing is None:
            self._writing = asyncio.get_running_loop().create_task(self._write())

    async def close(self) -> None:
        """Wait for the write that is under way; one that a disk refuses is given up."""
        self._is_closing = True
        if self._writing is not None:
            await self._writing

    async def _write(self) -> None:
        """Write on a thread of its own: a slow disk must not hold up updates."""
        loop = asyncio.get_running_loop()
        while self._wanted is not None:
            records = self._wanted
            self._wanted = None
            stored = StoredQuarantine(self._cluster, _time_of_day(), records)
            try:
                await loop.run_in_executor(self._disk, self._file.save, stored)
            except OSError as problem:
                self._notice_sink(QuarantineNotKept(str(problem)))
                if self._is_closing:
                    break
                await asyncio.sleep(RETRY_SECONDS)
                self._wanted = records if self._wanted is None else self._wanted
        self._writing = None


def _time_of_day() -> int:
    return int(time.time() * MILLISECONDS)
