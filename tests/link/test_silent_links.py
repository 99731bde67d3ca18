"""Connections whose peer becomes silent permanently, without a reset, are closed.

Guards against a fault by which versions arrived late: a node leaves a silent relay by its
own time-out, but links between replicas and between relays, and connections to back ends,
had no liveness check. A replica kept sending its entries into a silent link for as long as
it ran, although a new link would have worked at once.
"""

from __future__ import annotations

import asyncio
import socket

from tests.link.silent_peer import drop_incoming

from peppershore.connection.codec import encode_message
from peppershore.connection.http_pool import ConnectionPool
from peppershore.connection.link import Link, open_link
from peppershore.connection.messages.session import Goodbye

HOST = "127.0.0.1"
TEST_TIMEOUT_SECONDS = 20.0
SEND_INTERVAL_SECONDS = 0.05


class SilentServer:
    """Accepts connections and keeps their sockets, so that tests can silence them."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self._listener.setblocking(False)
        self.accepted: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"{HOST}:{self._listener.getsockname()[1]}"

    async def accept(self) -> None:
        peer, _ = await asyncio.get_running_loop().sock_accept(self._listener)
        self.accepted.append(peer)

    def close(self) -> None:
        for peer in (*self.accepted, self._listener):
            peer.close()


async def _link_to(server: SilentServer, ended: asyncio.Future[str]) -> Link:
    opened = await open_link(server.address, None)
    assert isinstance(opened, Link)
    await server.accept()
    opened.start(lambda message, size: None, ended.set_result)
    return opened


def test_a_link_that_falls_silent_while_sending_is_closed() -> None:
    async def scene() -> None:
        server = SilentServer()
        ended = asyncio.get_running_loop().create_future()
        link = await _link_to(server, ended)
        drop_incoming(server.accepted[0])
        while not ended.done():
            link.send(encode_message(Goodbye("anyone there?")))
            await asyncio.wait({ended}, timeout=SEND_INTERVAL_SECONDS)
        assert ended.result()
        server.close()

    asyncio.run(asyncio.wait_for(scene(), TEST_TIMEOUT_SECONDS))


def test_a_link_that_falls_silent_while_idle_is_closed() -> None:
    async def scene() -> None:
        server = SilentServer()
        ended = asyncio.get_running_loop().create_future()
        await _link_to(server, ended)
        drop_incoming(server.accepted[0])
        assert await ended
        server.close()

    asyncio.run(asyncio.wait_for(scene(), TEST_TIMEOUT_SECONDS))


def test_a_pooled_connection_that_fell_silent_is_not_reused() -> None:
    async def scene() -> None:
        server = SilentServer()
        pool = ConnectionPool(server.address, 4)
        opened = asyncio.get_running_loop().create_future()
        pool.connect(opened.set_result)
        await server.accept()
        connection = await opened
        pool.give_back(connection)
        drop_incoming(server.accepted[0])
        while connection.usable:  # noqa: ASYNC110
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        assert pool.take() is None
        pool.close()
        server.close()

    asyncio.run(asyncio.wait_for(scene(), TEST_TIMEOUT_SECONDS))
