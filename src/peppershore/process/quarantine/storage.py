"""Storage of the quarantine on a hub's disk, to survive a power loss of all machines.

Only requests under which two or more back ends crashed are stored; a single crash matters
only for a short time. Ages are computed from the wall-clock time of the write, the only
clock that advances while a machine has no power. A clock step of seconds does not matter
because holds last minutes.
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
"""Delay before a failed write is retried. Other hubs store the same data meanwhile."""


class StoredQuarantine(msgspec.Struct, frozen=True):
    """Content of the file; ``saved_at`` is the time of the write in Unix milliseconds."""

    cluster: str
    saved_at: int
    records: tuple[CrashRecord, ...]


class QuarantineNotKept(Notice, frozen=True):
    """Writing the quarantine to disk failed; the write is retried."""

    level: ClassVar[str] = "warning"
    reason: str


class QuarantineUnusable(Notice, frozen=True):
    """The stored quarantine cannot be used; other hubs send the records they hold."""

    level: ClassVar[str] = "warning"
    path: str
    reason: str
    advice: str


class QuarantineKeeper:
    """Loads the quarantine file of a hub and writes new states, one at a time."""

    def __init__(
        self, data_folder: str, cluster: str, notice_sink: Callable[[Notice], None]
    ) -> None:
        """Store the file in ``data_folder``; report problems to ``notice_sink``."""
        path = Path(data_folder) / FILE_NAME
        fallback = "the other hubs tell what they hold"
        self._file = WholeFile(path, StoredQuarantine, "quarantine", fallback)
        self._cluster = cluster
        self._notice_sink = notice_sink
        self._disk = ThreadPoolExecutor(max_workers=1)
        self._pending: tuple[CrashRecord, ...] | None = None
        self._writing: asyncio.Task[None] | None = None
        self._is_closing = False

    def load(self) -> tuple[CrashRecord, ...]:
        """Return the stored records, with ages advanced to the present."""
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
        """Write these records in the background, replacing the stored ones."""
        self._pending = records
        if self._writing is None:
            self._writing = asyncio.get_running_loop().create_task(self._write())

    async def close(self) -> None:
        """Wait for the current write; do not retry it if it fails."""
        self._is_closing = True
        if self._writing is not None:
            await self._writing

    async def _write(self) -> None:
        """Write on a separate thread, so that a slow disk does not delay updates."""
        loop = asyncio.get_running_loop()
        while self._pending is not None:
            records = self._pending
            self._pending = None
            stored = StoredQuarantine(self._cluster, _time_of_day(), records)
            try:
                await loop.run_in_executor(self._disk, self._file.save, stored)
            except OSError as problem:
                self._notice_sink(QuarantineNotKept(str(problem)))
                if self._is_closing:
                    break
                await asyncio.sleep(RETRY_SECONDS)
                self._pending = records if self._pending is None else self._pending
        self._writing = None


def _time_of_day() -> int:
    return int(time.time() * MILLISECONDS)
