"""The four failures that docs/OPERATIONS.md walks through, played on real data planes."""

from __future__ import annotations

import asyncio

import msgspec
from tests.data_plane.scripted_backend import Received, ScriptedBackend
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    QUICK_SERVICE,
    Caller,
    Node,
    call,
    endpoint,
    until,
)

from peppershore.process.commands import Notice
from peppershore.version.model import (
    SecretGeneration,
    SecretResource,
    ServiceSettings,
    TenantResource,
)
from peppershore.version.tenants import key_digest

REFUSED_ID = "r-refused"
LOST_ID = "r-lost"
STALE_ID = "r-stale"
STALE_SECONDS = 9.0
KEY_ID = "r-key"
CONFIRMED_SECONDS = 0.2


class Walk(msgspec.Struct, frozen=True):
    """What each process wrote of one failure."""

    edge: tuple[Notice, ...]
    owner: tuple[Notice, ...] = ()


async def _two_nodes(
    backend: ScriptedBackend, slots: int, service: ServiceSettings = QUICK_SERVICE
) -> tuple[Node, Node, str]:
    owner = Node("k1", await backend.start(), slots)
    await owner.start(service=service)
    edge = Node("e1")
    there = endpoint(backend.address, owner_address=owner.addresses.internal, slots=slots)
    return edge, owner, await edge.start(there, service=service)


async def refused_under_load() -> Walk:
    """One slot, taken until the refusal is there, and no place to wait."""
    release = asyncio.Event()

    async def hold(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    backend = ScriptedBackend(hold)
    service = msgspec.structs.replace(QUICK_SERVICE, queue_limit=0)
    edge, owner, address = await _two_nodes(backend, slots=1, service=service)
    busy = await Caller.connect(address)
    busy.request()
    await until(lambda: len(backend.requests) == 1)
    await call(address, headers={"x-request-id": REFUSED_ID})
    release.set()
    await busy.answer()
    return await _ended(edge, owner, backend)


async def lost_back_end() -> Walk:
    """The back end hangs up on a call that may have run."""

    async def hang_up(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        writer.close()

    backend = ScriptedBackend(hang_up)
    edge, owner, address = await _two_nodes(backend, slots=20)
    headers = {"x-request-id": LOST_ID}
    await call(address, method="POST", body=b"x", headers=headers)
    return await _ended(edge, owner, backend)


async def out_of_date_node() -> Walk:
    """A node that no relay confirmed for a while meets a token that it can't judge."""
    edge = Node("e1")
    secret = SecretResource("site", (SecretGeneration(1, b"k" * 32),), 1)
    route = msgspec.structs.replace(
        PUBLIC_ROUTE, audience=("member",), verify_secret="site"
    )
    address = await edge.start(
        endpoint("127.0.0.1:1", "k1"), route=route, secrets={"site": secret}
    )
    headers = {"x-request-id": STALE_ID, "authorization": "Bearer x.y.z"}
    return await _refused_at_once(edge, address, STALE_SECONDS, headers)


async def dropped_key() -> Walk:
    """A caller goes on with a key that its tenant no longer has."""
    edge = Node("e1")
    studio = TenantResource("studio", (key_digest(b"the next key"),))
    address = await edge.start(endpoint("127.0.0.1:1", "k1"), tenants={"studio": studio})
    headers = {"x-request-id": KEY_ID, "authorization": "Bearer the-former-key"}
    return await _refused_at_once(edge, address, CONFIRMED_SECONDS, headers)


async def _refused_at_once(
    edge: Node, address: str, confirmed_seconds_ago: float, headers: dict[str, str]
) -> Walk:
    now = asyncio.get_running_loop().time()
    edge.plane.calls.freshness.confirmed(now - confirmed_seconds_ago)
    await call(address, headers=headers)
    await edge.plane.close()
    return Walk(tuple(edge.notices))


async def _ended(edge: Node, owner: Node, backend: ScriptedBackend) -> Walk:
    await edge.plane.close()
    await owner.plane.close()
    backend.stop()
    return Walk(tuple(edge.notices), tuple(owner.notices))
