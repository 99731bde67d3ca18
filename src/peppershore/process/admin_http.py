"""The admin listener of a process: metrics, health, readiness and pages.

Read-only HTTP/1.1 by h11, one request after another on a connection:
``GET /metrics``, ``/healthz`` (the loop turns), ``/readyz`` (200 only if the
role's own condition holds, else 503 with the reason), and the role's pages.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import h11
import msgspec

from peppershore.process.metrics import METRICS_CONTENT_TYPE, ProcessMetrics

PLAIN_TEXT = "text/plain; charset=utf-8"
HTML = "text/html; charset=utf-8"
JSON = "application/json"
IDLE_TIMEOUT_SECONDS = 30.0
RECEIVE_BYTES = 65_536
MAX_CONNECTIONS = 64
_OK = 200
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_UNAVAILABLE = 503


class Readiness(msgspec.Struct, frozen=True):
    """Whether the process does its job now, and why not."""

    ready: bool
    reason: str = ""


class Page(msgspec.Struct, frozen=True):
    """One answer of the admin listener."""

    body: bytes
    content_type: str = HTML
    status: int = _OK


PageSource = Callable[[str], Page]
"""Gives a page for the query string of the request (without "?")."""


class AdminServer:
    """Serves the admin pages of one process."""

    def __init__(
        self,
        metrics: ProcessMetrics,
        readiness: Callable[[], Readiness],
        pages: Mapping[str, PageSource] | None = None,
    ) -> None:
        """Serve the standard pages and ``pages`` (by path, such as "/status")."""
        self._pages: dict[str, PageSource] = {
            "/metrics": lambda _query: Page(metrics.render(), METRICS_CONTENT_TYPE),
            "/healthz": lambda _query: Page(b"ok\n", PLAIN_TEXT),
            "/readyz": lambda _query: _readiness_page(readiness()),
        }
        self._pages |= dict(pages or {})
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, listen: str) -> int:
        """Listen on "IP:port"; give the port bound."""
        host, _, port = listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and drop open connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._connections):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._answer_requests(reader, writer)
        except (TimeoutError, OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _answer_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                request = await _next_request(connection, reader)
                if request is None:
                    return
                page = self._page_for(request)
                writer.write(_encode(connection, request, page))
                await writer.drain()
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    def _page_for(self, request: h11.Request) -> Page:
        if request.method not in (b"GET", b"HEAD"):
            return Page(b"only GET is served here\n", PLAIN_TEXT, _METHOD_NOT_ALLOWED)
        path, _, query = request.target.decode("ascii", "replace").partition("?")
        source = self._pages.get(path)
        if source is None:
            known = ", ".join(sorted(self._pages))
            return Page(
                f"no such page; there are {known}\n".encode(), PLAIN_TEXT, _NOT_FOUND
            )
        return source(query)


async def _next_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request | None:
    """Give the next whole request, or None when the peer is done."""
    request: h11.Request | None = None
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.Data):
            continue
        else:
            return None


def _encode(connection: h11.Connection, request: h11.Request, page: Page) -> bytes:
    headers = [
        ("content-type", page.content_type),
        ("content-length", str(len(page.body))),
        ("cache-control", "no-store"),
        ("x-content-type-options", "nosniff"),
    ]
    head = connection.send(h11.Response(status_code=page.status, headers=headers))
    body = b""
    if request.method != b"HEAD":
        body = connection.send(h11.Data(data=page.body)) or b""
    end = connection.send(h11.EndOfMessage()) or b""
    return (head or b"") + body + end


def _readiness_page(readiness: Readiness) -> Page:
    if readiness.ready:
        return Page(b"ready\n", PLAIN_TEXT)
    return Page(f"not ready: {readiness.reason}\n".encode(), PLAIN_TEXT, _UNAVAILABLE)
