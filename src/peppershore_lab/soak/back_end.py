"""A back end with its local node: sends heartbeats, runs requests, and records each run."""

from __future__ import annotations

import asyncio
import contextlib
import time
from http import HTTPStatus
from random import Random

import msgspec

from peppershore_lab.calls.client import (
    CallBroken,
    ClientAnswer,
    ClientConnection,
    ClientRequest,
)
from peppershore_lab.http_server import HttpAnswer, HttpRequest, ServerConnection
from peppershore_lab.soak import settings
from peppershore_lab.soak.observations import (
    STATUS_OK,
    AnswerGiven,
    LeavingAcknowledged,
    LeavingAnswered,
    LifeSeen,
    LimitNamed,
    PoisonRan,
    Record,
    RequestArrived,
    RunBegan,
    WordAnswered,
    body_digest,
)
from peppershore_lab.soak.second_answers import SecondAnswers
from peppershore_lab.soak.tenants import AUTHORIZATION, TENANT_FIELD

SLOTS = 8
HEARTBEAT_SECONDS = 0.3
REPORT_SECONDS = 1.0
MISDIRECTED = 421
STATUS_FAILED = 500
STATUS_UNAVAILABLE = 503
SHORTEST_WORK_SECONDS, LONGEST_WORK_SECONDS = 0.002, 0.3
SHORTEST_DOWN_SECONDS, LONGEST_DOWN_SECONDS = 0.8, 2.0
"""Time after which a crashed back end is back, as another incarnation."""

MILLISECONDS = 1_000
KEEPS_NAME = 0.5
"""Share of back ends whose incarnations all have one name; the others rename each."""

LATE_HEARTBEATS = 0.5
"""Share of incarnations of which a heartbeat arrives after the next one has begun."""

SHORTEST_DELAY_SECONDS, LONGEST_DELAY_SECONDS = 0.1, 4.0

UNREADABLE = 0.1
"""Share of heartbeats that are followed by a malformed one."""

UNREADABLE_WORDS = (
    b"",
    b"{",
    b"\xff\xfe",
    b"[" * 20_000,
    b'{"service": 1}',
    b'{"service": "s", "address": "a", "slots": 1e99, "state": "ready", "sequence": 1}',
    b'{"service": "s", "address": "a", "slots": 1, "state": "asleep", "sequence": 1}',
    b'{"service": "s", "address": "a", "slots": 1, "state": "ready", "sequence": -1}',
)

POISON = "poison"
"""Marks, in a request's path, a request that crashes the back end that runs it."""

READY, DRAINING = "ready", "draining"

REFUSED_SHARE = 0.05
UNFRAMED_SHARE = 0.1
"""Shares of the requests that a back end which answers twice refuses, and of its answers
that have no length."""

BODY_REPEATS = 40


