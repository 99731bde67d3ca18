"""The path of a call through one or two data planes to scripted back ends."""

from __future__ import annotations

from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import ScriptedBackend
from tests.data_plane.stage import Caller, Node, call, endpoint, run, until

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallLinkHello, CallStarted


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


def test_direct_call_returns_the_complete_answer() -> None:
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


def test_call_through_the_owner_returns_the_complete_answer() -> None:
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


def test_small_request_goes_to_the_owner_in_one_message() -> None:
    owner = FakeOwner()

    async def scene() -> None:
        edge = Node()
        address = await edge.start(
            endpoint("127.0.0.1:1", owner_address=await owner.start())
        )
        callers = [await Caller.connect(address) for _ in range(2)]
        for number, caller in enumerate(callers):
            caller.request(method="POST", body=b"hello")
            await until(lambda: len(_started(owner.received)) > number)  # noqa: B023
        assert isinstance(owner.received[0], CallLinkHello)
        assert [(each.data, each.ended) for each in _started(owner.received)] == [
            (b"hello", True),
            (b"hello", True),
        ]
        for caller in callers:
            caller.close()
        await edge.plane.close()
        owner.stop()

    run(scene())


def _started(received: list[Message]) -> list[CallStarted]:
    return [each for each in received if isinstance(each, CallStarted)]
