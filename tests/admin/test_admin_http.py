"""Admin listener: pages, readiness, refused methods and input that is not HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from peppershore.command.admin_client import fetch
from peppershore.process.admin_http import AdminServer, Page, Readiness
from peppershore.process.logging import LogIdentity
from peppershore.process.metrics import ProcessMetrics

HOST = "127.0.0.1"


class RunningAdmin:
    """A running admin server whose readiness is set by the test."""

    def __init__(self) -> None:
        self.readiness = Readiness(True)
        self.server = AdminServer(
            ProcessMetrics(LogIdentity("control", "c1")),
            lambda: self.readiness,
            {"/echo": lambda query: Page(query.encode())},
        )
        self.port = 0

    async def send(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(data)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    async def get(self, target: str) -> bytes:
        return await self.send(
            f"GET {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode()
        )


def run_with_admin(work: Callable[[RunningAdmin], Awaitable[None]]) -> None:
    async def serve() -> None:
        admin = RunningAdmin()
        admin.port = await admin.server.start(f"{HOST}:0")
        try:
            await work(admin)
        finally:
            await admin.server.close()

    asyncio.run(serve())


def test_pages_are_served() -> None:
    async def work(admin: RunningAdmin) -> None:
        assert b"200" in (await admin.get("/healthz")).split(b"\r\n")[0]
        metrics = await admin.get("/metrics")
        assert b"text/plain; version=0.0.4" in metrics
        assert b"peppershore_uptime_seconds" in metrics
        assert (await admin.get("/echo?a=1")).endswith(b"\r\n\r\na=1")
        missing = await admin.get("/nothing")
        assert missing.startswith(b"HTTP/1.1 404")
        assert b"/readyz" in missing

    run_with_admin(work)


def test_unready_answer_names_the_reason() -> None:
    async def work(admin: RunningAdmin) -> None:
        assert (await admin.get("/readyz")).startswith(b"HTTP/1.1 200")
        admin.readiness = Readiness(False, "no leader within its lease")
        answer = await admin.get("/readyz")
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"no leader within its lease" in answer

    run_with_admin(work)


def test_connection_is_reused() -> None:
    async def work(admin: RunningAdmin) -> None:
        request = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"
        answer = await admin.send(request * 3)
        assert answer.count(b"HTTP/1.1 200") == 3

    run_with_admin(work)


@pytest.mark.parametrize("method", [b"POST", b"DELETE", b"PUT"])
def test_methods_that_could_change_state_are_refused(method: bytes) -> None:
    async def work(admin: RunningAdmin) -> None:
        answer = await admin.send(method + b" /metrics HTTP/1.1\r\nhost: x\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 405")

    run_with_admin(work)


@settings(max_examples=30)
@given(st.lists(st.binary(max_size=60), max_size=4).map(b"\r\n".join))
def test_garbage_ends_its_connection_only(data: bytes) -> None:
    async def work(admin: RunningAdmin) -> None:
        await admin.send(data)
        await admin.send(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n" + data)
        assert (await admin.get("/healthz")).startswith(b"HTTP/1.1 200")

    run_with_admin(work)


def test_client_reads_a_page_and_names_what_is_wrong() -> None:
    async def work(admin: RunningAdmin) -> None:
        address = f"{HOST}:{admin.port}"
        assert (await fetch(address, "/echo?x", 5.0)).unwrap() == b"x"
        missing = await fetch(address, "/nothing", 5.0)
        assert isinstance(missing, Failure)
        assert "404" in missing.failure().message
        assert isinstance(await fetch("no address", "/", 5.0), Failure)

    run_with_admin(work)
