"""Reloads settings while a process runs: on SIGHUP or when the file changes.

A file that can't be read or is invalid changes nothing; the reason is logged.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import ClassVar, Generic, TypeVar

from returns.result import Failure, Result

from peppershore.process.commands import Notice
from peppershore.process.logging import write_notice
from peppershore.process.settings import SettingsValue
from peppershore.process.settings_loader import (
    Problems,
    load_adjusted_settings,
    load_settings,
)

LOOK_SECONDS = 0.5

Kind = TypeVar("Kind", bound=SettingsValue)


class SettingsReloaded(Notice, frozen=True):
    """Changed settings are in use; ``cause`` is "signal" or "file"."""

    cause: str


class SettingsReloadFailed(Notice, frozen=True):
    """Changed settings can't be used; the former ones stay in use."""

    level: ClassVar[str] = "warning"
    cause: str
    reason: str


class SettingsWatch(Generic[Kind]):
    """Watches one settings file and passes changed settings to a function of the caller."""

    def __init__(
        self, kind: type[Kind], path: Path, current: Kind, adjusts: bool = False
    ) -> None:
        """Watch ``path``; ``current`` are the settings the process started with.

        With ``adjusts``, values that can't be used are adjusted, as in ``current``.
        """
        self._kind = kind
        self._adjusts = adjusts
        self._path = path
        self._current = current
        self._last_stamp = self._file_stamp()
        self._on_change: Callable[[Kind], None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, use: Callable[[Kind], None]) -> None:
        """Start watching; call ``use`` with the settings whenever they change."""
        self._on_change = use
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.look, "signal")
        self._timer = loop.call_later(LOOK_SECONDS, self._check_file)

    def stop(self) -> None:
        """Stop checking the file for changes."""
        if self._timer is not None:
            self._timer.cancel()

    def look(self, cause: str) -> None:
        """Reload the file; if its settings differ from the current ones, put them into use.

        ``cause`` ("signal" or "file") appears in the log line about the reload.
        """
        self._last_stamp = self._file_stamp()
        loaded = self._load()
        if isinstance(loaded, Failure):
            problem = loaded.failure()[0]
            write_notice(SettingsReloadFailed(cause, f"{problem.key} {problem.reason}"))
            return
        settings = loaded.unwrap()
        if settings == self._current:
            return
        self._current = settings
        assert self._on_change is not None
        self._on_change(settings)
        write_notice(SettingsReloaded(cause))

    def _load(self) -> Result[Kind, Problems]:
        if not self._adjusts:
            return load_settings(self._kind, self._path, {})
        adjusted = load_adjusted_settings(self._kind, self._path, {})
        return adjusted.map(lambda result: result.settings)

    def _check_file(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LOOK_SECONDS, self._check_file)
        if self._file_stamp() != self._last_stamp:
            self.look("file")

    def _file_stamp(self) -> tuple[int, int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)
