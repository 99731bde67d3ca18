"""Links over loopback: messages, undecodable bytes, and peers that do not read."""

from __future__ import annotations

import asyncio
import socket

import pytest

from peppershore.connection import link as link_module
from peppershore.connection.codec import encode_message
from peppershore.connection.framing import encode_frame
from peppershore.connection.link import Link, LinkListener, open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.session import Goodbye

HOST = "127.0.0.1"
TEST_TIMEOUT_SECONDS = 20.0
POLLS = 1_000
LARGE_BYTES = 32 * 1024 * 1024


class Accepting:
    """A listener with a queue of its accepted links."""

    def __init__(self) -> None:
        self.listener = LinkListener(self._take, None)
        self._links: asyncio.Queue[Link] = asyncio.Queue()

    def _take(self, link: Link) -> None:
        self._links.put_nowait(link)

    async def start(self) -> int:
        return await self.listener.start(HOST, 0)

    async def link(self) -> Link:
        return await self._links.get()


def count_bytes_until_end(peer: socket.socket) -> int:
    """Read until the connection ends or is reset; return the number of bytes read."""
    total = 0
    try:
        while chunk := peer.recv(1 << 20):
            total += len(chunk)
    except ConnectionResetError:
        pass
    return total


def test_messages_received_before_the_start_are_delivered_in_order() -> None:
    async def check() -> list[Message]:
        accepting = Accepting()
        port = await accepting.start()
        opened = await open_link(f"{HOST}:{port}", None)
        assert isinstance(opened, Link)
        for reason in ("one", "two"):
            opened.send(encode_message(Goodbye(reason)))
        accepted = await accepting.link()
        received: list[Message] = []
        ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        accepted.start(lambda message, _size: received.append(message), ended.set_result)
        opened.close()
        await ended
        await accepting.listener.close()
        return received

    received = asyncio.run(asyncio.wait_for(check(), TEST_TIMEOUT_SECONDS))
    assert received == [Goodbye("one"), Goodbye("two")]


def test_bytes_that_are_no_message_close_the_link_with_a_reason() -> None:
    async def check() -> str:
        accepting = Accepting()
        port = await accepting.start()
        _, writer = await asyncio.open_connection(HOST, port)
        accepted = await accepting.link()
        ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        accepted.start(lambda _message, _size: None, ended.set_result)
        writer.write(encode_frame(b"\xc1"))
        reason = await ended
        writer.close()
        await accepting.listener.close()
        return reason

    assert asyncio.run(asyncio.wait_for(check(), TEST_TIMEOUT_SECONDS))


def test_a_closed_link_whose_peer_reads_loses_nothing() -> None:
    async def check() -> int:
        accepting = Accepting()
        port = await accepting.start()
        peer = socket.create_connection((HOST, port))
        accepted = await accepting.link()
        sent = accepted.send(bytes(LARGE_BYTES))
        accepted.close()
        read = await asyncio.to_thread(count_bytes_until_end, peer)
        await accepting.listener.close()
        return sent - read

    assert asyncio.run(asyncio.wait_for(check(), TEST_TIMEOUT_SECONDS)) == 0


def test_a_closed_link_whose_peer_does_not_read_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(link_module, "FLUSH_SECONDS", 0.05)

    async def check() -> int:
        accepting = Accepting()
        port = await accepting.start()
        peer = socket.create_connection((HOST, port))
        accepted = await accepting.link()
        accepted.send(bytes(LARGE_BYTES))
        accepted.close()
        assert accepted.queued_bytes
        for _ in range(POLLS):
            await asyncio.sleep(0.01)
            if not accepted.queued_bytes:
                break
        assert not accepted.queued_bytes
        read = await asyncio.to_thread(count_bytes_until_end, peer)
        await accepting.listener.close()
        return read

    assert asyncio.run(asyncio.wait_for(check(), TEST_TIMEOUT_SECONDS)) < LARGE_BYTES
