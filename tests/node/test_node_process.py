"""A node as a complete process: TLS, metrics and planned stop."""

from __future__ import annotations

import asyncio
import os
import signal
import ssl
from collections.abc import Iterator
from pathlib import Path

import pytest

from peppershore.connection import certificates
from peppershore.connection.identity import SCHEME, parse_identity
from peppershore.connection.tls import TlsPaths, client_context
from peppershore.process.node.shell import run_node
from peppershore.process.settings import NodeSettings, PeerRelay, TlsFiles
from peppershore_lab.fleet.addresses import (
    ADMIN_PORT,
    HTTP_PORT,
    INTERNAL_PORT,
    LINK_PORT,
    AddressBlock,
)

BOUND_SECONDS = 20.0


@pytest.fixture
def host() -> Iterator[str]:
    """Address used only by this test, so that no other test occupies its ports."""
    block = AddressBlock()
    yield block.next_host()
    block.close()


def make_settings(folder: Path, host: str) -> NodeSettings:
    authority = certificates.make_authority(folder).unwrap()
    identity = parse_identity(f"{SCHEME}site/node/kassa/pasila/kassa-1").unwrap()
    pem = str(certificates.issue(folder, authority, identity, days=1).unwrap())
    return NodeSettings(
        cluster="site",
        node="kassa-1",
        service="kassa",
        zone="pasila",
        listen=f"{host}:{HTTP_PORT}",
        internal_listen=f"{host}:{INTERNAL_PORT}",
        admin_listen=f"{host}:{ADMIN_PORT}",
        relays=(PeerRelay(name="r1", zone="pasila", address=f"{host}:{LINK_PORT}"),),
        tls=TlsFiles(
            certificate=pem,
            key=pem,
            authority=str(folder / certificates.AUTHORITY_CERTIFICATE),
        ),
    )


async def read_metrics(address: str) -> str:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    content = await reader.read()
    writer.close()
    return content.decode()


async def greet_internal(settings: NodeSettings, context: ssl.SSLContext) -> str:
    """Return the TLS version negotiated with the node's listener for other nodes."""
    host, _, port = settings.internal_listen.rpartition(":")
    _, writer = await asyncio.open_connection(
        host, int(port), ssl=context, server_hostname=""
    )
    secured: ssl.SSLObject = writer.get_extra_info("ssl_object")
    writer.close()
    return secured.version() or ""


async def ready_or_ended(ready: asyncio.Event, node: asyncio.Task[None]) -> None:
    """Wait until the node is ready; if it exits before that, raise its error."""
    waiting = asyncio.create_task(ready.wait())
    await asyncio.wait((waiting, node), return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if node.done():
        node.result()
    assert ready.is_set()


def test_a_node_process_secures_calls_between_nodes_and_shows_their_figures(
    tmp_path: Path, host: str
) -> None:
    settings = make_settings(tmp_path, host)
    assert settings.tls is not None
    files = TlsPaths(settings.tls.certificate, settings.tls.key, settings.tls.authority)

    async def check() -> None:
        ready = asyncio.Event()
        node = asyncio.create_task(run_node(settings, lambda _port: ready.set()))
        await ready_or_ended(ready, node)
        assert await greet_internal(settings, client_context(files).context) == "TLSv1.3"
        shown = await read_metrics(settings.admin_listen)
        assert "calls_answered" in shown
        assert "calls_in_flight" in shown
        os.kill(os.getpid(), signal.SIGTERM)
        await node

    asyncio.run(asyncio.wait_for(check(), BOUND_SECONDS))
