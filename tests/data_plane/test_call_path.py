"""Calls through one or two data planes to scripted back ends."""

from __future__ import annotations

from tests.data_plane.scripted_backend import ScriptedBackend
from tests.data_plane.stage import Caller, Node, call, endpoint, run


def test_no_configuration_refuses_as_not_run() -> None:
    async def scene() -> None:
        node = Node()
        addresses = await node.plane.start()
        answer = await call(addresses.callers)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.reason == "no-configuration"
        assert answer.headers["retry-after"] == "1"
        await node.plane.close()

    run(scene())


def test_direct_call_gives_the_whole_answer() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        node = Node()
        address = await node.start(endpoint(await backend.start()))
        answer = await call(address, "/pay?x=1", method="POST", body=b"hello")
        assert (answer.status, answer.body) == (200, b"ok:hello")
        assert answer.outcome == "answered"
        sent = backend.requests[0]
        assert (sent.method, sent.target) == ("POST", "/pay?x=1")
        assert 0 < int(sent.headers["peppershore-deadline-milliseconds"]) <= 3_000
        await node.plane.close()
        backend.stop()

    run(scene())


def test_call_through_the_owner_gives_the_whole_answer() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start())
        await owner.start()
        edge = Node()
        address = await edge.start(
            endpoint(backend.address, owner_address=owner.addresses.internal)
        )
        caller = await Caller.connect(address)
        for number in range(3):
            body = b"%d" % number
            caller.request("/pay", method="POST", body=body)
            answer = await caller.answer()
            assert (answer.status, answer.body) == (200, b"ok:" + body)
        assert len(backend.requests) == 3
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_endpoint_change_moves_calls() -> None:
    async def scene() -> None:
        one, other = ScriptedBackend(), ScriptedBackend()
        node = Node()
        address = await node.start(endpoint(await one.start()))
        await call(address)
        node.plane.use_endpoints((endpoint(await other.start(), "k2"),))
        await call(address)
        assert (len(one.requests), len(other.requests)) == (1, 1)
        await node.plane.close()
        one.stop()
        other.stop()

    run(scene())
