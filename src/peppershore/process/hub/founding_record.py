"""What a hub stores of the cluster's very first start, so that it may be started again.

Only hubs that saw the first start found the group, and only the settings of that start say
so. A hub that ends before the group is founded continues after its restart with the seeds
of that start. The record lies beside the replica's store: with a lost disk it is lost too,
and the hub waits to be admitted.
"""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from returns.result import Failure

from peppershore.process.commands import Notice
from peppershore.process.seeds import seed_addresses
from peppershore.process.settings import HubSettings
from peppershore.process.storage.whole_file import WholeFile

FILE_NAME = "founding"
WITHOUT = "the hub waits to be admitted to the group"


class FoundingNotKept(Notice, frozen=True):
    """The seeds of the first start can't be stored or read; ``advice`` says what to do."""

    level: ClassVar[str] = "warning"
    path: str
    reason: str
    advice: str


class FoundingRecord:
    """The addresses of the replicas that found the group, as of the first start."""

    def __init__(self, settings: HubSettings) -> None:
        """Read or write the record in the data folder of ``settings``."""
        self.problem: FoundingNotKept | None = None
        """Why the record could not be read or written; None if it could."""
        self._path = Path(settings.data_folder) / FILE_NAME
        self._settings = settings
        self._file = WholeFile(self._path, tuple[str, ...], "hub founding", WITHOUT)

    def founders(self) -> tuple[str, ...]:
        """Return the founding replicas; empty if this hub may not found the group.

        At the first start they are the seeds of the settings, and are stored.
        """
        if not self._settings.first_start:
            return self._stored()
        settings = self._settings
        seeds = seed_addresses(settings.seeds, settings.replica_port)
        try:
            self._file.save(seeds)
        except OSError as problem:
            advice = "free space or make the folder writable"
            self.problem = FoundingNotKept(str(self._path), str(problem), advice)
        return seeds

    def _stored(self) -> tuple[str, ...]:
        loaded = self._file.load()
        if isinstance(loaded, Failure):
            found = loaded.failure()
            self.problem = FoundingNotKept(found.path, found.reason, found.advice)
            return ()
        return loaded.unwrap() or ()
