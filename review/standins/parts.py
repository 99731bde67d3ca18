"""Stand-ins for the users' side: an upstream with heartbeats, an operator, clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from fleet import Fleet, Machine

ATTEMPT = "x-peppershore-attempt-id"
DEADLINE = "x-peppershore-deadline-remaining"
SIGNATURE = "x-peppershore-server-signature"
EXPECTED = "x-peppershore-expected-instance"
NOT_RUN = "x-peppershore-not-executed"
SLOTS = 9

Headers = dict[str, str]


class Answer:
    """An HTTP answer as a client read it."""

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep status, header fields in lower case, and the body."""
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the header fields of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = bytearray()
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return bytes(body)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer on a connection."""
    first, headers = await read_head(reader)
    return Answer(int(first.split()[1]), headers, await read_body(reader, headers))


def request_bytes(
    method: str, host: str, path: str, headers: Headers, body: bytes = b""
) -> bytes:
    """Return the bytes of a request; a body has a length."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    host: str,
    path: str,
    *,
    headers: Headers,
    body: bytes = b"",
    seconds: float = 3.0,
) -> Answer | None:
    """Send one request on a new connection; return None without an answer in time."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(request_bytes(method, host, path, headers, body))
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def ask(
    address: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> Answer | None:
    """Call one of the system's own interfaces, which take JSON."""
    headers = {"Content-Type": "application/json"} if body else {}
    return await call(
        address, method, address, path, headers=headers, body=body, seconds=seconds
    )


class Run:
    """One request that an upstream ran: its id, first line and body, and when it began."""

    def __init__(self, request: str, line: str, body: bytes, at: float) -> None:
        """Note a request that begins to run."""
        self.request, self.line, self.body, self.at = request, line, body, at


Work = Callable[[str], Awaitable[None]]


class Upstream:
    """An upstream beside a node: it has slots, signs its answers and sends heartbeats."""

    def __init__(self, node: Machine, work: Work) -> None:
        """Serve at the node's application address; ``work`` takes the time of a run."""
        self.node = node
        self.instance = f"i-{secrets.token_hex(4)}"
        self.runs: list[Run] = []
        self._work = work
        self._running = asyncio.Semaphore(SLOTS)
        self._sequence = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and send heartbeats from now on."""
        host, _, port = self.node.address("application").rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        task = asyncio.create_task(self._beat())
        self._tasks.add(task)

    def next_beat(self) -> tuple[str, bytes]:
        """Return path and body of the next heartbeat."""
        self._sequence += 1
        beat = {
            "service": self.node.service,
            "address": self.node.address("application"),
            "zone": self.node.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "warming_milliseconds": 0,
            "sequence": self._sequence,
        }
        return f"/back-ends/{self.instance}/heartbeat", json.dumps(beat).encode()

    async def _beat(self) -> None:
        """Send a heartbeat each 1.5 s, or a little later where none was acknowledged."""
        while True:
            path, body = self.next_beat()
            answer = await ask(self.node.address("control"), "POST", path, body)
            taken = answer is not None and answer.status == 200
            await asyncio.sleep(1.5 if taken else 0.2)

    async def crash(self) -> None:
        """End without a word: no more heartbeats, and all connections are closed."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError)
        self._open.add(writer)
        with contextlib.suppress(*ends):
            while True:
                await self._serve_one(reader, writer)
        self._open.discard(writer)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        request = headers.get(ATTEMPT, "")
        if headers.get(EXPECTED, self.instance) != self.instance:
            writer.write(answer_bytes("421 Misdirected Request", {ATTEMPT: request}, b""))
            return
        await self.run(request, line, body)
        signed = {ATTEMPT: request, SIGNATURE: f"{self.instance}.{request}"}
        writer.write(answer_bytes("200 OK", signed, f"ran {request}\n".encode()))
        await writer.drain()

    async def run(self, request: str, line: str, body: bytes) -> None:
        """Run a request as soon as a slot is free."""
        async with self._running:
            self.runs.append(Run(request, line, body, self.node.fleet.seconds))
            self.node.fleet.record(f"{self.node.name}'s upstream runs {request}")
            await self._work(line)


def answer_bytes(status: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def configuration(version: int, base: int, routes: dict[str, Any]) -> bytes:
    """Return a whole configuration in the form that ``fleetbench wire`` shows."""
    services = {route["service"] for route in routes.values()}
    return json.dumps(
        {
            "version": version,
            "base": base,
            "routes": routes,
            "services": {
                name: {
                    "health_path": "/health",
                    "connections": 130,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in sorted(services)
            },
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 67_108_864,
                "header_timeout_milliseconds": 3_000,
                "idle_timeout_milliseconds": 15_000,
            },
        }
    ).encode()


def route(host: str, prefix: str, runs: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "host": host,
        "path_prefix": prefix,
        "runs": runs,
        "timeout_milliseconds": 5_000,
        "target_latency_milliseconds": 1_500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **more,
    }


async def place(fleet: Fleet, hubs: list[Machine], body: bytes, until: float) -> bool:
    """Send a configuration to one hub after the other until it is acknowledged."""
    number = 0
    while fleet.seconds < until:
        hub = hubs[number % len(hubs)]
        number += 1
        answer = await ask(hub.address("control"), "PUT", "/configuration", body)
        said = "nothing" if answer is None else str(answer.status)
        fleet.record(f"operator sends the configuration to {hub.name}: {said}")
        if answer is not None and answer.status == 200:
            return True
        await asyncio.sleep(0.3)
    return False
