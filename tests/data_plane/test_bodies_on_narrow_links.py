"""On a narrow link a body is sent only to an owner that accepts its call.

The owner prefetches the body before the call has a slot.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import ScriptedBackend
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    Caller,
    Node,
    call,
    endpoint,
    run,
    until,
)

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    CallCredit,
    CallNotRun,
    CallStarted,
)
from peppershore.process.node.data import local_attempt
from peppershore.request.outcome import BUSY

NARROW_MEGABITS = 1.0
ONCE = msgspec.structs.replace(PUBLIC_ROUTE, hop="owner", repeatable=False)
BODY = b"x" * 4_000


def _refusing(message: Message) -> Message | None:
    if isinstance(message, CallStarted):
        return CallNotRun(message.stream, 503, BUSY, 10, retryable=True)
    return None


async def _refused_call(link_megabits: float, body: bytes) -> tuple[int, bool]:
    """Return how many body bytes a refusing owner received, and if it got the call."""
    owner = FakeOwner(_refusing)
    edge = Node(seek_free_slots=True, link_megabits=link_megabits)
    address = await edge.start(
        endpoint("127.0.0.1:1", "k1", await owner.start()), route=ONCE
    )
    answer = await call(address, method="POST", body=body)
    assert (answer.status, answer.outcome) == (503, "not-run")
    was_asked = any(isinstance(each, CallStarted) for each in owner.received)
    await edge.plane.close()
    owner.stop()
    return owner.body_bytes, was_asked


def test_a_refusal_costs_no_byte_of_the_body() -> None:
    async def scene() -> None:
        assert await _refused_call(NARROW_MEGABITS, BODY) == (0, True)

    run(scene())


@pytest.mark.parametrize(("link_megabits", "body"), [(0.0, BODY), (NARROW_MEGABITS, b"x")])
def test_a_body_that_the_link_carries_quickly_is_sent_with_the_call(
    link_megabits: float, body: bytes
) -> None:
    async def scene() -> None:
        octets, was_asked = await _refused_call(link_megabits, body)
        assert was_asked
        assert octets >= len(body)

    run(scene())


async def _owner_and_edge(backend: ScriptedBackend, slots: int) -> tuple[Node, Node, str]:
    owner = Node("k1", await backend.start(), slots, link_megabits=NARROW_MEGABITS)
    await owner.start(route=ONCE)
    edge = Node(link_megabits=NARROW_MEGABITS)
    address = await edge.start(
        endpoint(backend.address, "k1", owner.addresses.internal, slots), route=ONCE
    )
    return owner, edge, address


@pytest.mark.parametrize("length", [1, 4_000, 60_000, 300_000])
def test_a_body_of_any_length_arrives_complete(length: int) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner, edge, address = await _owner_and_edge(backend, 20)
        answer = await call(address, method="POST", body=b"y" * length)
        assert (answer.status, answer.body) == (200, b"ok:" + b"y" * length)
        own = owner.plane.calls.own
        assert own is not None
        await until(lambda: own.in_flight == 0)
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


async def _stalled_request(address: str) -> Caller:
    """Start a request whose body stalls before its end."""
    caller = await Caller.connect(address)
    head = b"POST / HTTP/1.1\r\nhost: kassa\r\ncontent-length: 4000\r\n\r\n"
    caller.write(head + b"x" * 100)
    return caller


def test_a_body_in_transit_holds_no_slot() -> None:
    """A stalled body does not keep another call from the only slot."""

    async def scene() -> None:
        backend = ScriptedBackend()
        owner, edge, address = await _owner_and_edge(backend, 1)
        own = owner.plane.calls.own
        assert own is not None
        stalled = await _stalled_request(address)
        await until(lambda: own.in_flight == 1)
        assert own.admission.in_flight == 0
        assert own.load("all").running == 1
        assert (await call(address)).status == 200
        stalled.close()
        await until(lambda: own.in_flight == 0)
        assert [each.method for each in backend.requests] == ["GET"]
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_a_body_that_stalls_is_given_up_as_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(local_attempt, "FETCH_SECONDS", 0.05)

    async def scene() -> None:
        backend = ScriptedBackend()
        owner, edge, address = await _owner_and_edge(backend, 1)
        stalled = await _stalled_request(address)
        answer = await stalled.answer("POST")
        assert (answer.status, answer.outcome) == (503, "not-run")
        own = owner.plane.calls.own
        assert own is not None
        await until(lambda: own.in_flight == 0)
        assert backend.requests == []
        stalled.close()
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_an_owner_that_leaves_during_a_body_refuses_the_call() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner, edge, address = await _owner_and_edge(backend, 1)
        own = owner.plane.calls.own
        assert own is not None
        caller = await _stalled_request(address)
        await until(lambda: own.in_flight == 1)
        own.leave()
        caller.write(b"x" * 3_900)
        answer = await caller.answer("POST")
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert own.in_flight == 0
        assert backend.requests == []
        caller.close()
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_a_body_is_sent_no_further_than_its_credit() -> None:
    """The caller's node sends only as much of the body as it was granted credit for."""

    async def scene() -> None:
        granted: list[int] = []

        def grant(message: Message) -> Message | None:
            if isinstance(message, CallStarted):
                granted.append(message.stream)
                return CallCredit(message.stream, 1_000)
            return None

        owner = FakeOwner(grant)
        edge = Node(link_megabits=NARROW_MEGABITS)
        address = await edge.start(
            endpoint("127.0.0.1:1", "k1", await owner.start()), route=ONCE
        )
        caller = await Caller.connect(address)
        caller.request(method="POST", body=BODY)
        await until(lambda: owner.body_bytes == 1_000)
        await asyncio.sleep(0.05)
        assert owner.body_bytes == 1_000
        caller.close()
        await edge.plane.close()
        owner.stop()

    run(scene())
