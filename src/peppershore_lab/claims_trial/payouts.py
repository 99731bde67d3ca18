"""Payouts of the trial: each has one key and is sent once or more, with a journal.

A payout is resent after a lost answer, while the first send is under way
("crossed"), or long after its answer ("late"), mostly through another node.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from pathlib import Path
from typing import Literal

import msgspec

from peppershore_lab.calls.caller import (
    OUTCOME_ANSWERED,
    OUTCOME_BROKEN,
    OUTCOME_NOT_RUN,
    with_answer,
)
from peppershore_lab.calls.client import (
    CallBroken,
    ClientAnswer,
    ClientConnection,
    ClientRequest,
)
from peppershore_lab.calls.plan import CallKind
from peppershore_lab.journal import CallRecord, JournalWriter
from peppershore_lab.standin.backend import (
    DEADLINE_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
)

Scenario = Literal["plain", "crossed", "abandoned", "late"]
SCENARIOS: tuple[Scenario, ...] = ("plain", "crossed", "abandoned", "late")
SCENARIO_SHARES = (4, 2, 2, 2)

PAYOUT = CallKind(
    name="kassa/payout",
    method="POST",
    path="/kassa/payout",
    repeatable=False,
    keyed=True,
    deadline_milliseconds=3_000,
    body_bytes=64,
    service="kassa",
)
GIVE_UP_SECONDS = 6.0
MAX_RESENDS = 8
SHORTEST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.6
LONGEST_ABANDON_SECONDS = 0.012
LONGEST_CROSSING_SECONDS = 0.01
SHORTEST_LATE_SECONDS = 0.5
LONGEST_LATE_SECONDS = 4.0


class PayoutCaller:
    """Sends payouts at a set rate through all the nodes given."""

    def __init__(self, nodes: tuple[str, ...], journal: Path, seed: int) -> None:
        """Know the nodes' addresses ("IP:port"); records go to ``journal``."""
        self._nodes = nodes
        self._journal = JournalWriter(journal)
        self._seed = seed
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)
        self._incarnation = f"{time.time_ns():x}"
        self._sends = 0

    async def run(self, payouts_per_second: float, seconds: float) -> None:
        """Begin payouts for so long; return when all of them are settled."""
        arrivals = random.Random(self._seed)
        end = time.monotonic() + seconds
        number = 0
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                number += 1
                group.create_task(self._payout(number))
                await asyncio.sleep(arrivals.expovariate(payouts_per_second))
        self._journal.sync()
        self._journal.close()

    async def _payout(self, number: int) -> None:
        choices = random.Random(f"{self._seed}/{number}")
        key = f"payout-{self._incarnation}-{number}"
        scenario = choices.choices(SCENARIOS, SCENARIO_SHARES)[0]
        records = await self._first_sends(key, scenario, choices)
        attempts = len(records)
        while not _settled(records) and attempts < MAX_RESENDS:
            pause = choices.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            attempts += 1
            records = [await self._send(key, attempts, choices.choice(self._nodes))]
        if scenario == "late":
            pause = choices.uniform(SHORTEST_LATE_SECONDS, LONGEST_LATE_SECONDS)
            await asyncio.sleep(pause)
            await self._send(key, attempts + 1, choices.choice(self._nodes))

    async def _first_sends(
        self, key: str, scenario: Scenario, choices: random.Random
    ) -> list[CallRecord]:
        node = choices.choice(self._nodes)
        if scenario == "abandoned":
            bound = choices.uniform(0.0, LONGEST_ABANDON_SECONDS)
            return [await self._send(key, 1, node, bound)]
        if scenario == "crossed":
            other = choices.choice([each for each in self._nodes if each != node])
            gap = choices.uniform(0.0, LONGEST_CROSSING_SECONDS)
            sends = (self._send(key, 1, node), self._send_later(gap, key, 2, other))
            return list(await asyncio.gather(*sends))
        return [await self._send(key, 1, node)]

    async def _send_later(
        self, gap: float, key: str, attempt: int, node: str
    ) -> CallRecord:
        await asyncio.sleep(gap)
        return await self._send(key, attempt, node)

    async def _send(
        self, key: str, attempt: int, node: str, bound: float = GIVE_UP_SECONDS
    ) -> CallRecord:
        """Send once, through one node; journal what was told."""
        self._sends += 1
        request_id = f"send-{self._incarnation}-{self._sends}"
        sent = time.time()
        outcome = await self._exchange(key, request_id, node, bound)
        record = CallRecord(
            request_id=request_id,
            idempotency_key=key,
            kind=PAYOUT.name,
            method=PAYOUT.method,
            path=PAYOUT.path,
            repeatable=False,
            node=node,
            attempt=attempt,
            intended_unix_seconds=sent,
            sent_unix_seconds=sent,
            ended_unix_seconds=time.time(),
        )
        if isinstance(outcome, CallBroken):
            record = msgspec.structs.replace(record, outcome=OUTCOME_BROKEN)
        else:
            record = with_answer(record, PAYOUT, outcome)
        self._journal.append(record)
        return record

    async def _exchange(
        self, key: str, request_id: str, node: str, bound: float
    ) -> ClientAnswer | CallBroken:
        idle = self._idle[node]
        connection = idle.pop() if idle else ClientConnection(node)
        headers = (
            (REQUEST_ID_HEADER, request_id),
            (KEY_HEADER, key),
            (DEADLINE_HEADER, str(PAYOUT.deadline_milliseconds)),
        )
        body = b"x" * PAYOUT.body_bytes
        request = ClientRequest(PAYOUT.method, PAYOUT.path, headers, body)
        try:
            async with asyncio.timeout(bound):
                outcome = await connection.call(request)
        except TimeoutError:
            return CallBroken("the caller gave up", True)
        if isinstance(outcome, ClientAnswer):
            idle.append(connection)
        return outcome


def _settled(records: list[CallRecord]) -> bool:
    """Whether some send was answered; "not run" and "unknown" are sent again."""
    return any(record.outcome == OUTCOME_ANSWERED for record in records)


def was_refused(record: CallRecord) -> bool:
    """Whether the caller was told that the payout did not run."""
    return record.outcome == OUTCOME_NOT_RUN
