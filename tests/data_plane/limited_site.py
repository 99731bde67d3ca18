"""Callers' nodes, back ends that report a need in their answers, and a record of both."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from tests.data_plane.scripted_backend import Received, ScriptedBackend
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    SERVICE,
    Answer,
    Node,
    call,
    endpoint,
)

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.node.back_end_reports import STATE_READY, BackEndView
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.version.model import RouteResource

RATE_LIMIT = "peppershore-rate-limit"
LEAVING = "peppershore-leaving"
SLOTS = 20
WORK_SECONDS = 0.1
CLOSE_SECONDS = 0.5
"""Back ends see within this time that their connections were closed."""

ROUTE = msgspec.structs.replace(PUBLIC_ROUTE, hop="owner")
URGENT_PATH = "/urgent/"

WINDOW_SECONDS = 4.0
GRACE_SECONDS = 3.0
TOLD_SECONDS = 0.5
MOST_SHARE, MOST_CALLS = 1.5, 5
"""What a back end with a limit may get in any window that ends ``GRACE_SECONDS`` after it
first named one: so many times its limit, and so many calls more. Only calls of nodes count
that had passed on such an answer ``TOLD_SECONDS`` before the window's end."""


class Arrival(msgspec.Struct, frozen=True):
    """A request reached a back end at ``at``; ``node`` is where it began."""

    at: float
    node: str
    request: str


