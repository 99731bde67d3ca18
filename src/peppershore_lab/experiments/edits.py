"""Operators of an experiment: steady, racing and resent edits, with a journal.

Each edit sets the timeout of one route to a value never used before, so that
it changes what the route's service and the edge hold and harms no call.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from returns.result import Failure

from peppershore.version.model import (
    Edit,
    EditAccepted,
    EditConflict,
    EditExpired,
    EditOutcome,
    ExpectedRevision,
    Overrides,
    SetOverrides,
    Version,
)
from peppershore_lab.experiments.definition import EditLoad
from peppershore_lab.fleet.deployment import Deployment
from peppershore_lab.journal import JournalWriter
from peppershore_lab.links.model import matches
from peppershore_lab.operator_client import Operator

FIRST_TIMEOUT_MILLISECONDS = 5_000
UNANSWERED = "unanswered"
ACCEPTED = "accepted"
CONFLICT = "conflict"
AcceptedListener = Callable[[Edit, Version], None]


class EditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What one operator was told about one sending of an edit.

    ``race`` names the race it took part in, "" outside races; ``resend`` marks a
    second sending of a change id that had been answered.
    """

    change_id: str
    operator: str
    path: str
    sent_unix_seconds: float
    answered_unix_seconds: float
    outcome: str
    version: Version = 0
    race: str = ""
    resend: bool = False


class Operators:
    """Sends the edits of one ``EditLoad``."""

    def __init__(
        self,
        load: EditLoad,
        deployment: Deployment,
        operators: tuple[Operator, Operator],
        journal: Path,
        seed: int,
    ) -> None:
        """Two operators are needed for the races."""
        self._load = load
        self._operators = operators
        self._journal = JournalWriter(journal)
        self._random = random.Random(seed)
        self._run = f"{seed}-{journal.stem}"
        self._number = 0
        self._revisions: dict[str, Version] = {}
        self._busy: set[str] = set()
        self._paths = [
            path for path in _route_paths(deployment) if matches(path, load.paths)
        ]
        self.records: list[EditRecord] = []
        self.listeners: list[AcceptedListener] = []

    async def run(self, began: float, first_version: Version) -> None:
        """Send all edits at their times after ``began`` (``time.monotonic``)."""
        self._revisions = dict.fromkeys(self._paths, first_version)
        gap = 1.0 / self._load.per_second
        at = self._load.from_seconds
        async with asyncio.TaskGroup() as group:
            while at < self._load.until_seconds:
                await asyncio.sleep(max(0.0, began + at - time.monotonic()))
                group.create_task(self._one())
                at += gap

    async def _one(self) -> None:
        path = self._free_path()
        if path is None:
            return
        self._busy.add(path)
        try:
            if self._random.random() < self._load.race_share:
                await self._race(path)
            else:
                await self._single(path)
        finally:
            self._busy.discard(path)

    def _free_path(self) -> str | None:
        free = [path for path in self._paths if path not in self._busy]
        return self._random.choice(free) if free else None

    async def _single(self, path: str) -> None:
        operator = self._random.randrange(2)
        edit = self._next_edit(path, operator, expect=False)
        record = await self._send(edit, path, operator)
        if record.outcome == UNANSWERED or self._random.random() < self._load.resend_share:
            await self._send(edit, path, 1 - operator, resend=True)

    async def _race(self, path: str) -> None:
        edits = [self._next_edit(path, operator, expect=True) for operator in (0, 1)]
        race = edits[0].change_id
        await asyncio.gather(
            *(
                self._send(edit, path, operator, race=race)
                for operator, edit in enumerate(edits)
            )
        )

    def _next_edit(self, path: str, operator: int, *, expect: bool) -> Edit:
        self._number += 1
        timeout = FIRST_TIMEOUT_MILLISECONDS + self._number
        change = SetOverrides(path, Overrides(timeout_milliseconds=timeout))
        expected = (ExpectedRevision(path, self._revisions[path]),) if expect else ()
        return Edit(
            change_id=f"edit-{self._run}-{self._number}",
            operations=(change,),
            expected=expected,
            author=f"operator-{operator + 1}",
        )

    async def _send(
        self, edit: Edit, path: str, operator: int, *, race: str = "", resend: bool = False
    ) -> EditRecord:
        sent = time.time()
        answer = await self._operators[operator].submit(edit)
        outcome = None if isinstance(answer, Failure) else answer.unwrap()
        record = EditRecord(
            change_id=edit.change_id,
            operator=edit.author,
            path=path,
            sent_unix_seconds=sent,
            answered_unix_seconds=time.time(),
            outcome=_word(outcome),
            version=_version(outcome),
            race=race,
            resend=resend,
        )
        self._keep(edit, record)
        return record

    def _keep(self, edit: Edit, record: EditRecord) -> None:
        is_news = record.outcome == ACCEPTED and not any(
            each.change_id == record.change_id and each.outcome == ACCEPTED
            for each in self.records
        )
        self.records.append(record)
        self._journal.append(record)
        if is_news:
            self._revisions[record.path] = record.version
            for listener in self.listeners:
                listener(edit, record.version)


def _route_paths(deployment: Deployment) -> list[str]:
    return [
        f"/{service.name}/*/{route.name}"
        for service in deployment.services
        for route in service.routes
    ]


def _word(outcome: EditOutcome | None) -> str:
    match outcome:
        case None:
            return UNANSWERED
        case EditAccepted():
            return ACCEPTED
        case EditConflict():
            return CONFLICT
        case EditExpired():
            return "expired"
        case _:
            return "invalid"


def _version(outcome: EditOutcome | None) -> Version:
    return outcome.version if isinstance(outcome, EditAccepted) else 0
