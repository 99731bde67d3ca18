"""A crash of a back end's process is distinguished from the loss of a connection to it."""

from __future__ import annotations

import asyncio

from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import Node, call, endpoint, run, until

from peppershore.process.node.data.notices import BackEndEnded


def crash_on(marked: str, backend: ScriptedBackend) -> None:
    """Let the back end crash on a marked request: it closes its listener, then the rest."""

    async def script(request: Received, writer: asyncio.StreamWriter) -> None:
        if request.target != marked:
            await answer_ok(request, writer)
            return
        backend.stop()
        writer.transport.abort()

    backend.script = script


def crash_notices(node: Node) -> list[BackEndEnded]:
    return [each for each in node.notices if isinstance(each, BackEndEnded)]


async def _start_local_node(backend: ScriptedBackend) -> tuple[Node, str]:
    address = await backend.start()
    node = Node("k1", address)
    callers = await node.start(endpoint(address, "k1", "127.0.0.1:1"))
    return node, callers


def test_a_crash_is_reported_with_the_request_that_ran() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        crash_on("/marked", backend)
        node, callers = await _start_local_node(backend)
        answer = await call(callers, "/marked")
        assert answer.status == 502
        assert answer.reason == "back-end-ended"
        await until(lambda: bool(crash_notices(node)))
        assert len(crash_notices(node)[0].under) == 1
        await node.plane.close()

    run(scene())


def test_a_reset_of_one_connection_is_not_reported_as_a_crash() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()

        async def reset(request: Received, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        backend.script = reset
        node, callers = await _start_local_node(backend)
        answer = await call(callers, "/marked")
        assert answer.reason == "back-end-broke-off"
        assert crash_notices(node) == []
        await node.plane.close()
        backend.stop()

    run(scene())


def test_the_same_request_has_the_same_fingerprint_whatever_its_id() -> None:
    async def scene() -> None:
        names: list[str] = []
        for number in range(2):
            backend = ScriptedBackend()
            crash_on("/marked", backend)
            node, callers = await _start_local_node(backend)
            headers = {"x-request-id": f"try-{number}"}
            await call(callers, "/marked", method="POST", body=b"same", headers=headers)
            await until(lambda node=node: bool(crash_notices(node)))
            names.extend(crash_notices(node)[0].under)
            await node.plane.close()
        assert names[0] == names[1]

    run(scene())
