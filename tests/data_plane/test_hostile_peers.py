"""Messages on call links are checked: no request is smuggled, no node crashes."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import ScriptedBackend
from tests.data_plane.stage import Caller, Node, call, endpoint, run

from peppershore.connection.codec import decode_message, encode_message
from peppershore.connection.framing import FrameReader, encode_frame
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    CallAnswered,
    CallNotRun,
    CallStarted,
    CallUnknown,
)
from peppershore.process.shell import MessageRefused

GOOD = CallStarted(
    stream=1,
    method=b"POST",
    target=b"/pay",
    headers=[(b"host", b"kassa")],
    content_length=1,
    call_class="normal",
    repeatable=False,
    cancellable=True,
    deadline_milliseconds=2_000,
    data=b"x",
    ended=True,
    trailers=[],
)
BAD = {
    "line break in a value": {"headers": [(b"x", b"1\r\nx: 2")]},
    "line feed in a value": {"headers": [(b"x", b"1\n\nGET / HTTP/1.1")]},
    "colon in a name": {"headers": [(b"x: y\r\nz", b"1")]},
    "empty name": {"headers": [(b"", b"1")]},
    "upper case name": {"headers": [(b"Content-Length", b"9")]},
    "space in the method": {"method": b"GET /other HTTP/1.1\r\n"},
    "line break in the target": {"target": b"/ HTTP/1.1\r\nx: y\r\n\r\n"},
    "trailers": {"trailers": [(b"x", b"\r\n\r\n")], "content_length": -1},
}


async def _exchange(address: str, *messages: Message) -> Message:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for message in messages:
        writer.write(encode_frame(encode_message(message)))
    frames = FrameReader()
    while True:
        payloads = frames.feed(await reader.read(65_536)).unwrap()
        if payloads:
            writer.close()
            return decode_message(payloads[0]).unwrap()


@pytest.mark.parametrize("name", BAD)
def test_malformed_call_never_reaches_the_back_end(name: str) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start())
        await owner.start()
        bad = msgspec.structs.replace(GOOD, **BAD[name])
        answer = await _exchange(owner.addresses.internal, bad)
        assert isinstance(answer, CallNotRun)
        assert answer.status == 400
        assert backend.requests == []
        good = await _exchange(owner.addresses.internal, GOOD)
        assert isinstance(good, CallAnswered)
        assert good.data == b"ok:x"
        await owner.plane.close()
        backend.stop()

    run(scene())


@pytest.mark.parametrize(("length", "data"), [(1, b"xyz"), (9, b"x")])
def test_body_that_does_not_fit_its_length_is_unknown(length: int, data: bytes) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start())
        await owner.start()
        bad = msgspec.structs.replace(GOOD, content_length=length, data=data)
        answer = await _exchange(owner.addresses.internal, bad)
        assert isinstance(answer, CallUnknown)
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_peer_whose_certificate_allows_no_calls_reaches_no_back_end() -> None:
    """With mutual TLS the certificate decides; ``no_calls`` stands in for it here."""

    def no_calls(identity: str, message: Message) -> str:
        del identity
        return "an operator may not call" if isinstance(message, CallStarted) else ""

    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start(), authorize=no_calls)
        await owner.start()
        edge = Node()
        address = await edge.start(
            endpoint(backend.address, owner_address=owner.addresses.internal)
        )
        answer = await call(address, method="POST", body=b"x")
        assert answer.outcome in ("unknown", "not-run")
        assert backend.requests == []
        refusals = [each for each in owner.notices if isinstance(each, MessageRefused)]
        assert refusals[0].reason == "an operator may not call"
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


BAD_ANSWERS = {
    "smuggled": {"headers": [(b"x", b"1\r\n\r\nHTTP/1.1 200 OK")]},
    "more than declared": {"content_length": 1, "data": b"abc"},
    "less than declared": {"content_length": 10, "data": b"abc"},
    "no status": {"status": 7},
}


@pytest.mark.parametrize("name", BAD_ANSWERS)
def test_malformed_answer_of_an_owner_is_never_passed_on(name: str) -> None:
    honest = CallAnswered(1, 200, b"", [], 3, True, b"abc", True, [])
    bad = msgspec.structs.replace(honest, **BAD_ANSWERS[name])

    owner = FakeOwner(lambda got: bad if isinstance(got, CallStarted) else None)

    async def scene() -> None:
        address = await owner.start()
        edge = Node()
        callers = await edge.start(endpoint("127.0.0.1:1", owner_address=address))
        caller = await Caller.connect(callers)
        caller.request(method="POST", body=b"x")
        answer = await caller.answer()
        assert answer.broken or answer.outcome == "unknown"
        assert edge.plane.calls.in_flight == 0
        await edge.plane.close()
        owner.stop()

    run(scene())


@settings(max_examples=25)
@given(st.binary(min_size=1, max_size=100))
def test_garbage_on_a_call_link_ends_that_link_only(data: bytes) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start())
        await owner.start()
        host, _, port = owner.addresses.internal.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode_frame(data))
        await writer.drain()
        good = await _exchange(owner.addresses.internal, GOOD)
        assert isinstance(good, CallAnswered)
        writer.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_http_1_0_caller_without_host_is_served() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        edge = Node()
        address = await edge.start(endpoint(await backend.start()))
        caller = await Caller.connect(address)
        caller.write(b"GET /old HTTP/1.0\r\n\r\n")
        answer = await caller.answer()
        assert (answer.status, answer.body) == (200, b"ok:")
        assert answer.headers["connection"] == "close"
        assert (await call(address)).status == 200
        await edge.plane.close()
        backend.stop()

    run(scene())
