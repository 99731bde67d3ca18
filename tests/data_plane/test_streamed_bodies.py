"""Large bodies of calls that are not safe to retry.

If refused for want of a slot, they are sent completely to another back end.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import ScriptedBackend
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    Answer,
    Caller,
    Node,
    call,
    endpoint,
    run,
    until,
)

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    CallBody,
    CallCredit,
    CallNotRun,
    CallStarted,
)
from peppershore.process.node.data import local_attempt
from peppershore.process.node.data.request_body import (
    REPLAY_BYTES,
    STREAMED_REPLAY_BYTES,
)
from peppershore.request.outcome import BUSY
from peppershore.version.model import RouteSettings

ONCE = msgspec.structs.replace(
    PUBLIC_ROUTE, hop="owner", repeatable=False, max_body_bytes=8_000_000
)
STREAMED = msgspec.structs.replace(ONCE, streamed_bodies=True)
LARGE_BODY = b"x" * (3 * REPLAY_BYTES)
LARGER_BODY = b"x" * (4 * STREAMED_REPLAY_BYTES)


def _busy_after(body_bytes: int) -> FakeOwner:
    """Return an owner that refuses a call for want of a slot.

    It does so once it has received ``body_bytes`` of the body.
    """
    received = 0

    def reply(message: Message) -> Message | None:
        nonlocal received
        if isinstance(message, CallStarted | CallBody):
            received += len(message.data)
            if received >= body_bytes:
                return CallNotRun(message.stream, 503, BUSY, 10, retryable=True)
        return None

    return FakeOwner(reply)


async def _call_past_a_busy_owner(route: RouteSettings, backend: ScriptedBackend) -> Answer:
    """Return the answer to a call that first goes to a busy owner, in the caller's zone."""
    busy = _busy_after(0 if route.streamed_bodies else len(LARGE_BODY))
    willing = Node("k2", await backend.start())
    await willing.start(route=route)
    far = endpoint(backend.address, "k2", willing.addresses.internal)
    edge = Node(seek_free_slots=True)
    address = await edge.start(
        endpoint("127.0.0.1:1", "k1", await busy.start()),
        msgspec.structs.replace(far, zone="keilaniemi"),
        route=route,
    )
    answer = await call(address, method="POST", body=LARGE_BODY)
    assert any(isinstance(each, CallStarted) for each in busy.received)
    assert not route.streamed_bodies or busy.body_bytes == 0
    await edge.plane.close()
    await willing.plane.close()
    backend.stop()
    busy.stop()
    return answer


def test_a_streamed_body_is_sent_completely_to_another_back_end() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        answer = await _call_past_a_busy_owner(STREAMED, backend)
        assert (answer.status, answer.body) == (200, b"ok:" + LARGE_BODY)
        assert len(backend.requests) == 1

    run(scene())


def test_without_streaming_a_large_body_is_refused_as_not_run() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        answer = await _call_past_a_busy_owner(ONCE, backend)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert backend.requests == []

    run(scene())


@pytest.mark.parametrize("length", [0, 1, len(LARGE_BODY), len(LARGER_BODY)])
def test_a_streamed_body_of_any_length_arrives_complete(length: int) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start())
        await owner.start(route=STREAMED)
        edge = Node(seek_free_slots=True)
        address = await edge.start(
            endpoint(backend.address, "k1", owner.addresses.internal), route=STREAMED
        )
        body = b"y" * length
        for _ in range(2):
            answer = await call(address, method="POST", body=body)
            assert (answer.status, answer.body) == (200, b"ok:" + body)
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_a_body_that_no_back_end_accepts_is_not_sent_and_not_read_completely() -> None:
    """No more is read from the caller than is retained for a retry."""

    async def scene() -> None:
        owner = FakeOwner()
        edge = Node()
        address = await edge.start(
            endpoint("127.0.0.1:1", "k1", await owner.start()), route=STREAMED
        )
        caller = await Caller.connect(address)
        caller.request(method="POST", body=LARGER_BODY)
        answer = await caller.answer("POST")
        assert (answer.status, answer.reason) == (504, "deadline-passed")
        assert owner.body_bytes == 0
        caller.close()
        await edge.plane.close()
        owner.stop()

    run(scene())


CREDIT_BYTES = 16 * 1024


def test_a_streamed_body_goes_no_further_than_its_credit() -> None:
    """The caller's node must not send more of a body than its credit.

    It once sent all that it had of a body on the first credit, though the owner's credit
    is only what its link carries in 0.03 s. Updates, heartbeats and new links to relays
    then waited behind bodies: a request and its answer took 0.5 to 1.5 s between two
    such machines, and nodes that receive large bodies used a confirmed version up to 4 s
    late. Nodes without large bodies, half of them, used the same versions after 0.1 s,
    and all timers were on time.
    """

    async def scene() -> None:
        credited = 0

        def grant(message: Message) -> Message | None:
            nonlocal credited
            if credited or not isinstance(message, CallStarted):
                return None
            credited = CREDIT_BYTES
            return CallCredit(message.stream, CREDIT_BYTES)

        owner = FakeOwner(grant)
        edge = Node()
        address = await edge.start(
            endpoint("127.0.0.1:1", "k1", await owner.start()), route=STREAMED
        )
        caller = await Caller.connect(address)
        caller.request(method="POST", body=LARGE_BODY)
        answer = await caller.answer("POST")
        assert (answer.status, answer.reason) == (504, "deadline-passed")
        assert owner.body_bytes == CREDIT_BYTES
        caller.close()
        await edge.plane.close()
        owner.stop()

    run(scene())


