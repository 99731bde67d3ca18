"""What a hub stores of the cluster's very first start, so that it may be started again.

Only the settings of the first start say that it is the first, and only the stores that are
made then found the group. A hub that ends before keeps the seeds of that start, with the
identity of its store: the record of a store that was lost counts for no other one.
"""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

import msgspec
from returns.result import Failure

from peppershore.process.commands import Notice
from peppershore.process.consensus.records import StoredState
from peppershore.process.seeds import seed_addresses
from peppershore.process.settings import HubSettings
from peppershore.process.storage.whole_file import WholeFile

FILE_NAME = "first-seeds"
WITHOUT = "the hub waits to be admitted to the group"
BLANK_GROUP = 0


class FoundingNotKept(Notice, frozen=True):
    """The seeds of the first start can't be stored or read; ``advice`` says what to do."""

    level: ClassVar[str] = "warning"
    path: str
    reason: str
    advice: str


class FirstStart(msgspec.Struct, frozen=True):
    """The seeds of the first start, and the identity of the store that was made then."""

    identity: int
    seeds: tuple[str, ...]


class FoundingRecord:
    """The addresses of the replicas that found the group, as of the first start."""

    def __init__(self, settings: HubSettings) -> None:
        """Read or write the record in the data folder of ``settings``."""
        self.problem: FoundingNotKept | None = None
        """Why the record could not be read or written; None if it could."""
        self._path = Path(settings.data_folder) / FILE_NAME
        self._settings = settings
        self._file = WholeFile(self._path, FirstStart, "hub first seeds", WITHOUT)

    def with_first_seeds(self, stored: StoredState) -> StoredState:
        """Return the stored state with the seeds of the first start, if it was made then.

        At the first start a blank store's seeds are those of the settings, and are stored.
        """
        known = self._load()
        if known is not None and known.identity == stored.identity:
            return msgspec.structs.replace(stored, first_seeds=known.seeds)
        if not self._settings.first_start or stored.group_id != BLANK_GROUP:
            return stored
        settings = self._settings
        seeds = seed_addresses(settings.seeds, settings.replica_port)
        self._save(FirstStart(stored.identity, seeds))
        return msgspec.structs.replace(stored, first_seeds=seeds)

    def _save(self, first_start: FirstStart) -> None:
        try:
            self._file.save(first_start)
        except OSError as problem:
            advice = "free space or make the folder writable"
            self.problem = FoundingNotKept(str(self._path), str(problem), advice)

    def _load(self) -> FirstStart | None:
        loaded = self._file.load()
        if isinstance(loaded, Failure):
            found = loaded.failure()
            self.problem = FoundingNotKept(found.path, found.reason, found.advice)
            return None
        return loaded.unwrap()