class SoakBackEnd:
    """One back end and its heartbeats to its local node."""

    def __init__(
        self, node: str, host: str, service: str, record: Record, seed: int
    ) -> None:
        """Create the back end; ``start`` starts it."""
        self._node = node
        self._host = host
        self._service = service
        self._record = record
        self._random = Random(seed)
        self._instance = f"{node}-1"
        self._keeps_name = Random(f"{seed}/name").random() < KEEPS_NAME
        self._words = Random(f"{seed}/words")
        self._delays = Random(f"{seed}/delays")
        self._late: set[asyncio.Task[None]] = set()
        self._born_at = 0.0
        self._born = 0
        self._lives = 1
        self._state = READY
        self._sequence = 0
        self._reports = ClientConnection(f"{host}:{settings.BACK_END_PORT}")
        self._reporting = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._callers: set[asyncio.StreamWriter] = set()
        self._return: asyncio.Task[None] | None = None
        self.failed_share = 0.0
        """Share of the requests that it runs and answers with an error."""
        self._failures = Random(f"{seed}/failures")
        self.answers_twice = False
        """Whether it sends second answers, refusals, and answers without a length."""
        self._seconds = Random(f"{seed}/second-answers")
        self._ended_at: dict[int, float] = {}
        self._needs: dict[str, str] = {}

    async def start(self) -> None:
        """Start listening and sending heartbeats; callers may come later."""
        self._note_birth()
        self._born_at = 0.0
        await self._listen()
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Stop listening and sending heartbeats."""
        self._note_end()
        if self._return is not None:
            self._return.cancel()
        for task in self._late:
            task.cancel()
        if self._beats is not None:
            self._beats.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._beats
        if self._server is not None:
            self._server.close()
        self._reports.close()

    async def leave_for(self, seconds: float) -> None:
        """Report by heartbeat that it is leaving; return as another incarnation afterwards.

        One that ends meanwhile has left, and comes back by itself.
        """
        self._state = DRAINING
        self._note_end()
        life = self._lives
        acknowledged_at = None
        if await self._report():
            acknowledged_at = time.monotonic()
        await asyncio.sleep(seconds)
        has_ended = life in self._ended_at
        if acknowledged_at is not None:
            until = self._ended_at.get(life, time.monotonic())
            left = LeavingAcknowledged(self._node, acknowledged_at, until)
            self._record.leavings.append(left)
        if not has_ended:
            self._begin_life()

    async def name_limit_for(self, calls_per_second: float, seconds: float) -> None:
        """Name a rate limit in every answer for ``seconds``, unless it crashes before."""
        life, at = self._lives, time.monotonic()
        self._needs = {settings.RATE_LIMIT: f"{calls_per_second:.1f}"}
        try:
            await asyncio.sleep(seconds)
        finally:
            until = self._end_of(life)
            named = LimitNamed(self._node, calls_per_second, at, until)
            self._record.limits.append(named)
            if self._lives == life:
                self._needs = {}

    async def answer_leaving_for(self, seconds: float) -> None:
        """Report only in answers that it is leaving; return as another incarnation."""
        life, at = self._lives, time.monotonic()
        self._needs = {settings.LEAVING: "1"}
        self._note_end()
        is_load_on = False
        try:
            await asyncio.sleep(seconds)
            is_load_on = True
        finally:
            until = self._end_of(life)
            left = LeavingAnswered(self._node, at, until)
            self._record.answered_leavings.append(left)
            if self._lives == life and life not in self._ended_at:
                self._begin_life()
                if not is_load_on:
                    # Cancelled at the end of the load: no calls come that could use it.
                    self._born_at = 0.0

    @property
    def is_needy(self) -> bool:
        """Whether it reports a need, is leaving, or is down."""
        return bool(self._needs) or self._state != READY or self._server is None

    def _end_of(self, life: int) -> float:
        """Return when an incarnation ended; the time now if it has not ended."""
        return self._ended_at.get(life, time.monotonic())

    def _begin_life(self) -> None:
        """Begin another incarnation, under a new name or under the old one."""
        self._ended_at.setdefault(self._lives, time.monotonic())
        self._needs = {}
        self._lives += 1
        self._state = READY
        self._note_birth()
        if self._keeps_name:
            self._sequence = 0
            return
        if self._delays.random() < LATE_HEARTBEATS:
            self._delay_heartbeat()
        self._instance = f"{self._node}-{self._lives}"

    def _delay_heartbeat(self) -> None:
        """Let a heartbeat of the incarnation that ends arrive late."""
        self._sequence += 1
        delay = self._delays.uniform(SHORTEST_DELAY_SECONDS, LONGEST_DELAY_SECONDS)
        body = self._heartbeat(READY)
        task = asyncio.create_task(self._send_late(self._instance, body, delay))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _send_late(self, instance: str, body: bytes, delay: float) -> None:
        await asyncio.sleep(delay)
        async with self._reporting:
            await self._ask(body, instance)

    def _note_birth(self) -> None:
        self._born_at = time.monotonic()
        self._born = max(self._born + 1, round(time.time() * MILLISECONDS))

    def _note_end(self) -> None:
        if self._born_at:
            life = LifeSeen(self._node, self._born_at, time.monotonic())
            self._record.lives.append(life)
            self._born_at = 0.0

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self._host, settings.APPLICATION_PORT
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._callers.add(writer)
        seconds = SecondAnswers(writer, self._node, self._record, self._seconds)

        async def transmit(answer: HttpAnswer, data: bytes) -> None:
            await seconds.send(answer, data, self.answers_twice)

        try:
            await ServerConnection(reader, writer, self._answer, transmit).serve()
        finally:
            seconds.close()
            self._callers.discard(writer)

    def _end(self) -> None:
        """Crash: stop listening and reset every connection."""
        self._ended_at.setdefault(self._lives, time.monotonic())
        self._note_end()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._callers:
            writer.transport.abort()
        if self._return is None or self._return.done():
            self._return = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        down = self._random.uniform(SHORTEST_DOWN_SECONDS, LONGEST_DOWN_SECONDS)
        await asyncio.sleep(down)
        self._begin_life()
        await self._listen()

    async def _beat(self) -> None:
        while True:
            if self._server is not None:
                await self._report()
            if self._words.random() < UNREADABLE:
                await self._send_unreadable()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_unreadable(self) -> None:
        """Send a malformed heartbeat and record the status of the answer."""
        body = self._words.choice(UNREADABLE_WORDS)
        async with self._reporting:
            answer = await self._ask(body)
        if answer is not None:
            word = WordAnswered(self._node, time.monotonic(), answer.status)
            self._record.words.append(word)

    async def _report(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        async with self._reporting:
            self._sequence += 1
            answer = await self._ask(self._heartbeat(self._state))
            return answer is not None and answer.status == STATUS_OK

    def _heartbeat(self, state: str) -> bytes:
        """Return a heartbeat; one that has a name for each incarnation tells no birth."""
        body = {
            "service": self._service,
            "address": f"{self._host}:{settings.APPLICATION_PORT}",
            "slots": SLOTS,
            "warming_milliseconds": 0,
            "state": state,
            "sequence": self._sequence,
            "born": self._born if self._keeps_name else 0,
        }
        return msgspec.json.encode(body)

    async def _ask(self, body: bytes, instance: str = "") -> ClientAnswer | None:
        """Send one report to the node, of the current incarnation unless another is named.

        Return None if no answer came.
        """
        path = f"/back-ends/{instance or self._instance}/heartbeat"
        request = ClientRequest("POST", path, (), body)
        try:
            async with asyncio.timeout(REPORT_SECONDS):
                answer: ClientAnswer | CallBroken = await self._reports.call(request)
        except TimeoutError:
            return None
        return answer if isinstance(answer, ClientAnswer) else None

    async def _answer(self, request: HttpRequest) -> HttpAnswer:
        name = request.headers.get(settings.REQUEST_ID, "")
        expected = request.headers.get(settings.EXPECTED_INSTANCE, self._instance)
        arrived = RequestArrived(name, self._node, time.monotonic())
        self._record.arrivals.append(arrived)
        if expected != self._instance:
            return self._refusal(name, MISDIRECTED)
        if self.answers_twice and self._seconds.random() < REFUSED_SHARE:
            return self._refusal(name, STATUS_UNAVAILABLE)
        if POISON in request.target:
            ran = PoisonRan(request.target, self._node, time.monotonic())
            self._record.poison.append(ran)
            self._end()
        run = self._note_run(name, request)
        work = self._random.uniform(SHORTEST_WORK_SECONDS, LONGEST_WORK_SECONDS)
        await asyncio.sleep(work * self._random.random())
        signed = {settings.SIGNATURE: self._instance, **self._needs}
        failed = self._failures.random() < self.failed_share
        status = STATUS_FAILED if failed else STATUS_OK
        body = answer_body(name, status, run, len(request.body))
        unframed = self.answers_twice and self._seconds.random() < UNFRAMED_SHARE
        return self._note_answer(name, status, body, signed, unframed=unframed)

    def _refusal(self, name: str, status: int) -> HttpAnswer:
        return self._note_answer(name, status, b"", {settings.NOT_RUN: "1"})

    def _note_answer(
        self,
        name: str,
        status: int,
        body: bytes,
        fields: dict[str, str],
        *,
        unframed: bool = False,
    ) -> HttpAnswer:
        """Record and return an answer; its fields come in any order."""
        given = AnswerGiven(
            name, self._node, time.monotonic(), status, body_digest(body), unframed
        )
        self._record.answers.append(given)
        headers = [(settings.REQUEST_ID, name), *fields.items()]
        self._seconds.shuffle(headers)
        reason = HTTPStatus(status).phrase
        return HttpAnswer(status, body, tuple(headers), unframed=unframed, reason=reason)

    def _note_run(self, name: str, request: HttpRequest) -> int:
        """Record the beginning of a run; return its number."""
        ran = RunBegan(
            name,
            self._node,
            time.monotonic(),
            tenant=request.headers.get(TENANT_FIELD, ""),
            has_key=AUTHORIZATION in request.headers,
        )
        self._record.runs.append(ran)
        return len(self._record.runs)


def answer_body(request: str, status: int, run: int, body_bytes: int) -> bytes:
    """Return the body that answers a request in one run; it may span several reads."""
    return f"{request}:{status}:{run}:{body_bytes};".encode() * BODY_REPEATS


def is_body_of(body: bytes, request: str, body_bytes: int) -> bool:
    """Report whether a body answers this request, whatever its status and its run."""
    piece, end, _ = body.partition(b";")
    fields = piece.decode("latin-1").split(":")
    is_own = (fields[0], fields[-1]) == (request, str(body_bytes))
    return is_own and body == (piece + end) * BODY_REPEATS
