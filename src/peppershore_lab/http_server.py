"""A small HTTP/1.1 server on h11, for stand-ins and control endpoints.

The handler of a request is cancelled when its client goes away.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import h11
import msgspec

READ_BYTES = 65_536


class HttpRequest(msgspec.Struct, frozen=True):
    """One whole request; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class HttpAnswer(msgspec.Struct, frozen=True):
    """One answer; ``close`` ends the connection after it.

    ``cut``: announce the whole body, send half of it and close.
    ``unframed``: declare no length; the end of the connection ends the body.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    close: bool = False
    cut: bool = False
    unframed: bool = False
    reason: str = ""


Handler = Callable[[HttpRequest], Awaitable[HttpAnswer]]

Transmit = Callable[[HttpAnswer, bytes], Awaitable[None]]
"""Writes an answer, given with its bytes, to its connection."""


class ConnectionEnded(Exception):  # noqa: N818 - an event, not an error
    """This connection ends before its answer is whole."""


class ServerConnection:
    """Serves the requests of one client connection, one after another."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        transmit: Transmit | None = None,
    ) -> None:
        """Bind an accepted connection to the handler of its requests.

        ``transmit`` writes the answers that are not cut; without it, they are written as
        they are.
        """
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._transmit = transmit or self._write
        self._protocol = h11.Connection(h11.SERVER)

    async def serve(self) -> None:
        """Answer requests until either side ends the connection."""
        try:
            while await self._serve_one():
                self._protocol.start_next_cycle()
        except (h11.RemoteProtocolError, h11.LocalProtocolError):
            pass
        except (ConnectionEnded, ConnectionError, OSError):
            pass
        finally:
            self._writer.close()

    async def _serve_one(self) -> bool:
        request = await self._read_request()
        if request is None:
            return False
        answer = await self._handle(request)
        await self._send(request, answer)
        return not answer.close and self._protocol.our_state is h11.DONE

    async def _read_request(self) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                await self._need_data()
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return _request_of(head, bytes(body))
            else:
                return None

    async def _need_data(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._protocol.send(go_ahead) or b"")
        self._protocol.receive_data(await self._reader.read(READ_BYTES))

    async def _handle(self, request: HttpRequest) -> HttpAnswer:
        handling = asyncio.ensure_future(self._handler(request))
        watching = asyncio.ensure_future(self._until_client_gone())
        try:
            await asyncio.wait({handling, watching}, return_when=asyncio.FIRST_COMPLETED)
            if not handling.done():
                raise ConnectionEnded
            return handling.result()
        finally:
            for task in (handling, watching):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await watching
            await asyncio.wait({handling})

    async def _until_client_gone(self) -> None:
        while data := await self._reader.read(READ_BYTES):
            self._protocol.receive_data(data)

    async def _send(self, request: HttpRequest, answer: HttpAnswer) -> None:
        if answer.unframed:
            await self._transmit(answer, _unframed_bytes(answer))
            raise ConnectionEnded
        headers = [(name, value) for name, value in answer.headers]
        headers.append(("content-length", str(len(answer.body))))
        if answer.close:
            headers.append(("connection", "close"))
        head = h11.Response(
            status_code=answer.status, headers=headers, reason=answer.reason
        )
        data = self._protocol.send(head) or b""
        if answer.cut:
            self._writer.write(data + answer.body[: len(answer.body) // 2])
            raise ConnectionEnded
        if request.method != "HEAD":
            data += self._protocol.send(h11.Data(data=answer.body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        await self._transmit(answer, data)

    async def _write(self, answer: HttpAnswer, data: bytes) -> None:
        del answer
        self._writer.write(data)
        await self._writer.drain()


def _unframed_bytes(answer: HttpAnswer) -> bytes:
    """Return an answer without a length; h11 would send such a body in chunks."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in answer.headers)
    head = f"HTTP/1.1 {answer.status} {answer.reason}\r\n{fields}connection: close\r\n\r\n"
    return head.encode("latin-1") + answer.body


def _request_of(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {
        name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers
    }
    return HttpRequest(
        method=head.method.decode("ascii"),
        target=head.target.decode("latin-1"),
        headers=headers,
        body=body,
    )


async def start_server(
    host: str, port: int, handler: Handler
) -> tuple[asyncio.Server, int]:
    """Serve ``handler`` on an address (port 0: a free one); give server and port."""

    async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await ServerConnection(reader, writer, handler).serve()

    server = await asyncio.start_server(accepted, host, port)
    return server, int(server.sockets[0].getsockname()[1])
