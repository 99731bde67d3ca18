"""Requests during which back ends crashed: refused, run one at a time, cleared.

A request that is not safe to retry is never sent twice.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    Caller,
    Node,
    call,
    endpoint,
    run,
    until,
)
from tests.data_plane.test_back_end_ends import crash_notices, crash_on

from peppershore.connection.http_head import RequestHead
from peppershore.connection.messages.crashes import CrashRecord
from peppershore.request.fingerprint import Fingerprint, identity_of

MARKED = "/marked"
ONCE = msgspec.structs.replace(PUBLIC_ROUTE, repeatable=False)


def record(target: str = MARKED, ends: int = 3, body: bytes = b"") -> CrashRecord:
    method = b"POST" if body else b"GET"
    head = RequestHead(method, target.encode(), [(b"host", b"kassa")], len(body))
    fingerprint = Fingerprint(identity_of(head, ""))
    fingerprint.add(body)
    fingerprint.end()
    lives = tuple(f"life-{number}" for number in range(ends))
    return CrashRecord(fingerprint.identity, fingerprint.key, 0, lives, 0)


class Pair:
    """A caller's node, and a back end with its local node."""

    def __init__(self) -> None:
        self.backend = ScriptedBackend()
        self.callers = ""

    async def start(self, **changes: object) -> None:
        self.owner = Node("k1", await self.backend.start())
        await self.owner.start(**changes)
        self.edge = Node()
        there = endpoint(self.backend.address, owner_address=self.owner.addresses.internal)
        self.callers = await self.edge.start(there, **changes)

    def use_record(self, crash_record: CrashRecord, *nodes: Node) -> None:
        for node in nodes or (self.edge, self.owner):
            node.plane.calls.quarantine.use((crash_record,))

    async def close(self) -> None:
        await self.edge.plane.close()
        await self.owner.plane.close()
        self.backend.stop()


def test_a_held_request_is_refused_at_once_as_not_run_and_others_are_not() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        pair.use_record(record())
        answer = await call(pair.callers, MARKED)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.reason == "quarantined"
        assert int(answer.headers["retry-after"]) == 60
        assert pair.backend.requests == []
        assert (await call(pair.callers, "/other")).status == 200
        await pair.close()

    run(scene())


def test_the_local_node_refuses_a_held_request_unknown_to_the_callers_node() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        pair.use_record(record(), pair.owner)
        answer = await call(pair.callers, MARKED)
        assert answer.reason == "quarantined"
        assert pair.backend.requests == []
        await pair.close()

    run(scene())


def test_a_request_is_identified_by_its_body_which_is_awaited() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        pair.use_record(record(body=b"poison"))
        caller = await Caller.connect(pair.callers)
        head = f"POST {MARKED} HTTP/1.1\r\nhost: kassa\r\ncontent-length: 6\r\n\r\n"
        caller.write(head.encode())
        await asyncio.sleep(0.02)
        assert pair.backend.requests == []
        caller.write(b"poison")
        assert (await caller.answer("POST")).reason == "quarantined"
        other = await call(pair.callers, MARKED, method="POST", body=b"harmless")
        assert (other.status, other.body) == (200, b"ok:harmless")
        await pair.close()

    run(scene())


def test_a_caller_that_expects_100_continue_gets_it() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        pair.use_record(record(body=b"poison"))
        caller = await Caller.connect(pair.callers)
        head = f"POST {MARKED} HTTP/1.1\r\nhost: kassa\r\ncontent-length: 6\r\n"
        caller.write(f"{head}expect: 100-continue\r\n\r\n".encode())
        assert (await caller.reader.readline()).startswith(b"HTTP/1.1 100")
        await caller.reader.readline()
        caller.write(b"poison")
        assert (await caller.answer("POST")).reason == "quarantined"
        await pair.close()

    run(scene())


