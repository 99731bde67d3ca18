"""Test helpers: data planes and raw callers in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import h11
import msgspec

from peppershore.connection.authorization import allow_all
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.commands import Notice
from peppershore.process.node.data_plane import DataPlane, ListenAddresses
from peppershore.process.settings import NodeSettings
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import (
    RouteResource,
    RouteSettings,
    Scope,
    SecretResource,
    ServiceSettings,
    TenantResource,
)

SERVICE = "kassa"
QUICK_SERVICE = ServiceSettings(slow_start_milliseconds=0)
PUBLIC_ROUTE = RouteSettings(
    path_prefix="/",
    methods=("GET", "POST", "HEAD", "PUT"),
    audience=("public",),
    repeatable=True,
    timeout_milliseconds=3_000,
)

HANG_SECONDS = 60
"""Time limit of a scene. It only catches hangs; no test asserts how long a scene takes."""


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, HANG_SECONDS))


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(HANG_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


def configuration(
    route: RouteSettings = PUBLIC_ROUTE,
    service: ServiceSettings = QUICK_SERVICE,
    secrets: dict[str, SecretResource] | None = None,
    tenants: dict[str, TenantResource] | None = None,
    others: tuple[RouteResource, ...] = (),
) -> ActiveConfiguration:
    return ActiveConfiguration(
        scope=Scope("edge", "pasila"),
        version=1,
        digest=1,
        routes=(*others, RouteResource(SERVICE, "all", route)),
        services={SERVICE: service},
        secrets=secrets or {},
        tenants=tenants or {},
    )


def endpoint(
    address: str, node: str = "k1", owner_address: str = "", slots: int = 20
) -> Endpoint:
    return Endpoint(
        node=node,
        service=SERVICE,
        zone="pasila",
        incarnation=1,
        sequence=1,
        state="ready",
        address=address,
        owner_address=owner_address,
        slots=slots,
        connections=130,
    )


class Node:
    """One data plane and the notices that it emitted."""

    def __init__(
        self, name: str = "e1", backend: str = "", slots: int = 20, **changes: Any
    ) -> None:
        self.notices: list[Notice] = []
        authorize = changes.pop("authorize", allow_all)
        settings = NodeSettings(
            cluster="test",
            node=name,
            service=changes.pop("service", SERVICE if backend else "edge"),
            zone="pasila",
            listen=changes.pop("listen", "127.0.0.1:0"),
            internal_listen=changes.pop(
                "internal_listen", "127.0.0.1:0" if backend else ""
            ),
            relays=(),
            backend=backend,
            slots=slots,
            **changes,
        )
        self.plane = DataPlane(settings, self.notices.append, seed=7, authorize=authorize)
        self.addresses = ListenAddresses("", "")

    async def start(self, *endpoints: Endpoint, **changes: Any) -> str:
        self.addresses = await self.plane.start()
        self.plane.use_configuration(configuration(**changes))
        self.plane.use_endpoints(endpoints)
        return self.addresses.callers


class Answer(msgspec.Struct):
    """A complete answer, or in ``broken`` the reason why there is none."""

    status: int
    headers: dict[str, str]
    body: bytes
    broken: str = ""

    @property
    def outcome(self) -> str:
        return self.headers.get("peppershore-outcome", "")

    @property
    def reason(self) -> str:
        return self.headers.get("peppershore-reason", "")


class Caller:
    """A caller's raw connection; h11 is used only to parse answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._received = b""

    @classmethod
    async def connect(cls, address: str) -> Caller:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def request(
        self,
        target: str = "/",
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        lines = [f"{method} {target} HTTP/1.1", "host: kassa"]
        if body:
            lines.append(f"content-length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        self.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)

    async def answer(self, method: str = "GET") -> Answer:
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        http.send(h11.EndOfMessage())
        http.receive_data(self._received) if self._received else None
        answer = Answer(0, {}, b"")
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as problem:
                answer.broken = str(problem)
                return answer
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await self.reader.read(65_536))
                except ConnectionError as problem:
                    answer.broken = str(problem)
                    return answer
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._received = http.trailing_data[0]
                return answer
            elif isinstance(event, h11.ConnectionClosed):
                answer.broken = "closed"
                return answer

    def close(self) -> None:
        self.writer.close()


async def call(address: str, target: str = "/", **changes: Any) -> Answer:
    caller = await Caller.connect(address)
    caller.request(target, **changes)
    answer = await caller.answer(changes.get("method", "GET"))
    caller.close()
    return answer
