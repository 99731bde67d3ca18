"""Connections that fall silent for good, without a reset.

Seen by reading, in an incident about versions that came late: the node leaves a silent
relay by its own clock, but links between replicas and between relays, and connections to
back ends, had no sign of life.  A replica sent its entries into a silent link for as long
as it ran, though a new link would have worked at once.
"""

from __future__ import annotations

import asyncio
import socket

from tests.link.silent_peer import fall_silent

from peppershore.connection.codec import encode_message
from peppershore.connection.http_pool import ConnectionPool
from peppershore.connection.link import Link, open_link
from peppershore.connection.messages.session import Goodbye

HOST = "127.0.0.1"
HANG_SECONDS = 20.0
TALK_SECONDS = 0.05


class SilentServer:
    """Accepts connections, and can make those it has fall silent."""

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


def test_a_link_that_falls_silent_while_it_is_used_ends() -> None:
    async def scene() -> None:
        server = SilentServer()
        ended = asyncio.get_running_loop().create_future()
        link = await _link_to(server, ended)
        fall_silent(server.accepted[0])
        while not ended.done():
            link.send(encode_message(Goodbye("anyone there?")))
            await asyncio.wait({ended}, timeout=TALK_SECONDS)
        assert ended.result()
        server.close()

    asyncio.run(asyncio.wait_for(scene(), HANG_SECONDS))


def test_a_link_that_falls_silent_while_it_rests_ends() -> None:
    async def scene() -> None:
        server = SilentServer()
        ended = asyncio.get_running_loop().create_future()
        await _link_to(server, ended)
        fall_silent(server.accepted[0])
        assert await ended
        server.close()

    asyncio.run(asyncio.wait_for(scene(), HANG_SECONDS))


def test_a_kept_connection_that_fell_silent_is_not_given_to_a_call() -> None:
    async def scene() -> None:
        server = SilentServer()
        pool = ConnectionPool(server.address, 4)
        opened = asyncio.get_running_loop().create_future()
        pool.connect(opened.set_result)
        await server.accept()
        connection = await opened
        pool.give_back(connection)
        fall_silent(server.accepted[0])
        while connection.usable:  # noqa: ASYNC110
            await asyncio.sleep(TALK_SECONDS)
        assert pool.take() is None
        pool.close()
        server.close()

    asyncio.run(asyncio.wait_for(scene(), HANG_SECONDS))
