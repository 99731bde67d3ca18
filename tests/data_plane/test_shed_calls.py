"""A back end sheds load with status 503: idempotent calls are retried elsewhere."""

from __future__ import annotations

import asyncio

import msgspec
from tests.data_plane.scripted_backend import Received, ScriptedBackend
from tests.data_plane.stage import PUBLIC_ROUTE, Node, call, endpoint, run

ONCE = msgspec.structs.replace(PUBLIC_ROUTE, repeatable=False)
CALLS = 30


async def _shed(request: Received, writer: asyncio.StreamWriter) -> None:
    await request.body()
    writer.write(b"HTTP/1.1 503 Busy\r\nretry-after: 1\r\ncontent-length: 4\r\n\r\nbusy")


def test_idempotent_shed_call_is_answered_by_another_back_end() -> None:
    async def scene() -> None:
        busy, idle = ScriptedBackend(_shed), ScriptedBackend()
        node = Node()
        address = await node.start(
            endpoint(await busy.start(), "busy"), endpoint(await idle.start(), "idle")
        )
        answers = [await call(address) for _ in range(CALLS)]
        assert {answer.status for answer in answers} == {200}
        assert 1 <= len(busy.requests) <= CALLS // 3
        assert node.plane.calls.retries.count == len(busy.requests)
        await node.plane.close()
        busy.stop()
        idle.stop()

    run(scene())


def test_shed_answer_of_a_non_idempotent_call_is_forwarded() -> None:
    async def scene() -> None:
        busy, other = ScriptedBackend(_shed), ScriptedBackend(_shed)
        node = Node()
        address = await node.start(
            endpoint(await busy.start(), "busy"),
            endpoint(await other.start(), "other"),
            route=ONCE,
        )
        answer = await call(address, method="POST", body=b"x")
        assert (answer.status, answer.body, answer.outcome) == (503, b"busy", "answered")
        assert answer.headers["retry-after"] == "1"
        assert len(busy.requests) + len(other.requests) == 1
        await node.plane.close()
        busy.stop()
        other.stop()

    run(scene())


def test_refusal_forwarded_from_a_downstream_node_is_not_retried() -> None:
    async def passed_on(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        head = b"HTTP/1.1 503 No\r\npeppershore-outcome: not-run\r\ncontent-length: 0\r\n"
        writer.write(head + b"\r\n")

    async def scene() -> None:
        backends = [ScriptedBackend(passed_on) for _ in range(3)]
        node = Node()
        address = await node.start(
            *[endpoint(await each.start(), f"k{n}") for n, each in enumerate(backends)]
        )
        answer = await call(address)
        assert answer.status == 503
        assert sum(len(each.requests) for each in backends) == 1
        await node.plane.close()
        for each in backends:
            each.stop()

    run(scene())


def test_shed_call_is_not_retried_at_the_only_back_end() -> None:
    async def scene() -> None:
        busy = ScriptedBackend(_shed)
        node = Node()
        address = await node.start(endpoint(await busy.start(), "busy"))
        answer = await call(address)
        assert (answer.status, answer.body, answer.outcome) == (503, b"busy", "answered")
        assert len(busy.requests) == 1
        await node.plane.close()
        busy.stop()

    run(scene())


def test_last_answer_is_forwarded_if_every_attempt_is_shed() -> None:
    async def scene() -> None:
        backends = [ScriptedBackend(_shed) for _ in range(5)]
        node = Node()
        address = await node.start(
            *[endpoint(await each.start(), f"k{n}") for n, each in enumerate(backends)]
        )
        answer = await call(address)
        assert (answer.status, answer.body, answer.outcome) == (503, b"busy", "answered")
        runs = sum(len(each.requests) for each in backends)
        assert runs == 1 + PUBLIC_ROUTE.retry_attempts
        await node.plane.close()
        for each in backends:
            each.stop()

    run(scene())
