"""A back end's own error answer, when the retry after it runs nowhere.

Guards against callers that get an error of the node in place of the answer.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend
from tests.data_plane.stage import PUBLIC_ROUTE, Node, call, endpoint, run

from peppershore.process.settings import SharedRetrySettings

ROUTE = msgspec.structs.replace(
    PUBLIC_ROUTE, hop="owner", retry_errors=True, retry_attempts=2
)
NO_RETRIES = SharedRetrySettings(ratio=0.0, window_seconds=10.0, slack=0.0)


@pytest.mark.parametrize("status", [500, 503])
def test_an_error_answer_reaches_the_caller_when_no_repeat_is_granted(status: int) -> None:
    """The repeat was refused after the answer was discarded: the caller got a bare 502."""

    async def fail(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        writer.write(
            b"HTTP/1.1 %d No\r\nx-from: back-end\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nwhy\r\n0\r\nx-sum: 1\r\n\r\n" % status
        )

    async def scene() -> None:
        back_ends = [ScriptedBackend(fail), ScriptedBackend(fail)]
        owners, endpoints = [], []
        for number, back_end in enumerate(back_ends, 1):
            address = await back_end.start()
            owner = Node(f"k{number}", address, shared_retries=NO_RETRIES)
            await owner.start(route=ROUTE)
            owners.append(owner)
            endpoints.append(endpoint(address, f"k{number}", owner.addresses.internal))
        edge = Node("e1", shared_retries=NO_RETRIES)
        address = await edge.start(*endpoints, route=ROUTE)
        answer = await call(address)
        assert (answer.status, answer.body) == (status, b"why")
        assert answer.headers["x-from"] == "back-end"
        assert answer.outcome == "answered"
        assert sum(len(back_end.requests) for back_end in back_ends) == 1
        for node in (edge, *owners):
            await node.plane.close()
        for back_end in back_ends:
            back_end.stop()

    run(scene())