def test_of_two_suspects_one_runs_at_a_time_and_other_requests_run() -> None:
    async def scene() -> None:
        pair = Pair()
        release = asyncio.Event()

        async def hold(request: Received, writer: asyncio.StreamWriter) -> None:
            if request.target == "/first":
                await release.wait()
            await answer_ok(request, writer)

        pair.backend.script = hold
        await pair.start()
        for target in ("/first", "/second"):
            pair.use_record(record(target, ends=2))
        first = await Caller.connect(pair.callers)
        first.request("/first")
        await until(lambda: len(pair.backend.requests) == 1)
        second = await call(pair.callers, "/second")
        assert (second.status, second.reason) == (503, "suspect-waits")
        assert (await call(pair.callers, "/other")).status == 200
        release.set()
        assert (await first.answer()).status == 200
        assert (await call(pair.callers, "/second")).status == 200
        await pair.close()

    run(scene())


@pytest.mark.parametrize("ends", [2, 3])
def test_a_quarantine_refusal_is_not_held_against_the_back_end(
    ends: int,
) -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        pair.use_record(record(ends=ends), pair.owner)
        other = record("/running", ends=2)
        pair.use_record(other, pair.owner)
        running = Fingerprint(other.identity)
        running.end()
        pair.owner.plane.calls.quarantine.began(running)
        assert (await call(pair.callers, MARKED)).status == 503
        state = pair.edge.plane.calls.admissions.state_of("kassa", "k1")
        assert state is not None
        assert state.consecutive_failures == 0
        assert state.passed_over_until == 0.0
        await pair.close()

    run(scene())


def test_an_answer_clears_a_suspect() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        cleared: list[bytes] = []
        pair.owner.plane.calls.quarantine.on_cleared = cleared.append
        suspect = record(ends=2)
        pair.use_record(suspect)
        assert (await call(pair.callers, MARKED)).status == 200
        assert cleared == [suspect.key]
        await pair.close()

    run(scene())


def test_a_request_that_this_incarnation_answered_is_not_suspected() -> None:
    async def scene() -> None:
        pair = Pair()
        await pair.start()
        assert (await call(pair.callers, MARKED)).status == 200
        crash_on(MARKED, pair.backend)
        await call(pair.callers, MARKED)
        await until(lambda: bool(crash_notices(pair.owner)))
        assert crash_notices(pair.owner)[0].under == ()
        await pair.close()

    run(scene())


@pytest.mark.parametrize(("known", "sent"), [(0, 2), (2, 1)])
def test_after_two_crashes_a_request_is_sent_to_no_other_back_end(
    known: int, sent: int
) -> None:
    async def scene() -> None:
        backends = [ScriptedBackend() for _ in range(3)]
        owners = [Node(f"k{i}", await each.start()) for i, each in enumerate(backends)]
        for owner, backend in zip(owners, backends, strict=True):
            crash_on(MARKED, backend)
            await owner.start()
        edge = Node()
        endpoints = [
            endpoint(each.address, f"k{i}", owners[i].addresses.internal)
            for i, each in enumerate(backends)
        ]
        callers = await edge.start(*endpoints)
        if known:
            edge.plane.calls.quarantine.use((record(ends=known),))
        answer = await call(callers, MARKED)
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert answer.reason == "back-end-ended"
        assert sum(len(each.requests) for each in backends) == sent
        for node in (edge, *owners):
            await node.plane.close()

    run(scene())


def test_a_request_that_may_run_once_is_unknown_after_a_crash_and_then_held() -> None:
    async def scene() -> None:
        pair = Pair()
        crash_on(MARKED, pair.backend)
        await pair.start(route=ONCE)
        answer = await call(pair.callers, MARKED, method="POST", body=b"pay")
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert len(pair.backend.requests) == 1
        pair.use_record(record(body=b"pay"))
        again = await call(pair.callers, MARKED, method="POST", body=b"pay")
        assert (again.status, again.outcome) == (503, "not-run")
        await pair.close()

    run(scene())