class NeedyBackEnd:
    """A back end that names a rate limit in its answers, or that it is leaving."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.fields: list[tuple[str, str]] = []
        self.status = "200 OK"
        self.arrivals: list[Arrival] = []
        self.named_at: float | None = None
        self._backend = ScriptedBackend(self._answer)

    async def start(self) -> str:
        return await self._backend.start()

    def stop(self) -> None:
        self._backend.stop()

    def name_limit(self, limit: str) -> None:
        self.fields = [(RATE_LIMIT, limit)]
        if self.named_at is None:
            self.named_at = asyncio.get_running_loop().time()

    def say_leaving(self) -> None:
        self.fields = [(LEAVING, "1")]

    def limit_breaches(self, limit: float, told: dict[str, float]) -> list[str]:
        """Name each window in which more than the limit came from nodes that knew."""
        assert self.named_at is not None
        allowed = limit * WINDOW_SECONDS * MOST_SHARE + MOST_CALLS
        breaches = []
        for end in (each.at for each in self.arrivals):
            if end < self.named_at + GRACE_SECONDS:
                continue
            counted = [
                each
                for each in self.arrivals
                if end - WINDOW_SECONDS < each.at <= end
                and told.get(each.node, end) <= end - TOLD_SECONDS
            ]
            if len(counted) > allowed:
                breaches.append(f"{len(counted)} in the window to {end:.3f} s")
        return breaches

    async def _answer(self, request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        name = request.headers["x-request-id"]
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(now, name.partition("-")[0], name))
        await asyncio.sleep(WORK_SECONDS)
        lines = [f"HTTP/1.1 {self.status}", "content-length: 2", f"x-back-end: {self.name}"]
        lines += [f"{name}: {value}" for name, value in self.fields]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\nok")


class Ended(msgspec.Struct, frozen=True):
    """A call of a caller: when it was sent, when its answer came, and that answer."""

    node: str
    request: str
    sent_at: float
    ended_at: float
    answer: Answer
    path: str = "/"


class NeedySite:
    """Nodes ``e1``, ``e2``, … of callers, and back ends ``k1``, ``k2``, … with theirs."""

    def __init__(
        self,
        edges: int = 3,
        back_ends: int = 2,
        *,
        named: bool = True,
        owned: bool = True,
        **changes: Any,
    ) -> None:
        """Start nothing; without ``named``, back ends send no heartbeats.

        Without ``owned``, no node stands beside them: callers' nodes call them directly.
        """
        self._owned = owned
        self._named = named
        self.back_ends = {
            name: NeedyBackEnd(name)
            for name in (f"k{number}" for number in range(1, back_ends + 1))
        }
        self.ended: list[Ended] = []
        self._route = msgspec.structs.replace(ROUTE, **changes)
        urgent = msgspec.structs.replace(self._route, path_prefix=URGENT_PATH, priority=0)
        self._others = (RouteResource(SERVICE, "urgent", urgent),)
        self._edge_names = [f"e{number}" for number in range(1, edges + 1)]
        self._edges: dict[str, Node] = {}
        self.owners: dict[str, Node] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self._numbers = itertools.count(1)
        self._calls: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> NeedySite:
        for name, back_end in self.back_ends.items():
            address = await back_end.start()
            await self.start_owner(name, address)
        for name in self._edge_names:
            node = Node(name, seek_free_slots=True)
            await node.start(
                *self.endpoints.values(), route=self._route, others=self._others
            )
            self._edges[name] = node
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._calls:
            task.cancel()
        for node in (*self._edges.values(), *self.owners.values()):
            await node.plane.close()
        for back_end in self.back_ends.values():
            back_end.stop()
        await asyncio.sleep(CLOSE_SECONDS)

    async def start_owner(
        self, name: str, address: str, incarnation: int = 1, listen: str = "127.0.0.1:0"
    ) -> None:
        owner = Node(name, address, slots=SLOTS, internal_listen=listen)
        await owner.start(endpoint(address, name, "127.0.0.1:1", SLOTS), route=self._route)
        if self._named:
            owner.plane.use_back_end(BackEndView(f"i-{name}", STATE_READY, SLOTS, 0))
        self.owners[name] = owner
        owner_address = owner.addresses.internal if self._owned else ""
        reached = endpoint(address, name, owner_address, SLOTS)
        self.endpoints[name] = msgspec.structs.replace(reached, incarnation=incarnation)

    async def restart_owner(
        self, name: str, down: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Restart a back end's node, which forgets everything; callers' nodes learn.

        ``down`` is awaited while it is down.
        """
        before = self.endpoints[name]
        await self.owners[name].plane.close()
        if down is not None:
            await down()
        listen = self.owners[name].addresses.internal
        await self.start_owner(name, before.address, before.incarnation + 1, listen)
        self.announce()

    def own(self, name: str) -> LocalBackEnd:
        own = self.owners[name].plane.calls.own
        assert own is not None
        return own

    def replace_back_end(self, name: str) -> None:
        """Let another incarnation of a back end take the place of the current one."""
        life = f"{self.own(name).life.instance}-next"
        self.owners[name].plane.use_back_end(BackEndView(life, STATE_READY, SLOTS, 0))
        before = self.endpoints[name]
        self.endpoints[name] = msgspec.structs.replace(
            before, incarnation=before.incarnation + 1
        )
        self.announce()

    def announce(self) -> None:
        for node in self._edges.values():
            node.plane.use_endpoints(tuple(self.endpoints.values()))

    async def load(
        self, rate: float, seconds: float, paths: tuple[str, ...] = ("/",)
    ) -> None:
        """Send calls at a steady rate, from one node and to one path after the other."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number, node in enumerate(itertools.cycle(self._edges)):
            due = begun + number / rate
            if due >= begun + seconds:
                return
            await asyncio.sleep(max(0.0, due - loop.time()))
            path = paths[number // len(self._edges) % len(paths)]
            task = asyncio.create_task(self.send(node, path))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def settle(self) -> None:
        """Wait until every call has ended."""
        while self._calls:
            await asyncio.gather(*self._calls)

    async def send(self, node: str, path: str = "/") -> None:
        sent_at = asyncio.get_running_loop().time()
        request = f"{node}-{next(self._numbers)}"
        headers = {"x-request-id": request}
        answer = await call(self._edges[node].addresses.callers, path, headers=headers)
        ended_at = asyncio.get_running_loop().time()
        self.ended.append(Ended(node, request, sent_at, ended_at, answer, path))

    def told(self, back_end: str, field: str) -> dict[str, float]:
        """Give when each node first passed on an answer of a back end with this field."""
        first: dict[str, float] = {}
        for each in self.ended:
            headers = each.answer.headers
            if headers.get("x-back-end") == back_end and field in headers:
                first.setdefault(each.node, each.ended_at)
        return first

    def breaches(self, back_end: str, limit: float) -> list[str]:
        told = self.told(back_end, RATE_LIMIT)
        assert told, "no caller was told of the limit"
        return self.back_ends[back_end].limit_breaches(limit, told)

    def answered(self, matches: Callable[[Ended], bool] = lambda each: True) -> list[Ended]:
        return [each for each in self.ended if each.answer.status == 200 and matches(each)]

    def refused(self) -> list[Ended]:
        return [each for each in self.ended if each.answer.status != 200]
