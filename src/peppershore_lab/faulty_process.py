"""Runs a process of the product with a shim between it and its disk and clock.

``python -m peppershore_lab.faulty_process FAULTS serve control ...`` runs the
product's command line unchanged.  The file FAULTS (JSON, a ``ProcessFaults``)
may be rewritten at any time: slow syncs, a full disk, a jump of the wall clock.
Nothing here needs privileges.  Log lines keep the true time, so that a run can
be judged.  The monotonic clock can't jump without privileges (a time namespace);
a freeze of the process covers what a sleeping machine shows of it.
"""

from __future__ import annotations

import errno
import logging
import os
import sqlite3
import sys
import time
import types
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

MILLISECONDS = 1_000
NANOSECONDS = 1_000_000_000
READ_AGAIN_SECONDS = 0.02
COMMIT_STATEMENT = "COMMIT"
FULL_DISK_TEXT = "database or disk is full"


class ProcessFaults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The faults in force now; all zero: none."""

    sync_delay_milliseconds: float = 0.0
    disk_full: bool = False
    clock_offset_seconds: float = 0.0


class FaultFile:
    """Reads the faults in force, at most every ``READ_AGAIN_SECONDS``."""

    def __init__(self, path: Path) -> None:
        """Read ``path``; while it is absent or being written nothing changes."""
        self._path = path
        self._read_at = -1.0
        self._faults = ProcessFaults()

    def current(self) -> ProcessFaults:
        """Give the faults in force."""
        now = time.monotonic()
        if now - self._read_at >= READ_AGAIN_SECONDS:
            self._read_at = now
            self._read()
        return self._faults

    def before_sync(self) -> bool:
        """Wait as a slow disk would; give whether the disk is full."""
        faults = self.current()
        if faults.sync_delay_milliseconds > 0:
            time.sleep(faults.sync_delay_milliseconds / MILLISECONDS)
        return faults.disk_full

    def _read(self) -> None:
        try:
            content = self._path.read_bytes()
            self._faults = msgspec.json.decode(content, type=ProcessFaults)
        except (OSError, msgspec.DecodeError):
            return


def write_faults(path: Path, faults: ProcessFaults) -> None:
    """Put faults in force; the file is replaced as a whole."""
    aside = path.with_suffix(".new")
    aside.write_bytes(msgspec.json.encode(faults))
    aside.rename(path)


def install(faults: FaultFile) -> None:
    """Put the shim in: SQLite commits, ``os.fsync`` and the wall clock."""
    _shim_sqlite(faults)
    _shim_fsync(faults)
    _shim_clock(faults)


def _shim_sqlite(faults: FaultFile) -> None:
    class FaultyConnection(sqlite3.Connection):
        """A connection whose commits meet the faults in force."""

        def execute(self, sql: str, *parameters: Any) -> sqlite3.Cursor:
            """Run a statement; a commit waits or fails as the disk would."""
            if sql == COMMIT_STATEMENT and faults.before_sync():
                problem = sqlite3.OperationalError(FULL_DISK_TEXT)
                problem.sqlite_errorcode = sqlite3.SQLITE_FULL
                raise problem
            return super().execute(sql, *parameters)

    connect = sqlite3.connect

    def faulty_connect(*arguments: Any, **options: Any) -> sqlite3.Connection:
        options["factory"] = FaultyConnection
        opened: sqlite3.Connection = connect(*arguments, **options)
        return opened

    sqlite3.connect = faulty_connect  # type: ignore[assignment]


def _shim_fsync(faults: FaultFile) -> None:
    true_fsync = os.fsync

    def faulty_fsync(fd: Any) -> None:
        if faults.before_sync():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        true_fsync(fd)

    os.fsync = faulty_fsync


def _shim_clock(faults: FaultFile) -> None:
    true_time: Callable[[], float] = time.time
    true_time_ns: Callable[[], int] = time.time_ns
    logging.time = types.SimpleNamespace(**vars(time))  # type: ignore[attr-defined]

    def jumped_time() -> float:
        return true_time() + faults.current().clock_offset_seconds

    def jumped_time_ns() -> int:
        offset = faults.current().clock_offset_seconds
        return true_time_ns() + int(offset * NANOSECONDS)

    time.time = jumped_time
    time.time_ns = jumped_time_ns


def run() -> None:
    """Take the path of the fault file off the arguments; run the product."""
    path = Path(sys.argv.pop(1))
    install(FaultFile(path))
    from peppershore.command.main import main  # noqa: PLC0415 - after the shim

    main(prog_name="peppershore")


if __name__ == "__main__":
    run()
