"""Large answers wait for their turn on the link; they arrive complete and in time."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import Received, ScriptedBackend
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    Caller,
    Node,
    call,
    configuration,
    endpoint,
    run,
    until,
)

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallCancelled, CallNotRun, CallStarted
from peppershore.process.node.data import local_back_end
from peppershore.process.node.data.large_answers import LargeAnswers
from peppershore.request.outcome import LINK_FULL

MEGABITS = 6.0
LARGE = msgspec.structs.replace(
    PUBLIC_ROUTE, hop="owner", large_answers=True, target_latency_milliseconds=2_000
)


def _body(length: int) -> bytes:
    return bytes(i % 251 for i in range(length))


async def _answer(request: Received, writer: asyncio.StreamWriter) -> None:
    """Answer with as many bytes as the request's path says."""
    body = _body(int(request.target.strip("/")))
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)


async def _answer_in_chunks(request: Received, writer: asyncio.StreamWriter) -> None:
    """Answer in chunks, without a content length."""
    body = _body(int(request.target.strip("/")))
    writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    for at in range(0, len(body), 10_000):
        piece = body[at : at + 10_000]
        writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
    writer.write(b"0\r\n\r\n")


class Scene:
    """An owner with a back end, and an edge node for the callers."""

    def __init__(self, script: object = _answer, megabits: float = MEGABITS) -> None:
        self.backend = ScriptedBackend(script)  # type: ignore[arg-type]
        self.megabits = megabits
        self.address = ""

    async def begin(self, slots: int = 4) -> None:
        narrow = {"link_megabits": self.megabits}
        self.owner = Node("k1", await self.backend.start(), slots, **narrow)
        await self.owner.start(route=LARGE)
        self.edge = Node(**narrow)
        self.address = await self.edge.start(
            endpoint(self.backend.address, "k1", self.owner.addresses.internal, slots),
            route=LARGE,
        )

    @property
    def own(self) -> local_back_end.LocalBackEnd:
        own = self.owner.plane.calls.own
        assert own is not None
        return own

    @property
    def scheduler(self) -> LargeAnswers:
        """The scheduler of the large answers on the owner's link."""
        scheduler = self.own.large_answers
        assert scheduler is not None
        return scheduler

    async def end(self) -> None:
        await self.edge.plane.close()
        await self.owner.plane.close()
        self.backend.stop()


@pytest.mark.parametrize("script", [_answer, _answer_in_chunks])
@pytest.mark.parametrize("length", [0, 1, 4_096, 60_000, 300_000])
def test_an_answer_of_any_length_arrives_complete(script: object, length: int) -> None:
    async def scene() -> None:
        stage = Scene(script)
        await stage.begin()
        answer = await call(stage.address, f"/{length}")
        assert (answer.status, answer.body) == (200, _body(length))
        await until(lambda: stage.scheduler.room.transfers == 0)
        edge_scheduler = stage.edge.plane.calls.large_answers
        assert edge_scheduler is not None
        assert (
            edge_scheduler.room.transfers
            == edge_scheduler.room.held
            == stage.scheduler.room.held
            == 0
        )
        await stage.end()

    run(scene())


def test_answers_to_callers_of_the_owner_use_the_same_scheduler() -> None:
    async def scene() -> None:
        stage = Scene()
        await stage.begin()
        stage.owner.plane.use_endpoints((endpoint(stage.backend.address, "k1"),))
        answer = await call(stage.owner.addresses.callers, "/100000")
        assert (answer.status, answer.body) == (200, _body(100_000))
        assert stage.scheduler.room.size_of("all") == pytest.approx(100_000)
        await stage.end()

    run(scene())


def test_a_slot_is_free_while_its_answer_waits_for_the_link() -> None:
    async def scene() -> None:
        stage = Scene(megabits=1.0)
        await stage.begin(slots=1)
        callers = [await Caller.connect(stage.address) for _ in range(2)]
        for caller in callers:
            caller.request("/40000")
        await until(lambda: len(stage.backend.requests) == 2)
        await until(lambda: stage.own.admission.in_flight == 0)
        assert stage.scheduler.room.held > 0
        for caller in callers:
            assert (await caller.answer()).body == _body(40_000)
            caller.close()
        await stage.end()

    run(scene())


def test_a_caller_that_leaves_frees_the_link() -> None:
    async def scene() -> None:
        stage = Scene(megabits=1.0)
        await stage.begin()
        caller = await Caller.connect(stage.address)
        caller.request("/120000")
        await until(lambda: stage.scheduler.room.held > 0)
        caller.close()
        await until(lambda: stage.scheduler.room.transfers == 0)
        assert stage.scheduler.room.held == 0
        await stage.end()

    run(scene())


