"""A back end on raw sockets whose answers a test writes byte by byte."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Script = Callable[["Received", asyncio.StreamWriter], Awaitable[None]]


class Received:
    """One request as the back end received it."""

    def __init__(self, head: bytes, reader: asyncio.StreamReader) -> None:
        self.head = head
        self.reader = reader
        self.lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = self.lines[0].split(" ", 2)
        pairs = (line.split(": ", 1) for line in self.lines[1:] if line)
        self.headers = {name.lower(): value for name, value in pairs}

    async def body(self) -> bytes:
        if self.headers.get("transfer-encoding") == "chunked":
            return await self._chunks()
        return await self.reader.readexactly(int(self.headers.get("content-length", "0")))

    async def _chunks(self) -> bytes:
        body = b""
        while True:
            size = int(await self.reader.readline(), 16)
            body += await self.reader.readexactly(size)
            await self.reader.readline()
            if size == 0:
                return body


async def answer_ok(request: Received, writer: asyncio.StreamWriter) -> None:
    body = await request.body()
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (len(body) + 3))
    writer.write(b"ok:" + body)


class ScriptedBackend:
    """Serves every request with the script and records the requests."""

    def __init__(self, script: Script = answer_ok) -> None:
        self.script = script
        self.requests: list[Received] = []
        self.connections = 0
        self.open = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.open += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Received(head, reader)
                self.requests.append(request)
                await self.script(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()
