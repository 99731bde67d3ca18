"""Operators of a soak: valid, racing and invalid changes, resent until answered clearly."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

import msgspec

from peppershore_lab.calls.client import ClientAnswer, ClientConnection, ClientRequest
from peppershore_lab.soak import settings
from peppershore_lab.soak.configurations import (
    Configuration,
    configuration,
    content_digest,
    spoiled,
)
from peppershore_lab.soak.machines import Machine, Site
from peppershore_lab.soak.observations import (
    STATUS_OK,
    ChangeAnswered,
    ConfigurationRead,
    Record,
)

ANSWER_SECONDS = 1.0
"""Time-out for an answer, after which an operator tries another hub."""

AGAIN_SECONDS = 0.1
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.05, 1.5
RACE_SHARE, SPOILED_SHARE, REPEAT_SHARE = 0.15, 0.1, 0.1
LONGEST_STEP = 4
PATH = "/configuration"
NO_ANSWER = 0
"""Also recorded before the first send: a change in transit at the end may be accepted."""

CLEAR = frozenset({STATUS_OK, 400, 409, 412, 413, 422})


class Operators:
    """Sends changes to any hub, one after the other or two at once."""

    def __init__(self, site: Site, record: Record, seed: int) -> None:
        """Start without a known version."""
        self._site = site
        self._record = record
        self._random = Random(seed)
        self._current = 0
        self._highest = 0

    @property
    def newest(self) -> int:
        """The newest version that was acknowledged or read."""
        return self._current

    async def run(self) -> None:
        """Send changes until cancelled."""
        while True:
            await self._change_once()
            pause = self._random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            await asyncio.sleep(pause)

    async def send_first(self) -> None:
        """Send the first configuration until it is accepted."""
        while self._current == 0:
            await self._change("first")

    async def settle(self) -> None:
        """Send one last change until it is acknowledged."""
        before = self._current
        while self._current == before:
            await self._change("last")

    async def read(self, hub: Machine) -> int:
        """Return the newest version read from a hub; 0 without an answer."""
        asked_at = time.monotonic()
        answer = await _send(hub, "GET", None)
        if answer is None or answer.status != STATUS_OK:
            return 0
        whole: Configuration = msgspec.json.decode(answer.body)
        version: int = whole["version"]
        read = ConfigurationRead(version, content_digest(whole), asked_at)
        self._record.reads.append(read)
        return version

    async def _change_once(self) -> None:
        drawn = self._random.random()
        if drawn < RACE_SHARE:
            await asyncio.gather(self._change("east"), self._change("west"))
        elif drawn < RACE_SHARE + SPOILED_SHARE:
            whole = spoiled(self._next("faulty"), self._random)
            await self._send_until_clear(whole, valid=False)
        else:
            await self._change("operator")
        await self.read(self._random.choice(self._site.hubs))

    async def _change(self, author: str) -> None:
        whole = self._next(author)
        if await self._send_until_clear(whole, valid=True) != STATUS_OK:
            await self._learn_current()
            return
        self._current = max(self._current, whole["version"])
        if self._random.random() < REPEAT_SHARE and whole["version"] == self._current:
            await self._send_until_clear(whole, valid=True)

    def _next(self, author: str) -> Configuration:
        step = self._random.randint(1, LONGEST_STEP)
        self._highest = max(self._highest, self._current) + step
        return configuration(self._highest, self._current, author)

    async def _learn_current(self) -> None:
        """Read the current version: another change won, or there is none yet."""
        for hub in self._random.sample(self._site.hubs, len(self._site.hubs)):
            version = await self.read(hub)
            if version:
                self._current = max(self._current, version)
                return

    async def _send_until_clear(self, whole: Configuration, *, valid: bool) -> int:
        body = msgspec.json.encode(whole)
        self._note(whole, valid, NO_ANSWER)
        while True:
            hub = self._random.choice(self._site.hubs)
            answer = await _send(hub, "PUT", body)
            status = NO_ANSWER if answer is None else answer.status
            self._note(whole, valid, status)
            if status in CLEAR:
                return status
            await asyncio.sleep(AGAIN_SECONDS)

    def _note(self, whole: dict[str, Any], valid: bool, status: int) -> None:
        change = ChangeAnswered(
            version=whole["version"],
            base=whole["base"],
            digest=content_digest(whole),
            valid=valid,
            at=time.monotonic(),
            status=status,
        )
        self._record.changes.append(change)


async def _send(hub: Machine, method: str, body: bytes | None) -> ClientAnswer | None:
    connection = ClientConnection(f"{hub.host}:{settings.OPERATOR_PORT}")
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            answer = await connection.call(ClientRequest(method, PATH, (), body or b""))
    except TimeoutError:
        return None
    finally:
        connection.close()
    return answer if isinstance(answer, ClientAnswer) else None
