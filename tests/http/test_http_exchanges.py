"""HTTP/1.1 exchanges between a caller and a back end through one or two nodes."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    QUICK_SERVICE,
    Answer,
    Caller,
    Node,
    call,
    configuration,
    endpoint,
    run,
    until,
)

LARGE_BODY_BYTES = 3 * 1024 * 1024
MAX_BODY_BYTES = 1024 * 1024 * 1024
MAX_BUFFERED_BYTES = 64 * 1024 * 1024


class Stage:
    """A back end called through one node ("direct") or also through its own ("owner")."""

    def __init__(self, hop: str) -> None:
        self.backend = ScriptedBackend()
        self.edge: Node
        self.owner: Node | None = None
        self._hop = hop

    async def start(self, **changes: object) -> str:
        self.edge = Node()
        address = await self.backend.start()
        owner_address = ""
        if self._hop == "owner":
            self.owner = Node("k1", address)
            await self.owner.start()
            owner_address = self.owner.addresses.internal
        route = msgspec.structs.replace(
            PUBLIC_ROUTE, hop=self._hop, max_body_bytes=MAX_BODY_BYTES, **changes
        )
        return await self.edge.start(
            endpoint(address, owner_address=owner_address), route=route
        )

    async def close(self) -> None:
        await self.edge.plane.close()
        if self.owner is not None:
            await self.owner.plane.close()
        self.backend.stop()


@pytest.fixture(params=["direct", "owner"])
def stage(request: pytest.FixtureRequest) -> Stage:
    return Stage(request.param)


async def _send_raw(stage: Stage, data: bytes, method: str = "GET") -> Answer:
    caller = await Caller.connect(await stage.start())
    caller.write(data)
    answer = await caller.answer(method)
    await stage.close()
    return answer


def test_malformed_request_is_refused_and_never_reaches_a_back_end(stage: Stage) -> None:
    async def scene() -> None:
        data = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n"
        data += b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        answer = await _send_raw(stage, data)
        assert (answer.status, answer.outcome) == (400, "not-run")
        assert answer.headers["connection"] == "close"
        assert stage.backend.requests == []

    run(scene())


BAD_CHUNKS = [b"zz\r\nab\r\n", b"2\r\nabcd\r\n", b"-1\r\n\r\n", b"2;" + b"x" * 70_000]


@pytest.mark.parametrize("chunk", BAD_CHUNKS)
def test_bad_chunk_is_refused(chunk: bytes) -> None:
    async def scene() -> None:
        stage = Stage("direct")
        head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        answer = await _send_raw(stage, head + chunk)
        assert answer.status in (400, 431) or answer.broken
        assert answer.outcome != "answered"

    run(scene())


@pytest.mark.parametrize(
    ("fields", "value_bytes", "status"),
    [(101, 1, 200), (5_000, 1, 200), (70, 900, 200), (84, 900, 431), (1, 90_000, 431)],
)
def test_a_head_within_the_configured_bound_is_accepted(
    fields: int, value_bytes: int, status: int
) -> None:
    """Proper requests with more than 100 fields or over 32 KiB were refused for good."""

    async def scene() -> None:
        stage = Stage("owner")
        await stage.start()
        bound = msgspec.structs.replace(QUICK_SERVICE, max_header_bytes=65_536)
        active = configuration(msgspec.structs.replace(PUBLIC_ROUTE, hop="owner"))
        services = {**active.services, "edge": bound}
        stage.edge.plane.use_configuration(
            msgspec.structs.replace(active, services=services)
        )
        headers = {f"x{number}": "v" * value_bytes for number in range(fields)}
        answer = await call(stage.edge.addresses.callers, headers=headers)
        assert answer.status == status
        await stage.close()

    run(scene())


def test_large_body_passes_both_ways(stage: Stage) -> None:
    async def scene() -> None:
        body = bytes(range(256)) * (LARGE_BODY_BYTES // 256)
        answer = await call(await stage.start(), method="POST", body=body)
        assert answer.body == b"ok:" + body
        await stage.close()

    run(scene())


def test_chunked_body_and_trailers_pass_both_ways(stage: Stage) -> None:
    async def chunked(request: Received, writer: asyncio.StreamWriter) -> None:
        body = await request.body()
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%s\r\n0\r\nx-sum: 7\r\n\r\n" % (len(body), body))

    async def scene() -> None:
        stage.backend.script = chunked
        caller = await Caller.connect(await stage.start())
        caller.write(b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
        for chunk in (b"abc", b"defg"):
            caller.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await asyncio.sleep(0.01)
        caller.write(b"0\r\n\r\n")
        raw = await caller.reader.readuntil(b"x-sum: 7\r\n\r\n")
        assert b"abcdefg" in raw
        assert b"peppershore-outcome: answered" in raw
        assert stage.backend.requests[0].headers["transfer-encoding"] == "chunked"
        await stage.close()

    run(scene())


def test_pipelined_requests_are_answered_in_order(stage: Stage) -> None:
    async def slow_first(request: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05 if request.target == "/0" else 0)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n")
        writer.write(request.target.encode())

    async def scene() -> None:
        stage.backend.script = slow_first
        caller = await Caller.connect(await stage.start())
        for number in range(4):
            caller.request(f"/{number}")
        bodies = [(await caller.answer()).body for _ in range(4)]
        assert bodies == [b"/0", b"/1", b"/2", b"/3"]
        await stage.close()

    run(scene())


def test_answers_that_end_together_do_not_end_a_body_that_is_arriving(
    stage: Stage,
) -> None:
    """Each answer resumed the connection, and the second one ended the body under way."""

    async def together(request: Received, writer: asyncio.StreamWriter) -> None:
        body = await request.body()
        if request.method == "GET":
            await released.wait()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n")
        writer.write(b"%04x" % (len(body) & 0xFFFF))

    released = asyncio.Event()
    body = b"q" * 150_000

    async def scene() -> None:
        stage.backend.script = together
        caller = await Caller.connect(await stage.start())
        for number in range(20):
            caller.request(f"/{number}")
        caller.request("/query", "POST", body)
        await until(lambda: len(stage.backend.requests) >= 8)
        released.set()
        answers = [await caller.answer() for _ in range(21)]
        assert [each.broken for each in answers] == [""] * 21
        assert answers[-1].body == b"%04x" % (len(body) & 0xFFFF)
        await stage.close()

    run(scene())


def test_head_has_the_length_and_no_body(stage: Stage) -> None:
    async def head_only(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 42\r\n\r\n")

    async def scene() -> None:
        stage.backend.script = head_only
        caller = await Caller.connect(await stage.start())
        for _ in range(2):
            caller.request(method="HEAD")
            answer = await caller.answer("HEAD")
            assert (answer.status, answer.body) == (200, b"")
            assert answer.headers["content-length"] == "42"
        await stage.close()

    run(scene())


@pytest.mark.parametrize("status", [204, 304])
def test_statuses_without_a_body(stage: Stage, status: int) -> None:
    async def bodiless(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 %d x\r\n\r\n" % status)

    async def scene() -> None:
        stage.backend.script = bodiless
        answer = await call(await stage.start())
        assert (answer.status, answer.body, answer.broken) == (status, b"", "")
        assert answer.outcome == "answered"
        await stage.close()

    run(scene())


def test_expect_continue_is_answered_before_the_body_is_sent(stage: Stage) -> None:
    async def scene() -> None:
        caller = await Caller.connect(await stage.start())
        caller.write(b"POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n")
        caller.write(b"content-length: 5\r\n\r\n")
        interim = await caller.reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100")
        caller.write(b"hello")
        assert (await caller.answer()).body == b"ok:hello"
        assert "expect" not in stage.backend.requests[0].headers
        await stage.close()

    run(scene())


def test_expect_continue_of_a_refused_call_gets_the_refusal_only() -> None:
    async def scene() -> None:
        stage = Stage("direct")
        data = b"POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n"
        answer = await _send_raw(stage, data + b"content-length: 99999999999\r\n\r\n")
        assert (answer.status, answer.outcome) == (413, "not-run")

    run(scene())


def test_early_answer_reaches_a_caller_that_still_sends(stage: Stage) -> None:
    async def refuse_early(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 413 No\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno")
        await writer.drain()
        raise ConnectionError

    async def scene() -> None:
        stage.backend.script = refuse_early
        caller = await Caller.connect(await stage.start())
        caller.write(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\nabc")
        answer = await caller.answer()
        assert (answer.status, answer.body) == (413, b"no")
        assert answer.headers["connection"] == "close"
        await stage.close()

    run(scene())


BROKEN_ANSWERS = {
    "short": b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nabc",
    "half a head": b"HTTP/1.1 200 OK\r\ncontent-le",
    "garbage": b"\x00\x01\x02\x03\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\na",
    "nothing": b"",
}


@pytest.mark.parametrize("name", BROKEN_ANSWERS)
def test_broken_answer_is_unknown_and_never_short(stage: Stage, name: str) -> None:
    async def broken(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.body()
        writer.write(BROKEN_ANSWERS[name])
        await writer.drain()
        raise ConnectionError

    async def scene() -> None:
        stage.backend.script = broken
        address = await stage.start(repeatable=False)
        answer = await call(address, method="POST", body=b"x")
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert len(stage.backend.requests) == 1
        await stage.close()

    run(scene())


def test_streamed_answer_that_breaks_off_cuts_the_caller(stage: Stage) -> None:
    async def breaks_off(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n")
        await writer.drain()
        await asyncio.sleep(0.05)
        raise ConnectionError

    async def scene() -> None:
        stage.backend.script = breaks_off
        answer = await call(await stage.start())
        assert answer.status == 200
        assert answer.broken
        await stage.close()

    run(scene())


def test_chunked_body_above_the_bound_is_refused() -> None:
    async def scene() -> None:
        stage = Stage("direct")
        address = await stage.start()
        route = msgspec.structs.replace(PUBLIC_ROUTE, max_body_bytes=10)
        stage.edge.plane.use_configuration(
            msgspec.structs.replace(
                stage.edge.plane.calls.configuration,
                routes=(
                    msgspec.structs.replace(
                        stage.edge.plane.calls.configuration.routes[0], settings=route
                    ),
                ),
            )
        )
        caller = await Caller.connect(address)
        caller.write(b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n")
        caller.write(b"14\r\n" + b"a" * 20 + b"\r\n")
        answer = await caller.answer()
        assert answer.status == 413
        await stage.close()

    run(scene())


def test_slow_caller_applies_back_pressure_to_the_back_end(stage: Stage) -> None:
    written = 0

    async def endless(request: Received, writer: asyncio.StreamWriter) -> None:
        nonlocal written
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n")
        while True:
            writer.write(b"x" * 65_536)
            await writer.drain()
            written += 65_536

    async def scene() -> None:
        stage.backend.script = endless
        caller = await Caller.connect(await stage.start())
        caller.writer.transport.pause_reading()
        caller.request()
        level = -1
        for _ in range(100):
            await asyncio.sleep(0.05)
            if written == level > 0:
                break
            level = written
        assert 0 < written == level < MAX_BUFFERED_BYTES
        caller.writer.transport.abort()
        await stage.close()

    run(scene())


def test_slow_back_end_applies_back_pressure_to_the_caller(stage: Stage) -> None:
    async def never_reads(request: Received, writer: asyncio.StreamWriter) -> None:
        request.reader._transport.pause_reading()
        await asyncio.sleep(60)

    async def scene() -> None:
        stage.backend.script = never_reads
        caller = await Caller.connect(await stage.start())
        caller.write(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000000\r\n\r\n")
        sent = 0
        level = -1
        while sent != level:
            level = sent
            for _ in range(20):
                if caller.writer.transport.get_write_buffer_size() == 0:
                    caller.write(b"x" * 65_536)
                    sent += 65_536
                await asyncio.sleep(0.01)
        assert 0 < sent < MAX_BUFFERED_BYTES
        caller.writer.transport.abort()
        await stage.close()

    run(scene())


def test_caller_gone_closes_at_the_back_end_and_frees_the_slot(stage: Stage) -> None:
    async def slow(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.reader.read(1)
        raise ConnectionError

    async def scene() -> None:
        stage.backend.script = slow
        caller = await Caller.connect(await stage.start())
        caller.request()
        await until(lambda: bool(stage.backend.requests))
        assert stage.edge.plane.calls.in_flight == 1
        caller.writer.transport.abort()
        await until(lambda: stage.backend.open == 0)
        assert stage.edge.plane.calls.in_flight == 0
        stage.backend.script = answer_ok
        assert (await call(stage.edge.addresses.callers)).status == 200
        await stage.close()

    run(scene())
