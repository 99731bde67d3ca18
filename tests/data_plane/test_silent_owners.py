"""An owner that is suspended or stuck is detected, and calls go to other back ends."""

from __future__ import annotations

import msgspec
import pytest
from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import ScriptedBackend
from tests.data_plane.stage import PUBLIC_ROUTE, Node, call, endpoint, run

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallStarted
from peppershore.process.node import data_plane
from peppershore.process.node.data import owner_links

ROUTE = msgspec.structs.replace(PUBLIC_ROUTE, hop="owner", timeout_milliseconds=15_000)
ONCE = msgspec.structs.replace(ROUTE, repeatable=False)


@pytest.fixture(autouse=True)
def _quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(data_plane, "TICK_SECONDS", 0.05)
    monkeypatch.setattr(owner_links, "PROBE_TIMEOUT_SECONDS", 0.3)
    monkeypatch.setattr(owner_links, "HANDSHAKE_TIMEOUT_SECONDS", 0.3)


def _stuck_from_the_first_call() -> FakeOwner:
    def reply(message: Message) -> None:
        owner.silent = owner.silent or isinstance(message, CallStarted)

    owner = FakeOwner(reply)
    return owner


@pytest.mark.parametrize("route", [ROUTE, ONCE])
def test_owner_that_never_greets_is_sent_no_call(route: object) -> None:
    async def scene() -> None:
        stuck = FakeOwner()
        stuck.silent = True
        edge = Node()
        address = await edge.start(
            endpoint("127.0.0.1:1", owner_address=await stuck.start()), route=route
        )
        answer = await call(address, method="POST", body=b"x")
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.reason == "owner-unreachable"
        assert not any(isinstance(each, CallStarted) for each in stuck.received)
        await edge.plane.close()
        stuck.stop()

    run(scene())


def test_owner_that_falls_silent_does_not_fail_an_idempotent_call() -> None:
    async def scene() -> None:
        stuck, backend = _stuck_from_the_first_call(), ScriptedBackend()
        healthy = Node("k2", await backend.start())
        await healthy.start()
        edge = Node()
        address = await edge.start(
            endpoint("127.0.0.1:1", "k1", await stuck.start()),
            endpoint(backend.address, "k2", healthy.addresses.internal),
            route=ROUTE,
        )
        for _ in range(12):
            assert (await call(address)).status == 200
        assert any(isinstance(each, CallStarted) for each in stuck.received)
        await edge.plane.close()
        await healthy.plane.close()
        backend.stop()
        stuck.stop()

    run(scene())


def test_non_idempotent_call_is_unknown_when_its_owner_falls_silent() -> None:
    async def scene() -> None:
        stuck = _stuck_from_the_first_call()
        edge = Node()
        address = await edge.start(
            endpoint("127.0.0.1:1", owner_address=await stuck.start()), route=ONCE
        )
        answer = await call(address, method="POST", body=b"x")
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert answer.reason == "owner-link-lost"
        started = [each for each in stuck.received if isinstance(each, CallStarted)]
        assert len(started) == 1
        await edge.plane.close()
        stuck.stop()

    run(scene())
