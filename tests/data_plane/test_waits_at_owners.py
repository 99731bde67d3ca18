"""A call whose wait at one back end timed out waits at the next one.

The time that a call may wait is divided among ``waits_at_owners`` waits.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import PUBLIC_ROUTE, Answer, Node, call, endpoint, run, until

from peppershore.request.endpoint_state import EndpointState

ROUTE = msgspec.structs.replace(
    PUBLIC_ROUTE, hop="owner", target_latency_milliseconds=2_000
)


class Pair:
    """Two owners with one slot each, and an edge node that knows both.

    The test occupies both slots; the second one is freed after a moment.
    """

    def __init__(self, waits: int) -> None:
        self.first = ScriptedBackend()
        self.second = ScriptedBackend()
        self._waits = waits
        self._owners: list[Node] = []

    async def start(self) -> None:
        known = []
        for name, backend in (("k1", self.first), ("k2", self.second)):
            address = await backend.start()
            owner = Node(name, address, slots=1)
            await owner.start(endpoint(address, name, "127.0.0.1:1", 1))
            self._owners.append(owner)
            known.append(endpoint(address, name, owner.addresses.internal, 1))
        self.edge = Node("e1", seek_free_slots=True, waits_at_owners=self._waits)
        self.callers = await self.edge.start(*known, route=ROUTE)

    async def close(self) -> None:
        for node in (self.edge, *self._owners):
            await node.plane.close()
        self.first.stop()
        self.second.stop()

    def _state(self, name: str) -> EndpointState:
        state = self.edge.plane.calls.admissions.state_of("kassa", name)
        assert state is not None
        return state

    def prefer_the_first(self) -> None:
        """Make a call that may wait go to the first owner: the second one seems slow."""
        for _ in range(20):
            self._state("k2").speed.learn(50.0)

    async def hold(self, name: str, other: str) -> asyncio.Task[Answer]:
        """Occupy the slot of one back end with a call."""
        backend = self.first if name == "k1" else self.second
        now = asyncio.get_running_loop().time()
        self._state(name).passed_over_until = 0.0
        self._state(other).passed_over_until = now + 60.0
        before = len(backend.requests)
        held = asyncio.create_task(call(self.callers))
        await until(lambda: len(backend.requests) > before)
        self._state(other).passed_over_until = 0.0
        return held


async def holds_on(request: Received, writer: asyncio.StreamWriter) -> None:
    del writer
    await request.reader.read()


@pytest.mark.parametrize(("waits", "status"), [(1, 503), (2, 200), (3, 200)])
def test_call_waits_at_the_next_back_end_while_it_has_waits_left(
    waits: int, status: int
) -> None:
    async def scene() -> None:
        pair = Pair(waits)
        await pair.start()
        await call(pair.callers)
        over = asyncio.Event()

        async def holds_for_now(request: Received, writer: asyncio.StreamWriter) -> None:
            await over.wait()
            await answer_ok(request, writer)

        pair.first.script = holds_on
        pair.second.script = holds_for_now
        held = [await pair.hold("k1", "k2"), await pair.hold("k2", "k1")]
        pair.prefer_the_first()
        asyncio.get_running_loop().call_later(0.05, over.set)
        answer = await call(pair.callers)
        held[0].cancel()
        await held[1]
        await pair.close()
        assert answer.status == status

    run(scene())
