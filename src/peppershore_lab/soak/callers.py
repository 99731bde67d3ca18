"""Callers of a soak: each keeps its connection until the node's process has exited."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from random import Random

from peppershore_lab.calls.client import (
    CallBroken,
    ClientAnswer,
    ClientConnection,
    ClientRequest,
)
from peppershore_lab.soak import settings
from peppershore_lab.soak.back_end import is_body_of
from peppershore_lab.soak.configurations import (
    HOST,
    ONCE_PREFIX,
    READ_PREFIX,
    UPLOAD_PREFIX,
    marker_prefix,
)
from peppershore_lab.soak.machines import Machine
from peppershore_lab.soak.observations import (
    MarkerProbed,
    Record,
    RequestEnded,
    body_digest,
)
from peppershore_lab.soak.tenants import TENANTS, authorization, draw_key, lasting_key

ONCE_SHARE = 0.5
LARGE_SHARE = 0.1
LARGE_BODY_BYTES = 150_000
SMALL_BODY_BYTES = 64
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.0, 0.15
UNREACHED_PAUSE_SECONDS = 0.05
PROBE_PAUSE_SECONDS = 0.2
DEADLINE_MILLISECONDS = 3_000
PATIENCE_SECONDS = 5.0
"""Time-out of a caller for an answer; it is longer than the deadline of its requests."""

GAVE_UP = "the caller left"


class Callers:
    """Sends requests to one node over persistent connections."""

    def __init__(
        self, node: Machine, record: Record, seed: int, numbers: itertools.count[int]
    ) -> None:
        """Create the callers; ``numbers`` numbers the requests of all callers."""
        self._node = node
        self._record = record
        self._seed = seed
        self._numbers = numbers

    async def run(self, connections: int, newest: Callable[[], int]) -> None:
        """Send until cancelled; ``newest`` returns the version whose route is probed."""
        async with asyncio.TaskGroup() as group:
            for number in range(connections):
                random = Random(self._seed * 1_000 + number)
                group.create_task(self._call(random, newest))
            group.create_task(self._probe(newest))

    async def _call(self, random: Random, newest: Callable[[], int]) -> None:
        connection = ClientConnection(f"{self._node.host}:{settings.CALLER_PORT}")
        try:
            while True:
                await self._send_one(connection, random, newest())
                pause = random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
                await asyncio.sleep(pause)
        finally:
            connection.close()

    async def _send_one(
        self, connection: ClientConnection, random: Random, newest: int
    ) -> None:
        once = random.random() < ONCE_SHARE
        is_large = once and random.random() < LARGE_SHARE
        length = LARGE_BODY_BYTES if is_large else SMALL_BODY_BYTES
        name = f"s-{next(self._numbers)}"
        body = b"x" * length if once else b""
        prefix = UPLOAD_PREFIX if is_large else ONCE_PREFIX if once else READ_PREFIX
        used = draw_key(random, newest)
        method = "POST" if once else "GET"
        request = _request(method, f"{prefix}{name}", name, body, used.key)
        sent_at = time.monotonic()
        outcome = await _answer(connection, request)
        status = 0 if isinstance(outcome, CallBroken) else outcome.status
        whole = not isinstance(outcome, CallBroken) and (
            outcome.headers.get(settings.REQUEST_ID) == name
            and is_body_of(outcome.body, name, len(body))
        )
        sent = isinstance(outcome, CallBroken) and outcome.sent
        headers = outcome.headers if isinstance(outcome, ClientAnswer) else {}
        ended = RequestEnded(
            request=name,
            node=self._node.name,
            once=once,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            whole=whole,
            sent=sent,
            reason=headers.get(settings.REASON, ""),
            tenant=used.tenant,
            signature=headers.get(settings.SIGNATURE, ""),
            says_limit=settings.RATE_LIMIT in headers,
            says_leaving=settings.LEAVING in headers,
            body=body_digest(outcome.body) if isinstance(outcome, ClientAnswer) else "",
        )
        self._record.requests.append(ended)
        if status == 0:
            await asyncio.sleep(UNREACHED_PAUSE_SECONDS)

    async def send_poison(self, path: str) -> None:
        """Send a request that crashes the back end that runs it."""
        connection = ClientConnection(f"{self._node.host}:{settings.CALLER_PORT}")
        name = f"poison-{next(self._numbers)}"
        request = _request("GET", path, name, b"", lasting_key(TENANTS[0].name))
        await _answer(connection, request)
        connection.close()

    async def _probe(self, newest: Callable[[], int]) -> None:
        """Probe the routes of the newest version and of the one before, in turn."""
        before = 0
        while True:
            version = newest()
            for asked in {version, before} - {0}:
                await self.probe(asked)
            before = version
            await asyncio.sleep(PROBE_PAUSE_SECONDS)

    async def probe(self, version: int) -> int:
        """Send a request on the route of a version; return its status, 0 if none."""
        connection = ClientConnection(f"{self._node.host}:{settings.CALLER_PORT}")
        name = f"p-{next(self._numbers)}"
        life, sent_at = self._node.life, time.monotonic()
        request = _request("GET", f"{marker_prefix(version)}x", name, b"")
        outcome = await _answer(connection, request)
        connection.close()
        status = 0 if isinstance(outcome, CallBroken) else outcome.status
        probe = MarkerProbed(
            node=self._node.name,
            life=life,
            version=version,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
        )
        if life == self._node.life:
            self._record.probes.append(probe)
        return status


async def _answer(
    connection: ClientConnection, request: ClientRequest
) -> ClientAnswer | CallBroken:
    """Send one request; the caller disconnects at its time-out."""
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await connection.call(request)
    except TimeoutError:
        return CallBroken(GAVE_UP, sent=False)


def _request(
    method: str, path: str, name: str, body: bytes, key: str = ""
) -> ClientRequest:
    headers = (
        ("host", HOST),
        (settings.REQUEST_ID, name),
        (settings.DEADLINE, str(DEADLINE_MILLISECONDS)),
        *((authorization(key),) if key else ()),
    )
    return ClientRequest(method, path, headers, body)
