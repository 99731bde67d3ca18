"""Deadlines, cancellation and outcomes of calls along a chain of seven services."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from tests.data_plane.scripted_backend import (
    Received,
    Script,
    ScriptedBackend,
    answer_ok,
)
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    Answer,
    Caller,
    Node,
    endpoint,
    run,
    until,
)

from peppershore.version.model import RouteSettings

DEPTH = 7
SLOTS = 1
"""Slots of each back end. With one slot, a call that leaks it blocks the next call."""

DEADLINE_HEADER = "peppershore-deadline-milliseconds"
LONG = msgspec.structs.replace(PUBLIC_ROUTE, timeout_milliseconds=15_000)
ONCE = msgspec.structs.replace(LONG, repeatable=False)


async def _hang(request: Received, writer: asyncio.StreamWriter) -> None:
    await request.reader.read(1)
    raise ConnectionError


async def _break_off(request: Received, writer: asyncio.StreamWriter) -> None:
    raise ConnectionError


class Chain:
    """Back ends that each call the next one through a node; the last runs a script."""

    def __init__(self, hop: str, last: Script) -> None:
        self.deadlines: list[int] = []
        self.last = last
        self.backends: list[ScriptedBackend] = []
        self._hop = hop
        self._entries: list[Node] = []
        self._owners: list[Node] = []

    async def start(self, route: RouteSettings = ONCE) -> None:
        for level in range(DEPTH):
            backend = ScriptedBackend(self._script(level))
            address = await backend.start()
            self.backends.append(backend)
            owner_address = ""
            if self._hop == "owner":
                owner = Node(f"k{level}", address, slots=SLOTS)
                await owner.start()
                self._owners.append(owner)
                owner_address = owner.addresses.internal
            hop_route = msgspec.structs.replace(route, hop=self._hop)
            entry = Node(f"n{level}")
            await entry.start(
                endpoint(address, owner_address=owner_address, slots=SLOTS),
                route=hop_route,
            )
            self._entries.append(entry)

    async def caller(self) -> Caller:
        return await Caller.connect(self._entries[0].addresses.callers)

    async def call(self, deadline_milliseconds: int = 14_000) -> Answer:
        caller = await self.caller()
        caller.request(headers={DEADLINE_HEADER: str(deadline_milliseconds)})
        answer = await caller.answer()
        caller.close()
        return answer

    async def at_rest(self) -> None:
        """Wait until no node and no back end has work left."""
        entries = [node.plane.calls for node in self._entries]
        await until(lambda: all(calls.in_flight == 0 for calls in entries))
        await until(lambda: all(backend.open == 0 for backend in self.backends))

    async def close(self) -> None:
        for node in (*self._entries, *self._owners):
            await node.plane.close()
        for backend in self.backends:
            backend.stop()

    def _script(self, level: int) -> Script:
        async def run_level(request: Received, writer: asyncio.StreamWriter) -> None:
            self.deadlines.append(int(request.headers[DEADLINE_HEADER]))
            if level == DEPTH - 1:
                await self.last(request, writer)
                return
            await self._call_next(level, request, writer)

        return run_level

    async def _call_next(
        self, level: int, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Call the next service; cancel that call if this one is cancelled."""
        caller = await Caller.connect(self._entries[level + 1].addresses.callers)
        caller.request(headers={DEADLINE_HEADER: request.headers[DEADLINE_HEADER]})
        gone = asyncio.create_task(request.reader.read(1))
        inner = asyncio.create_task(caller.answer())
        await asyncio.wait((gone, inner), return_when=asyncio.FIRST_COMPLETED)
        caller.close()
        if not inner.done():
            inner.cancel()
            raise ConnectionError
        gone.cancel()
        answer = inner.result()
        writer.write(b"HTTP/1.1 %d x\r\ncontent-length: 0\r\n\r\n" % answer.status)


Scene = Callable[[Chain], Awaitable[None]]


def _play(hop: str, last: Script, scene: Scene, route: RouteSettings = ONCE) -> None:
    async def whole() -> None:
        chain = Chain(hop, last)
        await chain.start(route)
        await scene(chain)
        await chain.close()

    run(whole())


@pytest.fixture(params=["direct", "owner"])
def hop(request: pytest.FixtureRequest) -> str:
    return str(request.param)


def test_deadline_shrinks_at_every_hop(hop: str) -> None:
    async def scene(chain: Chain) -> None:
        answer = await chain.call()
        assert (answer.status, answer.outcome) == (200, "answered")
        assert len(chain.deadlines) == DEPTH
        assert chain.deadlines == sorted(set(chain.deadlines), reverse=True)
        assert chain.deadlines[0] < 14_000

    _play(hop, answer_ok, scene)


def test_caller_that_leaves_frees_every_slot_down_to_the_last(hop: str) -> None:
    async def scene(chain: Chain) -> None:
        caller = await chain.caller()
        caller.request()
        await until(lambda: len(chain.deadlines) == DEPTH)
        caller.writer.transport.abort()
        await chain.at_rest()
        chain.last = answer_ok
        assert (await chain.call()).status == 200

    _play(hop, _hang, scene)


def test_passed_deadline_frees_every_slot_and_is_reported_as_a_timeout(hop: str) -> None:
    async def scene(chain: Chain) -> None:
        answer = await chain.call(deadline_milliseconds=600)
        assert (answer.status, answer.outcome) in {(504, "unknown"), (504, "answered")}
        await chain.at_rest()
        chain.last = answer_ok
        assert (await chain.call()).status == 200

    _play(hop, _hang, scene)


def test_only_the_node_next_to_a_failure_retries(hop: str) -> None:
    async def scene(chain: Chain) -> None:
        answer = await chain.call()
        assert (answer.status, answer.outcome) == (502, "answered")
        runs = [len(backend.requests) for backend in chain.backends]
        assert runs == [1] * (DEPTH - 1) + [1 + LONG.retry_attempts]

    _play(hop, _break_off, scene, LONG)


def test_what_may_not_be_repeated_runs_once_at_every_level(hop: str) -> None:
    async def scene(chain: Chain) -> None:
        await chain.call()
        assert [len(backend.requests) for backend in chain.backends] == [1] * DEPTH

    _play(hop, _break_off, scene)
