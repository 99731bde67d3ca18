"""Baseline of the call path: round-robin without limits, retries without a budget.

One process stands where an edge node stands, before twins of the back ends.
Every failure is tried again at once on the next back end, whatever the call is.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import defaultdict, deque

import msgspec

from peppershore_lab.calls.client import (
    CallBroken,
    ClientAnswer,
    ClientConnection,
    ClientRequest,
)
from peppershore_lab.http_server import HttpAnswer, HttpRequest, start_server

HOP_HEADERS = frozenset({"host", "connection", "content-length", "transfer-encoding"})
OUTCOME_HEADER = "peppershore-outcome"
OK_STATUS = 200
BAD_GATEWAY = 502
ATTEMPTS = 4


class PlainProxyPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Where it listens, and the back ends ("IP:port") of each path's first segment."""

    listen: str
    backends: dict[str, tuple[str, ...]]


class PlainProxy:
    """Passes each request on to the next back end in turn."""

    def __init__(self, plan: PlainProxyPlan) -> None:
        """Connections are opened as they are needed, without a bound."""
        self._turns = {name: itertools.cycle(each) for name, each in plan.backends.items()}
        self._idle: dict[str, deque[ClientConnection]] = defaultdict(deque)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request with the last of up to ``ATTEMPTS`` answers."""
        turn = self._turns.get(request.target.split("/")[1])
        if turn is None:
            return HttpAnswer(404)
        answer = HttpAnswer(BAD_GATEWAY, b"", ((OUTCOME_HEADER, "unknown"),))
        for _ in range(ATTEMPTS):
            outcome = await self._attempt(next(turn), request)
            if isinstance(outcome, CallBroken):
                continue
            answer = _passed_on(outcome)
            if outcome.status == OK_STATUS:
                return answer
        return answer

    async def _attempt(
        self, address: str, request: HttpRequest
    ) -> ClientAnswer | CallBroken:
        idle = self._idle[address]
        connection = idle.popleft() if idle else ClientConnection(address)
        outcome = await connection.call(_onward(request))
        idle.append(connection)
        return outcome


def _onward(request: HttpRequest) -> ClientRequest:
    headers = tuple(
        (name, value) for name, value in request.headers.items() if name not in HOP_HEADERS
    )
    return ClientRequest(request.method, request.target, headers, request.body)


def _passed_on(answer: ClientAnswer) -> HttpAnswer:
    outcome = "answered" if answer.status == OK_STATUS else "unknown"
    return HttpAnswer(answer.status, answer.body, ((OUTCOME_HEADER, outcome),))


async def run_plain_proxy(plan: PlainProxyPlan) -> None:
    """Serve until SIGTERM or SIGINT."""
    host, _, port = plan.listen.rpartition(":")
    await start_server(host, int(port), PlainProxy(plan).handle)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
