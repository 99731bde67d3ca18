"""A refusal that a back end sends a second time, late, on a kept connection.

Guards against a send that is answered by bytes which belong to an earlier one.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend
from tests.data_plane.stage import PUBLIC_ROUTE, Node, call, endpoint, run

from peppershore.process.settings import HeaderSettings

NOT_RUN = "x-not-run"
REQUEST = "r-1"


class RefusingOnce:
    """Refuses each request once, and sends the refusal again before the next answer."""

    def __init__(self, names_request: bool) -> None:
        self.runs: list[str] = []
        self.sent_twice = 0
        self._names_request = names_request
        self._seen: set[str] = set()
        self._last: dict[asyncio.StreamWriter, bytes] = {}

    async def __call__(self, request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        name = request.headers["x-request-id"]
        named = f"x-request-id: {name}\r\n" if self._names_request else ""
        if writer in self._last:
            self.sent_twice += 1
            writer.write(self._last.pop(writer))
        if name not in self._seen:
            self._seen.add(name)
            head = f"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n{NOT_RUN}: 1\r\n{named}\r\n"
            self._last[writer] = head.encode()
            writer.write(self._last[writer])
            return
        self.runs.append(name)
        await asyncio.sleep(0.02)
        writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n{named}\r\nok".encode())


def headers(answers_carry_id: bool) -> HeaderSettings:
    return HeaderSettings(
        request_id="x-request-id",
        deadline="x-deadline",
        not_run=NOT_RUN,
        answers_carry_id=answers_carry_id,
    )


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_surplus_refusal_is_no_answer_to_the_next_send(repeatable: bool) -> None:
    """A late second refusal was taken as the answer, so an unsafe request ran twice."""

    async def scene() -> None:
        script = RefusingOnce(names_request=True)
        near, far = ScriptedBackend(script), ScriptedBackend(script)
        route = msgspec.structs.replace(
            PUBLIC_ROUTE, hop="owner", repeatable=repeatable, retry_attempts=2
        )
        names = headers(answers_carry_id=True)
        owners, endpoints = [], []
        for number, back_end in enumerate((near, far), 1):
            address = await back_end.start()
            owner = Node(f"k{number}", address, headers=names)
            await owner.start(route=route)
            owners.append(owner)
            endpoints.append(endpoint(address, f"k{number}", owner.addresses.internal))
        edge = Node("e1", headers=names)
        address = await edge.start(*endpoints, route=route)
        for number in range(20):
            answer = await call(
                address, method="POST", headers={"x-request-id": f"r-{number}"}
            )
            ran = script.runs.count(f"r-{number}")
            assert ran == (1 if answer.status == 200 else 0)
        for node in (edge, *owners):
            await node.plane.close()
        for back_end in (near, far):
            back_end.stop()

    run(scene())


@pytest.mark.parametrize("answers_carry_id", [False, True])
def test_the_only_back_end_gets_a_refused_request_on_another_connection(
    answers_carry_id: bool,
) -> None:
    """Nothing tells the second copy of a refusal from the answer to the same request."""

    async def scene() -> None:
        script = RefusingOnce(answers_carry_id)
        back_end = ScriptedBackend(script)
        names = headers(answers_carry_id)
        route = msgspec.structs.replace(PUBLIC_ROUTE, hop="owner", repeatable=False)
        address = await back_end.start()
        owner = Node("k1", address, headers=names)
        entry = await owner.start(endpoint(address), route=route)
        for _ in range(3):
            first = await call(entry, method="POST", headers={"x-request-id": REQUEST})
            if first.status == 200:
                break
            assert script.runs == []
        assert script.runs == [REQUEST]
        assert script.sent_twice == 0
        await owner.plane.close()
        back_end.stop()

    run(scene())