def test_a_call_whose_answer_would_be_late_is_refused_before_its_back_end_gets_it() -> None:
    async def scene() -> None:
        stage = Scene(megabits=1.0)
        await stage.begin()
        callers = [await Caller.connect(stage.address) for _ in range(8)]
        for caller in callers:
            caller.request("/40000")
        answers = [await caller.answer() for caller in callers]
        refused = [each for each in answers if each.status == 503]
        served = [each for each in answers if each.status == 200]
        assert refused
        assert served
        assert all(each.reason == LINK_FULL for each in refused)
        assert all(each.outcome == "not-run" for each in refused)
        assert all(int(each.headers["retry-after"]) >= 1 for each in refused)
        assert all(each.body == _body(40_000) for each in served)
        assert len(stage.backend.requests) == len(served)
        for caller in callers:
            caller.close()
        await stage.end()

    run(scene())


def test_a_caller_that_does_not_read_does_not_delay_others() -> None:
    async def scene() -> None:
        stage = Scene()
        await stage.begin()
        slow = await Caller.connect(stage.address)
        slow.writer.transport.pause_reading()  # type: ignore[attr-defined]
        slow.request("/500000")
        await until(lambda: len(stage.backend.requests) == 1)
        for _ in range(3):
            answer = await call(stage.address, "/30000")
            assert (answer.status, answer.body) == (200, _body(30_000))
        slow.close()
        await stage.end()

    run(scene())


def test_a_call_refused_for_a_full_link_is_retried_at_another_owner() -> None:
    async def scene() -> None:
        stage = Scene()
        await stage.begin()

        def refuse(message: Message) -> Message | None:
            if isinstance(message, CallStarted):
                return CallNotRun(message.stream, 503, LINK_FULL, 300, retryable=True)
            return None

        full = FakeOwner(refuse)
        stage.edge.plane.use_endpoints(
            (
                endpoint("127.0.0.1:1", "k0", await full.start()),
                endpoint(stage.backend.address, "k1", stage.owner.addresses.internal),
            )
        )
        for _ in range(4):
            answer = await call(stage.address, "/20000")
            assert (answer.status, answer.body) == (200, _body(20_000))
        full.stop()
        await stage.end()

    run(scene())


def test_a_broken_answer_is_reported_and_releases_its_room() -> None:
    async def broken(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 90000\r\n\r\n" + b"x" * 1_000)
        writer.close()

    async def scene() -> None:
        stage = Scene(broken)
        await stage.begin()
        answer = await call(stage.address, "/90000")
        assert answer.status != 200 or answer.broken
        await until(lambda: stage.scheduler.room.transfers == 0)
        await stage.end()

    run(scene())


def test_an_answer_that_has_begun_is_not_cut_at_its_deadline() -> None:
    async def scene() -> None:
        stage = Scene(megabits=1.0)
        await stage.begin()
        short = msgspec.structs.replace(LARGE, timeout_milliseconds=900)
        stage.edge.plane.use_configuration(configuration(short))
        answer = await call(stage.address, "/150000")
        assert (answer.status, answer.broken) == (200, "")
        assert answer.body == _body(150_000)
        await stage.end()

    run(scene())


def test_the_owner_is_notified_of_a_caller_that_left() -> None:
    async def scene() -> None:
        owner = FakeOwner()
        edge = Node(link_megabits=MEGABITS)
        address = await edge.start(
            endpoint("127.0.0.1:1", "k1", await owner.start()), route=LARGE
        )
        caller = await Caller.connect(address)
        caller.request("/1")
        await until(lambda: any(isinstance(m, CallStarted) for m in owner.received))
        started = next(m for m in owner.received if isinstance(m, CallStarted))
        assert started.answer_is_large
        assert 0 < started.due_milliseconds <= 2_000
        assert 0 < started.answer_window <= 30_000
        caller.close()
        await until(lambda: any(isinstance(m, CallCancelled) for m in owner.received))
        await edge.plane.close()
        owner.stop()

    run(scene())


def test_without_a_link_rate_answers_are_not_scheduled() -> None:
    async def scene() -> None:
        stage = Scene(megabits=0.0)
        await stage.begin()
        assert stage.own.large_answers is None
        answer = await call(stage.address, "/300000")
        assert (answer.status, answer.body) == (200, _body(300_000))
        await stage.end()

    run(scene())
