"""A planned stop refuses new calls after a while, cuts none in flight, and is bounded."""

from __future__ import annotations

import asyncio

import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import Caller, Node, call, endpoint, run, until

from peppershore.process.node import data_plane
from peppershore.process.node.data.notices import DrainEnded
from peppershore.process.node.data_plane import DRAIN_POLL_SECONDS


@pytest.fixture(autouse=True)
def _short_leaving(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(data_plane, "LEAVING_SECONDS", 0.1)


async def _connect_and_wait(address: str, seconds: float) -> Caller:
    """Open a connection, and wait some seconds before a request is sent on it."""
    caller = await Caller.connect(address)
    await asyncio.sleep(seconds)
    return caller


async def _slow(request: Received, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.3)
    await answer_ok(request, writer)


def test_owner_drains_without_cutting_and_refuses_new_work_as_not_run() -> None:
    async def scene() -> None:
        backend = ScriptedBackend(_slow)
        owner = Node("k1", await backend.start())
        await owner.start()
        edge = Node()
        address = await edge.start(
            endpoint(backend.address, owner_address=owner.addresses.internal)
        )
        before = await Caller.connect(address)
        before.request(method="POST", body=b"a")
        await until(lambda: len(backend.requests) == 1)
        drained = asyncio.create_task(owner.plane.drained(5.0))
        await asyncio.sleep(0.2)
        late = await call(address)
        assert (late.status, late.outcome) == (503, "not-run")
        assert (await before.answer()).body == b"ok:a"
        report = await drained
        assert (report.calls_at_start, report.calls_cut) == (1, 0)
        assert len(backend.requests) == 1
        assert any(isinstance(notice, DrainEnded) for notice in owner.notices)
        await owner.plane.close()
        await edge.plane.close()
        backend.stop()

    run(scene())


def test_edge_answers_to_the_end_and_closes_kept_connections_in_order() -> None:
    async def scene() -> None:
        backend = ScriptedBackend(_slow)
        edge = Node()
        address = await edge.start(endpoint(await backend.start()))
        idle, busy = await Caller.connect(address), await Caller.connect(address)
        busy.request(method="POST", body=b"a")
        await until(lambda: len(backend.requests) == 1)
        drained = asyncio.create_task(edge.plane.drained(5.0))
        await asyncio.sleep(0.01)
        late = await call(address, method="POST", body=b"late")
        assert late.body == b"ok:late", "callers are answered until neighbours know"
        assert late.headers["connection"] == "close"
        assert (await busy.answer()).body == b"ok:a"
        assert await idle.reader.read() == b""
        assert (await drained).calls_cut == 0
        await edge.plane.close()
        backend.stop()

    run(scene())


def test_drain_ends_at_its_bound_and_reports_the_calls_cut() -> None:
    async def hang(request: Received, writer: asyncio.StreamWriter) -> None:
        await request.reader.read(1)
        raise ConnectionError

    async def scene() -> None:
        backend = ScriptedBackend(hang)
        edge = Node()
        address = await edge.start(endpoint(await backend.start()))
        caller = await Caller.connect(address)
        caller.request()
        await until(lambda: len(backend.requests) == 1)
        report = await edge.plane.drained(0.2)
        assert report.calls_cut == 1
        await edge.plane.close()
        backend.stop()

    run(scene())


def test_probe_reports_when_the_back_end_is_up_and_down() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        states: list[str] = []
        node = Node("k1", await backend.start())
        await node.start()
        node.plane.on_backend_state(states.append)
        await until(lambda: states == ["ready"])
        backend.stop()
        await until(lambda: states == ["ready", "warming"])
        await node.plane.close()

    run(scene())


def test_a_back_end_that_still_runs_a_call_can_make_its_own_until_it_is_done() -> None:
    async def scene() -> None:
        inner: list[str] = []
        may_go_on = asyncio.Event()
        other = ScriptedBackend()
        other_endpoint = endpoint(await other.start(), node="k2")

        async def calls_on(request: Received, writer: asyncio.StreamWriter) -> None:
            await may_go_on.wait()
            caller = await _connect_and_wait(
                owner.addresses.callers, 5 * DRAIN_POLL_SECONDS
            )
            caller.request()
            inner.append((await caller.answer()).body.decode())
            await answer_ok(request, writer)

        backend = ScriptedBackend(calls_on)
        owner = Node("k1", await backend.start())
        await owner.start(other_endpoint)
        edge = Node()
        address = await edge.start(
            endpoint(backend.address, owner_address=owner.addresses.internal)
        )
        outer = await Caller.connect(address)
        outer.request(method="POST", body=b"a")
        await until(lambda: len(backend.requests) == 1)
        drained = asyncio.create_task(owner.plane.drained(5.0))
        await asyncio.sleep(2 * data_plane.LEAVING_SECONDS)
        may_go_on.set()
        assert (await outer.answer()).body == b"ok:a"
        assert inner == ["ok:"]
        assert (await drained).calls_cut == 0
        assert not owner.plane.listening
        for node in (owner, edge):
            await node.plane.close()
        for stopped in (backend, other):
            stopped.stop()

    run(scene())


def test_callers_that_know_no_other_node_are_answered_until_they_come_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where few nodes of a zone are ready, callers are not redirected to others."""
    monkeypatch.setattr(data_plane, "CALLERS_QUIET_SECONDS", 2.0)

    async def scene() -> None:
        backend = ScriptedBackend()
        edge = Node()
        address = await edge.start(endpoint(await backend.start()))
        drained = asyncio.create_task(edge.plane.drained(30.0))
        for _ in range(20):
            assert (await call(address)).status == 200
            await asyncio.sleep(data_plane.LEAVING_SECONDS / 4)
        assert not drained.done()
        assert (await drained).calls_cut == 0
        assert not edge.plane.listening
        await edge.plane.close()
        backend.stop()

    run(scene())


@pytest.mark.parametrize(("ends_after", "status"), [(1.0, 503), (60.0, 200)])
def test_a_call_that_the_end_might_cut_is_refused_as_not_run(
    ends_after: float, status: int
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        edge = Node()
        address = await edge.start(endpoint(await backend.start()))
        now = asyncio.get_running_loop().time()
        edge.plane.calls.end_at(now + ends_after, any_call_until=now)
        answer = await call(address)
        assert answer.status == status
        assert len(backend.requests) == (1 if status == 200 else 0)
        if status != 200:
            assert (answer.outcome, answer.reason) == ("not-run", "node-stopping")
        await edge.plane.close()
        backend.stop()

    run(scene())
