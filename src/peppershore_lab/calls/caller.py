"""A stand-in caller: open-loop calls at a set arrival rate, with a journal.

Calls are sent at their intended times whatever became of earlier ones.  Where
all connections are busy a call waits, and the wait counts as its latency.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

import msgspec

from peppershore_lab.calls.client import (
    CallBroken,
    ClientAnswer,
    ClientConnection,
    ClientRequest,
)
from peppershore_lab.calls.latency import (
    LatencySummary,
    new_histogram,
    record_seconds,
    summarize,
)
from peppershore_lab.calls.plan import CallerPlan, CallKind, rate_at
from peppershore_lab.journal import CallRecord, JournalWriter
from peppershore_lab.standin.backend import (
    DEADLINE_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    RunAnswer,
)

OUTCOME_HEADER = "peppershore-outcome"
OUTCOME_ANSWERED = "answered"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_BROKEN = "broken"
OUTCOME_ABANDONED = "abandoned"
IDLE_RATE_STEP_SECONDS = 0.05
ABANDON_AFTER_SECONDS = 0.004


class CallerSummary(msgspec.Struct, frozen=True):
    """What a caller did in all."""

    caller: str
    calls: int
    outcomes: dict[str, int]
    wrong_answers: int
    seconds: float
    latency: LatencySummary


class _PlannedCall(msgspec.Struct, frozen=True):
    kind: CallKind
    request_id: str
    idempotency_key: str
    abandon: bool
    intended: float
    attempt: int = 1


class Caller:
    """Carries out one plan."""

    def __init__(self, plan: CallerPlan) -> None:
        """Open the journal; calls begin with ``run``."""
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._journal = JournalWriter(Path(plan.journal))
        self._incarnation = f"{time.time_ns():x}"
        self._free: asyncio.Queue[ClientConnection] = asyncio.Queue()
        self._calls: set[asyncio.Task[None]] = set()
        self._numbered = 0
        self._outcomes: dict[str, int] = {}
        self._wrong_answers = 0
        self._latency = new_histogram()
        self._stopping = asyncio.Event()
        for index in range(plan.connections):
            address = plan.nodes[index % len(plan.nodes)]
            self._free.put_nowait(ClientConnection(address))

    def stop(self) -> None:
        """Begin no further call; those under way are finished."""
        self._stopping.set()

    async def run(self) -> CallerSummary:
        """Send all calls, wait for their outcomes, give the summary."""
        started = time.monotonic()
        await self._send_all(started)
        while self._calls:
            await asyncio.wait(set(self._calls))
        summary = self._summary(time.monotonic() - started)
        self._journal.sync()
        return summary

    async def _send_all(self, started: float) -> None:
        intended = started
        while not self._stopping.is_set():
            rate = rate_at(self._plan.rate, intended - started)
            if rate <= 0:
                intended += IDLE_RATE_STEP_SECONDS
            else:
                intended += self._gap_seconds(rate)
            if intended - started > self._plan.duration_seconds:
                return
            await self._pause_until(intended)
            if rate > 0 and not self._stopping.is_set():
                self._launch(self._next_call(intended))

    async def _pause_until(self, moment: float) -> None:
        delay = moment - time.monotonic()
        if delay <= 0:
            return
        try:
            async with asyncio.timeout(delay):
                await self._stopping.wait()
        except TimeoutError:
            return

    def _gap_seconds(self, rate: float) -> float:
        if self._plan.arrivals == "even":
            return 1 / rate
        return self._random.expovariate(rate)

    def _next_call(self, intended: float) -> _PlannedCall:
        shares = [kind.share for kind in self._plan.kinds]
        kind = self._random.choices(self._plan.kinds, shares)[0]
        key = self._new_name("key") if kind.keyed else ""
        abandon = self._random.random() < kind.abandon_share
        return _PlannedCall(kind, self._new_name("call"), key, abandon, intended)

    def _new_name(self, prefix: str) -> str:
        self._numbered += 1
        return f"{prefix}-{self._plan.caller}-{self._incarnation}-{self._numbered}"

    def _launch(self, call: _PlannedCall) -> None:
        task = asyncio.get_running_loop().create_task(self._carry_out(call))
        self._calls.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        task.result()

    async def _carry_out(self, call: _PlannedCall) -> None:
        connection = await self._free.get()
        sent_unix = time.time()
        try:
            outcome = await self._attempt(connection, call)
        finally:
            self._free.put_nowait(connection)
        record = self._record_of(call, connection.address, sent_unix, outcome)
        self._journal.append(record)
        self._count(call, record)
        await self._send_again_if_unknown(call, record)

    async def _attempt(
        self, connection: ClientConnection, call: _PlannedCall
    ) -> ClientAnswer | CallBroken:
        bound = ABANDON_AFTER_SECONDS if call.abandon else self._plan.give_up_seconds
        try:
            async with asyncio.timeout(bound):
                return await connection.call(self._request_of(call))
        except TimeoutError:
            reason = OUTCOME_ABANDONED if call.abandon else "caller gave up"
            return CallBroken(reason, True)

    def _request_of(self, call: _PlannedCall) -> ClientRequest:
        kind = call.kind
        headers = [(REQUEST_ID_HEADER, call.request_id)]
        if call.idempotency_key:
            headers.append((KEY_HEADER, call.idempotency_key))
        if kind.deadline_milliseconds:
            headers.append((DEADLINE_HEADER, str(kind.deadline_milliseconds)))
        if self._plan.bearer_token:
            headers.append(("authorization", f"Bearer {self._plan.bearer_token}"))
        return ClientRequest(kind.method, kind.path, tuple(headers), b"x" * kind.body_bytes)

    def _record_of(
        self,
        call: _PlannedCall,
        node: str,
        sent_unix: float,
        outcome: ClientAnswer | CallBroken,
    ) -> CallRecord:
        now_unix = time.time()
        late = time.monotonic() - call.intended
        record = CallRecord(
            request_id=call.request_id,
            idempotency_key=call.idempotency_key,
            kind=call.kind.name,
            method=call.kind.method,
            path=call.kind.path,
            repeatable=call.kind.repeatable,
            node=node,
            attempt=call.attempt,
            intended_unix_seconds=now_unix - late,
            sent_unix_seconds=sent_unix,
            ended_unix_seconds=now_unix,
        )
        if isinstance(outcome, CallBroken):
            word = OUTCOME_ABANDONED if outcome.reason == OUTCOME_ABANDONED else ""
            return msgspec.structs.replace(
                record, outcome=word or OUTCOME_BROKEN, problem=outcome.reason
            )
        return with_answer(record, call.kind, outcome)

    def _count(self, call: _PlannedCall, record: CallRecord) -> None:
        self._outcomes[record.outcome] = self._outcomes.get(record.outcome, 0) + 1
        if record.outcome != OUTCOME_ANSWERED:
            return
        if record.problem:
            self._wrong_answers += 1
        record_seconds(self._latency, time.monotonic() - call.intended)

    async def _send_again_if_unknown(self, call: _PlannedCall, record: CallRecord) -> None:
        settled = record.outcome in (OUTCOME_ANSWERED, OUTCOME_NOT_RUN)
        if settled or not call.idempotency_key or call.attempt > call.kind.resends:
            return
        await asyncio.sleep(call.kind.resend_after_milliseconds / 1_000)
        again = msgspec.structs.replace(
            call,
            request_id=self._new_name("call"),
            abandon=False,
            intended=time.monotonic(),
            attempt=call.attempt + 1,
        )
        self._launch(again)

    def _summary(self, seconds: float) -> CallerSummary:
        return CallerSummary(
            caller=self._plan.caller,
            calls=sum(self._outcomes.values()),
            outcomes=dict(sorted(self._outcomes.items())),
            wrong_answers=self._wrong_answers,
            seconds=seconds,
            latency=summarize(self._latency),
        )


def with_answer(record: CallRecord, kind: CallKind, answer: ClientAnswer) -> CallRecord:
    """Give the record with what the answer said, checked against what was asked."""
    outcome = answer.headers.get(OUTCOME_HEADER, "")
    told = msgspec.structs.replace(
        record, status=answer.status, outcome=outcome or OUTCOME_UNKNOWN
    )
    if outcome == "":
        return msgspec.structs.replace(told, problem="no outcome header")
    if outcome != OUTCOME_ANSWERED or answer.status != 200:
        return msgspec.structs.replace(told, problem="" if outcome else "status")
    return _checked(told, kind, answer.body)


def _checked(record: CallRecord, kind: CallKind, body: bytes) -> CallRecord:
    """Compare the body of an answered call with what was asked."""
    try:
        run = msgspec.json.decode(body, type=RunAnswer)
    except msgspec.DecodeError as error:
        return msgspec.structs.replace(record, problem=f"body: {error}")
    problem = ""
    if record.idempotency_key:
        if run.idempotency_key != record.idempotency_key:
            problem = f"answer to key {run.idempotency_key!r}"
    elif run.request_id != record.request_id:
        problem = f"answer to request {run.request_id!r}"
    if not problem and kind.service and run.service != kind.service:
        problem = f"answer of service {run.service!r}"
    return msgspec.structs.replace(
        record, service=run.service, backend=run.backend, run=run.run, problem=problem
    )


async def run_caller(plan: CallerPlan) -> CallerSummary:
    """Carry out a plan; SIGTERM or SIGINT ends it early and in order."""
    caller = Caller(plan)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, caller.stop)
    summary = await caller.run()
    _write_summary(Path(plan.summary), summary)
    return summary


def _write_summary(path: Path, summary: CallerSummary) -> None:
    path.write_bytes(msgspec.json.encode(summary))
