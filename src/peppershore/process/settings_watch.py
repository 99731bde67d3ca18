"""Settings that change while a process runs: on SIGHUP, or the file alone.

A file that can't be read or is wrong changes nothing; the reason is reported.
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
    """The process took changed settings; ``cause`` is "signal" or "file"."""

    cause: str


class SettingsReloadFailed(Notice, frozen=True):
    """Changed settings can't be used; the former ones stay."""

    level: ClassVar[str] = "warning"
    cause: str
    reason: str


class SettingsWatch(Generic[Kind]):
    """Looks at one settings file and hands on what it says now."""

    def __init__(
        self, kind: type[Kind], path: Path, current: Kind, adjusts: bool = False
    ) -> None:
        """``current`` is what the process started with, adjusted if it ``adjusts``."""
        self._kind = kind
        self._adjusts = adjusts
        self._path = path
        self._current = current
        self._seen = self._stamp()
        self._use: Callable[[Kind], None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, use: Callable[[Kind], None]) -> None:
        """Hand changed settings to ``use`` from now on."""
        self._use = use
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.look, "signal")
        self._timer = loop.call_later(LOOK_SECONDS, self._look_at_file)

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def look(self, cause: str) -> None:
        """Read the file again and hand it on if it says something else."""
        self._seen = self._stamp()
        loaded = self._load()
        if isinstance(loaded, Failure):
            problem = loaded.failure()[0]
            write_notice(SettingsReloadFailed(cause, f"{problem.key} {problem.reason}"))
            return
        settings = loaded.unwrap()
        if settings == self._current:
            return
        self._current = settings
        assert self._use is not None
        self._use(settings)
        write_notice(SettingsReloaded(cause))

    def _load(self) -> Result[Kind, Problems]:
        if not self._adjusts:
            return load_settings(self._kind, self._path, {})
        adjusted = load_adjusted_settings(self._kind, self._path, {})
        return adjusted.map(lambda found: found.settings)

    def _look_at_file(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LOOK_SECONDS, self._look_at_file)
        if self._stamp() != self._seen:
            self.look("file")

    def _stamp(self) -> tuple[int, int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            return (0, 0, 0)
        return (found.st_mtime_ns, found.st_size, found.st_ino)