@pytest.mark.parametrize("route", [ONCE, STREAMED])
def test_a_caller_that_breaks_off_its_body_frees_the_slot(route: RouteSettings) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        own = Node("k1", await backend.start())
        address = await own.start(
            endpoint(backend.address, "k1", "127.0.0.1:1"), route=route
        )
        caller = await Caller.connect(address)
        caller.write(
            b"POST / HTTP/1.1\r\nhost: kassa\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        caller.write(b"5\r\nhello\r\n")
        await until(lambda: own.plane.calls.in_flight == 1)
        caller.close()
        await until(lambda: own.plane.calls.in_flight == 0)
        assert own.plane.calls.own is not None
        assert own.plane.calls.own.in_flight == 0
        await own.plane.close()
        backend.stop()

    run(scene())


NARROW_MEGABITS = 1.0


async def _owner_and_edge(
    backend: ScriptedBackend, **changes: Any
) -> tuple[Node, Node, str]:
    """Return a back end's local node, an edge node, and the edge's address for callers."""
    owner = Node("k1", await backend.start(), **changes)
    await owner.start(route=STREAMED)
    edge = Node()
    address = await edge.start(
        endpoint(backend.address, "k1", owner.addresses.internal), route=STREAMED
    )
    return owner, edge, address


async def _half_a_body(address: str) -> Caller:
    """Start a request that stalls in the middle of its body."""
    caller = await Caller.connect(address)
    caller.write(b"POST / HTTP/1.1\r\nhost: kassa\r\ncontent-length: 10\r\n\r\nhello")
    return caller


async def _node_with_two_stalled_bodies(
    backend: ScriptedBackend, route: RouteSettings
) -> tuple[Node, str, list[Caller]]:
    """Return a node whose narrow link is occupied by two incomplete bodies.

    Also return its address for callers, and the callers of the two stalled requests.
    """
    own = Node("k1", await backend.start(), link_megabits=NARROW_MEGABITS)
    address = await own.start(endpoint(backend.address, "k1", "127.0.0.1:1"), route=route)
    stalled = [await _half_a_body(address) for _ in range(2)]
    await until(lambda: len(backend.requests) == 2)
    return own, address, stalled


def test_a_narrow_link_receives_two_bodies_at_a_time() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        own, address, stalled = await _node_with_two_stalled_bodies(backend, STREAMED)
        waiting = await Caller.connect(address)
        waiting.request(method="POST", body=LARGE_BODY)
        await until(lambda: own.plane.calls.in_flight == 3)
        assert len(backend.requests) == 2
        stalled[0].write(b"world")
        assert (await stalled[0].answer("POST")).body == b"ok:helloworld"
        assert (await waiting.answer("POST")).body == b"ok:" + LARGE_BODY
        for caller in (*stalled, waiting):
            caller.close()
        await until(lambda: own.plane.calls.in_flight == 0)
        assert own.plane.calls.own is not None
        assert own.plane.calls.own.in_flight == 0
        assert own.plane.calls.own.transfers.running == 0
        await own.plane.close()
        backend.stop()

    run(scene())


def test_a_narrow_link_receives_two_bodies_at_a_time_from_other_nodes_too() -> None:
    """The bound must cover bodies from other nodes, through which nearly all come.

    It once covered only those of the node's own callers.
    """

    async def scene() -> None:
        backend = ScriptedBackend()
        owner, edge, address = await _owner_and_edge(backend, link_megabits=NARROW_MEGABITS)
        own = owner.plane.calls.own
        assert own is not None
        callers = [await _half_a_body(address) for _ in range(3)]
        await until(lambda: len(own.awaiting_transfer) == 1)
        assert own.transfers.running == 2
        for caller in callers:
            caller.write(b"world")
            assert (await caller.answer("POST")).body == b"ok:helloworld"
            caller.close()
        await until(lambda: own.in_flight == 0)
        assert own.transfers.running == 0
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_a_body_that_finds_no_room_in_time_is_refused_as_not_run() -> None:
    impatient = msgspec.structs.replace(STREAMED, target_latency_milliseconds=200)

    async def scene() -> None:
        backend = ScriptedBackend()
        own, address, stalled = await _node_with_two_stalled_bodies(backend, impatient)
        answer = await call(address, method="POST", body=LARGE_BODY)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert float(answer.headers["retry-after"]) > 0
        assert len(backend.requests) == 2
        for caller in stalled:
            caller.close()
        await until(lambda: own.plane.calls.in_flight == 0)
        assert own.plane.calls.own is not None
        assert own.plane.calls.own.transfers.running == 0
        await own.plane.close()
        backend.stop()

    run(scene())


def test_a_stalled_body_blocks_others_for_a_bounded_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(local_attempt, "MOST_SECONDS", 0.05)

    async def scene() -> None:
        backend = ScriptedBackend()
        own, address, stalled = await _node_with_two_stalled_bodies(backend, STREAMED)
        answer = await call(address, method="POST", body=LARGE_BODY)
        assert answer.status == 200
        for caller in stalled:
            caller.close()
        await until(lambda: own.plane.calls.in_flight == 0)
        await own.plane.close()
        backend.stop()

    run(scene())
