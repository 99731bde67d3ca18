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


class Stage:
    """A running admin server whose readiness is set by the test."""

    def __init__(self) -> None:
        self.readiness = Readiness(True)
        self.server = AdminServer(
            ProcessMetrics(LogIdentity("control", "c1")),
            lambda: self.readiness,
            {"/echo": lambda query: Page(query.encode())},
        )
        self.port = 0

    async def ask(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(data)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    async def get(self, target: str) -> bytes:
        return await self.ask(
            f"GET {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".encode()
        )


def on_stage(work: Callable[[Stage], Awaitable[None]]) -> None:
    async def serve() -> None:
        stage = Stage()
        stage.port = await stage.server.start(f"{HOST}:0")
        try:
            await work(stage)
        finally:
            await stage.server.close()

    asyncio.run(serve())


def test_pages_are_served() -> None:
    async def work(stage: Stage) -> None:
        assert b"200" in (await stage.get("/healthz")).split(b"\r\n")[0]
        metrics = await stage.get("/metrics")
        assert b"text/plain; version=0.0.4" in metrics
        assert b"peppershore_uptime_seconds" in metrics
        assert (await stage.get("/echo?a=1")).endswith(b"\r\n\r\na=1")
        missing = await stage.get("/nothing")
        assert missing.startswith(b"HTTP/1.1 404")
        assert b"/readyz" in missing

    on_stage(work)


def test_unready_answer_names_the_reason() -> None:
    async def work(stage: Stage) -> None:
        assert (await stage.get("/readyz")).startswith(b"HTTP/1.1 200")
        stage.readiness = Readiness(False, "no leader within its lease")
        answer = await stage.get("/readyz")
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"no leader within its lease" in answer

    on_stage(work)


def test_connection_is_reused() -> None:
    async def work(stage: Stage) -> None:
        request = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n"
        answer = await stage.ask(request * 3)
        assert answer.count(b"HTTP/1.1 200") == 3

    on_stage(work)


@pytest.mark.parametrize("method", [b"POST", b"DELETE", b"PUT"])
def test_methods_that_could_change_state_are_refused(method: bytes) -> None:
    async def work(stage: Stage) -> None:
        answer = await stage.ask(method + b" /metrics HTTP/1.1\r\nhost: x\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 405")

    on_stage(work)


@settings(max_examples=30)
@given(st.lists(st.binary(max_size=60), max_size=4).map(b"\r\n".join))
def test_garbage_ends_its_connection_only(data: bytes) -> None:
    async def work(stage: Stage) -> None:
        await stage.ask(data)
        await stage.ask(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n" + data)
        assert (await stage.get("/healthz")).startswith(b"HTTP/1.1 200")

    on_stage(work)


def test_client_reads_a_page_and_names_what_is_wrong() -> None:
    async def work(stage: Stage) -> None:
        address = f"{HOST}:{stage.port}"
        assert (await fetch(address, "/echo?x", 5.0)).unwrap() == b"x"
        missing = await fetch(address, "/nothing", 5.0)
        assert isinstance(missing, Failure)
        assert "404" in missing.failure().message
        assert isinstance(await fetch("no address", "/", 5.0), Failure)

    on_stage(work)
