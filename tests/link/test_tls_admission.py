"""TLS handshakes are limited in number; connections above the limit are refused at once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from peppershore.connection import certificates, tls_admission
from peppershore.connection.codec import encode_message
from peppershore.connection.identity import SCHEME, parse_identity
from peppershore.connection.link import Link, open_link
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.session import Goodbye
from peppershore.connection.tls import TlsPaths, client_context, server_context
from peppershore.connection.tls_admission import TlsAdmission

HOST = "127.0.0.1"
TEST_TIMEOUT_SECONDS = 20.0
NODE = f"{SCHEME}site/node/kassa/pasila/kassa-1"
RELAY = f"{SCHEME}site/relay/r1"


class Site:
    """A TLS listener that allows one handshake at a time."""

    def __init__(self, folder: Path) -> None:
        certificates.make_authority(folder).unwrap()
        self._folder = folder
        self.client = client_context(self._paths(NODE)).context
        server = server_context(self._paths(RELAY)).context
        self.accepted: asyncio.Queue[Link] = asyncio.Queue()
        self.admission = TlsAdmission(
            server, lambda: Link(self.accepted.put_nowait), max_handshakes=1
        )
        self.address = ""

    def _paths(self, identity: str) -> TlsPaths:
        authority = certificates.load_authority(self._folder).unwrap()
        parsed = parse_identity(identity).unwrap()
        pem = str(certificates.issue(self._folder, authority, parsed, days=1).unwrap())
        return TlsPaths(pem, pem, str(self._folder / certificates.AUTHORITY_CERTIFICATE))

    async def connect(self) -> Link | str:
        return await open_link(self.address, self.client)

    async def stall(self) -> asyncio.StreamWriter:
        """Connect without ever starting the handshake."""
        host, _, port = self.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        return writer

    def run(self, check: Callable[[], Awaitable[None]]) -> None:
        async def with_server() -> None:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(self.admission.initial_protocol, HOST, 0)
            self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
            await check()
            server.close()
            self.admission.close()

        asyncio.run(asyncio.wait_for(with_server(), TEST_TIMEOUT_SECONDS))


@pytest.fixture
def site(tmp_path: Path) -> Site:
    return Site(tmp_path)


def test_a_secured_link_knows_its_peer_and_carries_messages(site: Site) -> None:
    async def check() -> None:
        opened = await site.connect()
        assert isinstance(opened, Link)
        opened.send(encode_message(Goodbye("one")))
        accepted = await site.accepted.get()
        assert accepted.peer_identity == NODE
        received: asyncio.Queue[Message] = asyncio.Queue()
        accepted.start(lambda message, _size: received.put_nowait(message), print)
        assert await received.get() == Goodbye("one")
        opened.close()
        accepted.close()

    site.run(check)


def test_connections_above_the_limit_are_refused_at_once_and_accepted_later(
    site: Site,
) -> None:
    async def check() -> None:
        stalled = await site.stall()
        refusal = await site.connect()
        assert isinstance(refusal, str)
        assert site.admission.refused == 1
        stalled.close()
        await stalled.wait_closed()
        opened: Link | str = ""
        for _ in range(100):
            opened = await site.connect()
            if isinstance(opened, Link):
                break
            await asyncio.sleep(0.01)
        assert isinstance(opened, Link)
        opened.close()

    site.run(check)


def test_a_handshake_that_never_begins_times_out(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tls_admission, "HANDSHAKE_SECONDS", 0.05)

    async def check() -> None:
        host, _, port = site.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        assert await reader.read() == b""
        monkeypatch.undo()
        assert isinstance(await site.connect(), Link)
        writer.close()

    site.run(check)
