"""A crash of a back end's process is distinguished from the loss of a connection to it."""

from __future__ import annotations

import asyncio

from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import Node, call, endpoint, run, until

from peppershore.process.node.data.notices import BackEndEnded


def ends_on(marked: str, backend: ScriptedBackend) -> None:
    """Let the back end crash on a marked request: it closes its listener, then the rest."""

    async def script(request: Received, writer: asyncio.StreamWriter) -> None:
        if request.target != marked:
            await answer_ok(request, writer)
            return
        backend.stop()
        writer.transport.abort()

    backend.script = script


def ended(node: Node) -> list[BackEndEnded]:
    return [each for each in node.notices if isinstance(each, BackEndEnded)]


async def _node_beside(backend: ScriptedBackend) -> tuple[Node, str]:
    address = await backend.start()
    node = Node("k1", address)
    callers = await node.start(endpoint(address, "k1", "127.0.0.1:1"))
    return node, callers


def test_an_end_of_the_process_is_told_with_what_ran() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        ends_on("/marked", backend)
        node, callers = await _node_beside(backend)
        answer = await call(callers, "/marked")
        assert answer.status == 502
        assert answer.reason == "back-end-ended"
        await until(lambda: bool(ended(node)))
        assert len(ended(node)[0].under) == 1
        await node.plane.close()

    run(scene())


def test_a_reset_of_one_connection_is_no_end() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()

        async def reset(request: Received, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        backend.script = reset
        node, callers = await _node_beside(backend)
        answer = await call(callers, "/marked")
        assert answer.reason == "back-end-broke-off"
        assert ended(node) == []
        await node.plane.close()
        backend.stop()

    run(scene())


def test_the_same_request_has_the_same_fingerprint_whatever_its_id() -> None:
    async def scene() -> None:
        names: list[str] = []
        for number in range(2):
            backend = ScriptedBackend()
            ends_on("/marked", backend)
            node, callers = await _node_beside(backend)
            headers = {"x-request-id": f"try-{number}"}
            await call(callers, "/marked", method="POST", body=b"same", headers=headers)
            await until(lambda node=node: bool(ended(node)))
            names.extend(ended(node)[0].under)
            await node.plane.close()
        assert names[0] == names[1]

    run(scene())
