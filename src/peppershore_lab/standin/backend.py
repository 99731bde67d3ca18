"""A stand-in back end: slots, connection bound, costs, and a journal of every run.

Paths below ``/standin/`` are its own (health, load, control); every other
request is a run.  The answer to a run names the request, the run and this back
end, so that a caller can tell whether it got the answer to its own request.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

import msgspec

from peppershore_lab.http_server import HttpAnswer, HttpRequest, ServerConnection
from peppershore_lab.journal import JournalWriter, RunEnded, RunStarted
from peppershore_lab.standin.behaviour import (
    Behaviour,
    BehaviourChange,
    LoadReport,
    changed,
    work_seconds,
)
from peppershore_lab.standin.reports import ReportHistory
from peppershore_lab.standin.slots import Slots

HEALTH_PATH = "/standin/health"
LOAD_PATH = "/standin/load"
CONTROL_PATH = "/standin/control"
DEADLINE_HEADER = "peppershore-deadline-milliseconds"
KEY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "x-request-id"
SHED_HEADERS = (("retry-after", "1"), ("standin-shed", "1"))
JSON_HEADERS = (("content-type", "application/json"),)
LISTEN_BACKLOG = 1_024


class BackendIdentity(msgspec.Struct, frozen=True):
    """The service a back end belongs to and its own name."""

    service: str
    backend: str


class RunAnswer(msgspec.Struct, frozen=True):
    """The body of the answer to one run."""

    request_id: str
    idempotency_key: str
    service: str
    backend: str
    run: str
    filler: str = ""


class Backend:
    """One stand-in back end."""

    def __init__(
        self, identity: BackendIdentity, behaviour: Behaviour, journal_path: Path, seed: int
    ) -> None:
        """Write the journal of runs to ``journal_path``; ``seed`` picks cut answers."""
        self._identity = identity
        self._behaviour = behaviour
        self._journal = JournalWriter(journal_path)
        self._slots = Slots(behaviour.slots, behaviour.queue_limit)
        self._reports = ReportHistory()
        self._random = random.Random(seed)
        self._started = time.monotonic()
        self._incarnation = f"{time.time_ns():x}"
        self._runs = 0
        self._open_connections: set[asyncio.StreamWriter] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one client connection, if the connection bound allows it."""
        if len(self._open_connections) >= self._behaviour.connections:
            writer.close()
            return
        self._open_connections.add(writer)
        try:
            await asyncio.sleep(self._behaviour.connect_milliseconds / 1_000)
            await ServerConnection(reader, writer, self.handle).serve()
        finally:
            self._open_connections.discard(writer)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        path = request.target.partition("?")[0]
        if path == HEALTH_PATH:
            return self._health()
        if path == LOAD_PATH:
            return _json_answer(200, self._shown_report())
        if path == CONTROL_PATH:
            return self._control(request)
        return await self._admit(request)

    def begin_drain(self) -> None:
        """Report unhealthy and close connections after their next answer."""
        self._behaviour = changed(self._behaviour, BehaviourChange(draining=True))

    async def drained(self) -> None:
        """Wait until nothing runs or waits."""
        await self._slots.idle()

    def _health(self) -> HttpAnswer:
        healthy = self._shown_report().healthy
        return _json_answer(200 if healthy else 503, self._shown_report())

    def _shown_report(self) -> LoadReport:
        honest = self._honest_report()
        return self._reports.shown(time.monotonic(), honest, self._behaviour)

    def _honest_report(self) -> LoadReport:
        slots = self._behaviour.slots
        return LoadReport(
            running=self._slots.running,
            waiting=self._slots.waiting,
            slots=slots,
            utilization=self._slots.running / slots if slots else 1.0,
            healthy=not self._behaviour.draining,
        )

    def _control(self, request: HttpRequest) -> HttpAnswer:
        if request.method != "POST":
            return _json_answer(200, self._behaviour)
        try:
            change = msgspec.json.decode(request.body, type=BehaviourChange)
        except msgspec.DecodeError as problem:
            return HttpAnswer(400, str(problem).encode())
        self._behaviour = changed(self._behaviour, change)
        self._slots.resize(self._behaviour.slots, self._behaviour.queue_limit)
        return _json_answer(200, self._behaviour)

    async def _admit(self, request: HttpRequest) -> HttpAnswer:
        if self._behaviour.shedding or not self._slots.may_enter:
            return HttpAnswer(503, b"shed", SHED_HEADERS)
        deadline = _deadline_seconds(request)
        try:
            async with asyncio.timeout(deadline):
                await self._slots.enter()
        except TimeoutError:
            return HttpAnswer(504, b"deadline passed before the run", SHED_HEADERS)
        try:
            return await self._run(request, deadline)
        finally:
            self._slots.leave()
            self._reports.note(time.monotonic(), self._honest_report())

    async def _run(self, request: HttpRequest, deadline: float | None) -> HttpAnswer:
        run = self._begin_run(request)
        age = time.monotonic() - self._started
        result = "cancelled"
        try:
            async with asyncio.timeout(deadline):
                await asyncio.sleep(work_seconds(self._behaviour, age))
            result = "completed"
        except TimeoutError:
            result = "deadline"
        finally:
            self._journal.append(RunEnded(run, result, time.time()))
            self._journal.sync()
        if result == "deadline":
            return HttpAnswer(504, b"deadline passed during the run")
        return self._run_answer(request, run)

    def _begin_run(self, request: HttpRequest) -> str:
        self._runs += 1
        run = f"{self._identity.backend}-{self._incarnation}-{self._runs}"
        started = RunStarted(
            run=run,
            request_id=request.headers.get(REQUEST_ID_HEADER, ""),
            idempotency_key=request.headers.get(KEY_HEADER, ""),
            service=self._identity.service,
            backend=self._identity.backend,
            method=request.method,
            path=request.target,
            unix_seconds=time.time(),
        )
        self._journal.append(started)
        return run

    def _run_answer(self, request: HttpRequest, run: str) -> HttpAnswer:
        answer = RunAnswer(
            request_id=request.headers.get(REQUEST_ID_HEADER, ""),
            idempotency_key=request.headers.get(KEY_HEADER, ""),
            service=self._identity.service,
            backend=self._identity.backend,
            run=run,
            filler="x" * self._behaviour.answer_bytes,
        )
        cut = self._random.random() < self._behaviour.cut_answers
        return HttpAnswer(
            200,
            msgspec.json.encode(answer),
            JSON_HEADERS,
            close=self._behaviour.draining,
            cut=cut,
        )


def _json_answer(status: int, value: msgspec.Struct) -> HttpAnswer:
    return HttpAnswer(status, msgspec.json.encode(value), JSON_HEADERS)


def _deadline_seconds(request: HttpRequest) -> float | None:
    given = request.headers.get(DEADLINE_HEADER, "")
    return int(given) / 1_000 if given.isdecimal() else None


async def run_backend(backend: Backend, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT, then finish what runs and return."""
    server = await asyncio.start_server(backend.accept, host, port, backlog=LISTEN_BACKLOG)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    backend.begin_drain()
    server.close()
    await backend.drained()
