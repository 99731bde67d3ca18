"""HTTP/1.1 server for the small interfaces of a process, based on h11.

It serves operators, back ends and probes, one request at a time per connection. Calls
between services go through ``connection.http_server``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import h11
import msgspec

from peppershore.connection.turns import MAX_EVENTS_PER_TURN

PLAIN_TEXT = "text/plain; charset=utf-8"
JSON = "application/json"
IDLE_TIMEOUT_SECONDS = 30.0
RECEIVE_BYTES = 65_536
MAX_CONNECTIONS = 256
STATUS_OK = 200
STATUS_BODY_TOO_LARGE = 413

Fields = tuple[tuple[str, str], ...]


class ServiceRequest(msgspec.Struct, frozen=True):
    """One HTTP request to the service; ``query`` does not include the "?"."""

    method: str
    path: str
    query: str = ""
    body: bytes = b""


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The HTTP response to a request.

    ``fields`` are header fields besides content type and length.
    """

    status: int = STATUS_OK
    body: bytes = b""
    content_type: str = PLAIN_TEXT
    fields: Fields = ()


Answerer = Callable[[ServiceRequest], Awaitable[ServiceAnswer]]


class HttpService:
    """Listens on one address and passes each request to a handler."""

    def __init__(
        self,
        answer: Answerer,
        max_body_bytes: int = 0,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Answer requests by ``answer``, and those with a too large body by status 413.

        A ``max_body_bytes`` of 0 means that bodies are read and discarded. Connections
        beyond ``max_connections`` are closed at once.
        """
        self._answer = answer
        self._max_body_bytes = max_body_bytes
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, listen: str) -> int:
        """Listen on "IP:port" and return the bound port."""
        host, _, port = listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and close open connections without completing their requests."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._connections):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= self._max_connections:
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._answer_requests(reader, writer)
        except (TimeoutError, OSError, h11.ProtocolError, asyncio.CancelledError):
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
                received = await self._next_request(connection, reader)
                if received is None:
                    return
                if isinstance(received, ServiceAnswer):
                    answer, method = received, ""
                else:
                    answer, method = await self._answer(received), received.method
                writer.write(_encode(connection, method, answer))
                await writer.drain()
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _next_request(
        self, connection: h11.Connection, reader: asyncio.StreamReader
    ) -> ServiceRequest | ServiceAnswer | None:
        """Return the next complete request, or the response that rejects it.

        Return None when the peer has closed the connection.
        """
        head: h11.Request | None = None
        body = bytearray()
        events = 0
        while True:
            event = connection.next_event()
            events += 1
            if events % MAX_EVENTS_PER_TURN == 0:
                await asyncio.sleep(0)
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_body_bytes > 0:
                    return ServiceAnswer(STATUS_BODY_TOO_LARGE, b"the body is too large\n")
                if self._max_body_bytes == 0:
                    body.clear()
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _to_request(head, bytes(body))
            else:
                return None


def _to_request(head: h11.Request, body: bytes) -> ServiceRequest:
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    return ServiceRequest(head.method.decode("ascii"), path, query, body)


def _encode(connection: h11.Connection, method: str, answer: ServiceAnswer) -> bytes:
    headers = [
        ("content-type", answer.content_type),
        ("content-length", str(len(answer.body))),
        ("cache-control", "no-store"),
        ("x-content-type-options", "nosniff"),
        *answer.fields,
    ]
    if connection.their_state is not h11.DONE:
        headers.append(("connection", "close"))
    head = connection.send(h11.Response(status_code=answer.status, headers=headers))
    body = b""
    if method != "HEAD":
        body = connection.send(h11.Data(data=answer.body)) or b""
    end = connection.send(h11.EndOfMessage()) or b""
    return (head or b"") + body + end
