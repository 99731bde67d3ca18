"""The outcome reported to a caller agrees with what back ends ran.

Covers retries, deadlines, slot loans, claims and authorization.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time

import msgspec
import pytest
from returns.result import Failure, Result, Success
from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    QUICK_SERVICE,
    Caller,
    Node,
    call,
    configuration,
    endpoint,
    run,
    until,
)

from peppershore.connection.messages.calls import (
    CallCancelled,
    CallNotRun,
    CallStarted,
    CallUnknown,
)
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.node import data_plane
from peppershore.process.node.data import call as call_module
from peppershore.request import deadline, slot_loans
from peppershore.request.audience import sign_token
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimTaken,
    ClaimUnavailable,
)
from peppershore.version.model import (
    RouteSettings,
    SecretGeneration,
    SecretResource,
    ServiceSettings,
)

ONCE = msgspec.structs.replace(PUBLIC_ROUTE, repeatable=False)


def _closed_address() -> str:
    """Return an address on which nothing listens."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{taken.getsockname()[1]}"


async def _break_off(request: Received, writer: asyncio.StreamWriter) -> None:
    raise ConnectionError


async def _hang(request: Received, writer: asyncio.StreamWriter) -> None:
    await request.reader.read(1)
    raise ConnectionError


@pytest.mark.parametrize("route", [PUBLIC_ROUTE, ONCE])
def test_unreachable_back_end_is_retried_elsewhere_for_every_route(
    route: RouteSettings,
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        node = Node()
        address = await node.start(
            endpoint(_closed_address(), "dead"),
            endpoint(await backend.start(), "alive"),
            route=route,
        )
        for _ in range(6):
            answer = await call(address, method="POST", body=b"x")
            assert (answer.status, answer.body) == (200, b"ok:x")
        assert len(backend.requests) == 6
        assert node.plane.calls.retries.count > 0
        await node.plane.close()
        backend.stop()

    run(scene())


def test_all_unreachable_is_not_run() -> None:
    async def scene() -> None:
        node = Node()
        address = await node.start(endpoint(_closed_address()))
        answer = await call(address)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.reason == "back-end-unreachable"
        assert answer.headers["retry-after"] == "1"
        await node.plane.close()

    run(scene())


def test_broken_off_call_is_repeated_only_where_it_may_be() -> None:
    async def scene() -> None:
        broken = ScriptedBackend(_break_off)
        node = Node()
        address = await node.start(endpoint(await broken.start()), route=ONCE)
        answer = await call(address, method="POST", body=b"x")
        assert (answer.status, answer.outcome) == (502, "unknown")
        assert len(broken.requests) == 1
        node.plane.use_configuration(_with_route(node, PUBLIC_ROUTE))
        answer = await call(address)
        assert answer.outcome == "unknown"
        assert len(broken.requests) == 1 + 1 + PUBLIC_ROUTE.retry_attempts
        await node.plane.close()
        broken.stop()

    run(scene())


def _with_route(node: Node, route: RouteSettings) -> object:
    active = node.plane.calls.configuration
    assert active is not None
    changed = msgspec.structs.replace(active.routes[0], settings=route)
    return msgspec.structs.replace(active, routes=(changed,))


def test_stale_kept_connection_never_makes_a_call_run_twice() -> None:
    """The back end closes each connection right after its first answer."""

    async def one_answer(request: Received, writer: asyncio.StreamWriter) -> None:
        await answer_ok(request, writer)
        await writer.drain()
        raise ConnectionError

    async def scene() -> None:
        backend = ScriptedBackend(one_answer)
        node = Node()
        address = await node.start(endpoint(await backend.start()), route=ONCE)
        caller = await Caller.connect(address)
        answered = 0
        for number in range(20):
            caller.request(method="POST", body=b"%d" % number)
            answer = await caller.answer()
            answered += answer.outcome == "answered"
            assert answer.outcome in ("answered", "unknown")
        assert answered <= len(backend.requests) <= 20
        await node.plane.close()
        backend.stop()

    run(scene())


def test_retry_storm_is_contained_by_the_budget() -> None:
    async def scene() -> None:
        broken = ScriptedBackend(_break_off)
        node = Node()
        settings = msgspec.structs.replace(QUICK_SERVICE, ejection_failures=0)
        address = await node.start(endpoint(await broken.start()), service=settings)
        for _ in range(100):
            await call(address)
        assert len(broken.requests) <= 100 + 10 + 3
        await node.plane.close()
        broken.stop()

    run(scene())


@pytest.mark.parametrize("hop", ["direct", "owner"])
def test_deadline_in_flight_is_unknown_and_cancels(hop: str) -> None:
    async def scene() -> None:
        backend = ScriptedBackend(_hang)
        owner = Node("k1", await backend.start())
        await owner.start()
        edge = Node()
        owner_address = owner.addresses.internal if hop == "owner" else ""
        address = await edge.start(endpoint(backend.address, owner_address=owner_address))
        headers = {"peppershore-deadline-milliseconds": "80"}
        answer = await call(address, headers=headers)
        assert (answer.status, answer.outcome) == (504, "unknown")
        assert int(backend.requests[0].headers["peppershore-deadline-milliseconds"]) < 80
        await until(lambda: backend.open == 0)
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


@pytest.fixture
def long_settle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait long enough for the owner's report even on a slow machine."""
    monkeypatch.setattr(call_module, "SETTLE_TIMEOUT_SECONDS", 10.0)


@pytest.mark.parametrize("hop", ["direct", "owner"])
@pytest.mark.parametrize("hop_margin", [0.002, -5.0])
@pytest.mark.usefixtures("long_settle_timeout")
def test_deadline_in_the_queue_is_not_run(
    hop: str, hop_margin: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same holds if the caller's node gives up before the owner, as with a slow peer.

    A negative margin brings that about: the owner's deadline is then the later one.
    """
    monkeypatch.setattr(deadline, "HOP_MARGIN_SECONDS", hop_margin)

    async def scene() -> None:
        backend = ScriptedBackend(_hang)
        owner = Node("k1", await backend.start(), slots=1)
        await owner.start()
        edge = Node()
        owner_address = owner.addresses.internal if hop == "owner" else ""
        address = await edge.start(
            endpoint(backend.address, owner_address=owner_address, slots=1)
        )
        first = await Caller.connect(address)
        first.request()
        await until(lambda: len(backend.requests) == 1)
        headers = {"peppershore-deadline-milliseconds": "80"}
        answer = await call(address, headers=headers)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert len(backend.requests) == 1
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


OWNER_REPLIES = {
    "not run": (CallNotRun(1, 503, "cancelled", 0, False), (503, "not-run")),
    "unknown": (CallUnknown(1, 504, "cancelled"), (504, "unknown")),
    "silent": (None, (504, "unknown")),
}


@pytest.mark.parametrize("reply", OWNER_REPLIES)
def test_at_the_deadline_the_owner_says_whether_the_call_ran(
    reply: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    message, expected = OWNER_REPLIES[reply]
    if message is not None:
        monkeypatch.setattr(call_module, "SETTLE_TIMEOUT_SECONDS", 10.0)

    owner = FakeOwner(lambda got: message if isinstance(got, CallCancelled) else None)

    async def scene() -> None:
        edge = Node()
        address = await edge.start(
            endpoint("127.0.0.1:1", owner_address=await owner.start()), route=ONCE
        )
        caller = await Caller.connect(address)
        headers = {"peppershore-deadline-milliseconds": "1000"}
        caller.request(method="POST", body=b"x", headers=headers)
        await until(lambda: any(isinstance(m, CallStarted) for m in owner.received))
        answer = await caller.answer()
        assert (answer.status, answer.outcome) == expected
        assert answer.reason == "deadline-passed"
        assert edge.plane.calls.in_flight == 0
        await edge.plane.close()
        owner.stop()

    run(scene())


def test_owner_lost_with_a_call_in_flight_is_unknown() -> None:
    async def scene() -> None:
        backend = ScriptedBackend(_hang)
        owner = Node("k1", await backend.start())
        await owner.start()
        edge = Node()
        address = await edge.start(
            endpoint(backend.address, owner_address=owner.addresses.internal), route=ONCE
        )
        caller = await Caller.connect(address)
        caller.request(method="POST", body=b"x")
        await until(lambda: len(backend.requests) == 1)
        await owner.plane.close()
        answer = await caller.answer()
        assert (answer.status, answer.outcome) == (502, "unknown")
        refused = await call(address, method="POST", body=b"y")
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert len(backend.requests) == 1
        await edge.plane.close()
        backend.stop()

    run(scene())


@pytest.mark.parametrize("hop", ["direct", "owner"])
def test_slot_limit_holds_across_all_nodes(hop: str) -> None:
    running = 0
    most = 0

    async def counted(request: Received, writer: asyncio.StreamWriter) -> None:
        nonlocal running, most
        running += 1
        most = max(most, running)
        await asyncio.sleep(0.003)
        running -= 1
        await answer_ok(request, writer)

    async def keep_calling(address: str, calls: int) -> int:
        caller = await Caller.connect(address)
        answered = 0
        for _ in range(calls):
            caller.request()
            answered += (await caller.answer()).outcome == "answered"
        return answered

    async def scene() -> None:
        slots = 4
        backend = ScriptedBackend(counted)
        owner = Node("k1", await backend.start(), slots=slots)
        await owner.start()
        edges = [Node(f"e{number}") for number in range(3)]
        route = msgspec.structs.replace(PUBLIC_ROUTE, hop=hop)
        shared = endpoint(
            backend.address, owner_address=owner.addresses.internal, slots=slots
        )
        for edge in edges:
            await edge.start(shared, route=route)
        work = [
            keep_calling(edge.addresses.callers, 40) for edge in edges for _ in range(6)
        ]
        answered = sum(await asyncio.gather(*work))
        assert answered == 3 * 6 * 40
        assert 1 < most <= slots
        for node in (*edges, owner):
            await node.plane.close()
        backend.stop()

    run(scene())


def test_calls_bypass_the_owner_once_slots_are_lent() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start())
        await owner.start()
        edge = Node()
        address = await edge.start(
            endpoint(backend.address, owner_address=owner.addresses.internal)
        )
        await call(address)
        await until(lambda: owner.plane.lent_slots == 1)
        before = owner.plane.streams_served
        for _ in range(5):
            assert (await call(address)).status == 200
        assert owner.plane.streams_served == before
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_connections_of_an_ended_loan_are_closed() -> None:
    """Pooled connections of many nodes would in time exceed the back end's limit."""

    async def scene() -> None:
        backend = ScriptedBackend()
        owner = Node("k1", await backend.start())
        await owner.start()
        edge = Node()
        address = await edge.start(
            endpoint(backend.address, owner_address=owner.addresses.internal)
        )
        await call(address)
        await until(lambda: owner.plane.lent_slots == 1)
        await call(address)
        assert backend.open == 2
        await until(lambda: owner.plane.lent_slots == 0)
        await until(lambda: backend.open == 1)
        await edge.plane.close()
        await owner.plane.close()
        backend.stop()

    run(scene())


def test_connections_are_bounded_across_all_nodes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nodes that borrow slots one after the other leave no connections open."""
    monkeypatch.setattr(slot_loans, "RENEW_SECONDS", 0.05)
    monkeypatch.setattr(data_plane, "TICK_SECONDS", 0.02)
    slots, most = 4, 0

    async def counted(request: Received, writer: asyncio.StreamWriter) -> None:
        nonlocal most
        most = max(most, backend.open)
        await answer_ok(request, writer)

    backend = ScriptedBackend(counted)

    async def scene() -> None:
        owner = Node("k1", await backend.start(), slots=slots)
        await owner.start()
        edges = [Node(f"e{number}") for number in range(12)]
        shared = endpoint(
            backend.address, owner_address=owner.addresses.internal, slots=slots
        )
        for edge in edges:
            address = await edge.start(shared)
            while owner.plane.lent_slots == 0:
                assert (await call(address)).status == 200
            assert (await call(address)).status == 200
            await until(lambda: owner.plane.lent_slots == 0)
        assert 1 < most <= 2 * slots, (
            "the owner's connections, and one for each slot on loan"
        )
        for node in (*edges, owner):
            await node.plane.close()
        backend.stop()

    run(scene())


class FakeClaims:
    """A claims client with claims in memory; it can be unreachable."""

    def __init__(self, reachable: bool = True) -> None:
        self.reachable = reachable
        self.claims: dict[str, KeptAnswer | None] = {}
        self.attempts: list[str] = []

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        await asyncio.sleep(0)
        self.attempts.append(attempt)
        if not self.reachable:
            return Failure(ClaimUnavailable("no quorum"))
        if key in self.claims:
            return Failure(ClaimTaken(self.claims[key]))
        self.claims[key] = None
        return Success(ClaimGranted())

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        self.claims[key] = answer

    def release(self, key: str, attempt: str) -> None:
        del self.claims[key]


KEYED = {"idempotency-key": "payout-0001", "x-request-id": "same"}


class ClaimScene:
    """An edge node with a claims client, in front of one back end."""

    def __init__(self, reachable: bool = True) -> None:
        self.claims = FakeClaims(reachable)
        self.backend = ScriptedBackend()

    async def start(self, address: str = "") -> str:
        self.node = Node()
        self.node.plane.use_claims(self.claims)
        address = address or await self.backend.start()
        return await self.node.start(endpoint(address), route=ONCE)

    async def close(self) -> None:
        await self.node.plane.close()
        self.backend.stop()


def test_resent_call_gets_the_first_answer_and_runs_once() -> None:
    async def scene() -> None:
        stage = ClaimScene()
        address = await stage.start()
        first = await call(address, method="POST", body=b"a", headers=KEYED)
        again = await call(address, method="POST", body=b"a", headers=KEYED)
        assert (first.status, first.body) == (again.status, again.body) == (200, b"ok:a")
        assert again.outcome == "answered"
        assert len(stage.backend.requests) == 1
        assert len(set(stage.claims.attempts)) == 2
        await stage.close()

    run(scene())


def test_too_short_idempotency_key_is_refused() -> None:
    async def scene() -> None:
        stage = ClaimScene()
        address = await stage.start()
        headers = {"idempotency-key": "short"}
        refused = await call(address, method="POST", body=b"a", headers=headers)
        assert (refused.status, refused.outcome) == (400, "not-run")
        assert stage.claims.attempts == []
        assert stage.backend.requests == []
        await stage.close()

    run(scene())


def test_unreachable_claims_refuse_keyed_calls_only() -> None:
    async def scene() -> None:
        stage = ClaimScene(reachable=False)
        address = await stage.start()
        refused = await call(address, method="POST", body=b"a", headers=KEYED)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert stage.backend.requests == []
        assert (await call(address, method="POST", body=b"a")).status == 200
        await stage.close()

    run(scene())


@pytest.mark.parametrize("operator_forwards", [False, True])
def test_keyed_call_without_a_claims_group_is_refused_unless_the_operator_forwards_it(
    operator_forwards: bool,
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        node = Node(forward_unclaimed_keys=operator_forwards)
        address = await node.start(endpoint(await backend.start()), route=ONCE)
        keyed = await call(address, method="POST", body=b"a", headers=KEYED)
        if operator_forwards:
            assert (keyed.status, len(backend.requests)) == (200, 1)
        else:
            assert (keyed.status, keyed.outcome) == (503, "not-run")
            assert keyed.reason == "no-claims-group"
            assert backend.requests == []
        assert (await call(address, method="POST", body=b"a")).status == 200
        node.plane.use_configuration(_with_route(node, PUBLIC_ROUTE))
        assert (await call(address, headers=KEYED)).status == 200
        await node.plane.close()
        backend.stop()

    run(scene())


@pytest.mark.parametrize("same_node", [True, False])
def test_resent_request_id_and_key_run_once(same_node: bool) -> None:
    """As in the claims group, an attempt that claims again under its name is granted.

    If the attempt were named by the request id, a caller's retry would run again.
    """

    class NamedClaims(FakeClaims):
        async def claim(
            self, key: str, attempt: str, seconds: float
        ) -> Result[ClaimGranted, ClaimDenied]:
            if attempt in self.attempts:
                return Success(ClaimGranted())
            return await super().claim(key, attempt, seconds)

    async def scene() -> None:
        backend = ScriptedBackend(_break_off)
        claims = NamedClaims()
        nodes = [Node("e1"), Node("e1" if same_node else "e2")]
        shared = endpoint(await backend.start())
        for node in nodes:
            node.plane.use_claims(claims)
            await node.start(shared, route=ONCE)
        first = nodes[0].addresses.callers
        second = first if same_node else nodes[1].addresses.callers
        for address in (first, second, first):
            answer = await call(address, method="POST", body=b"a", headers=KEYED)
            assert (answer.status, answer.outcome) == (502, "unknown")
        assert len(backend.requests) == 1
        assert len(set(claims.attempts)) == 3
        assert KEYED["x-request-id"] not in claims.attempts
        for node in nodes:
            await node.plane.close()
        backend.stop()

    run(scene())


def test_call_that_did_not_run_releases_its_claim() -> None:
    async def scene() -> None:
        stage = ClaimScene()
        address = await stage.start(_closed_address())
        refused = await call(address, method="POST", body=b"a", headers=KEYED)
        assert refused.outcome == "not-run"
        assert stage.claims.claims == {}
        await stage.close()

    run(scene())


def test_keyed_call_whose_caller_left_is_finished_and_its_answer_stored() -> None:
    async def slow(request: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.1)
        await answer_ok(request, writer)

    async def scene() -> None:
        stage = ClaimScene()
        stage.backend.script = slow
        address = await stage.start()
        caller = await Caller.connect(address)
        caller.request(method="POST", body=b"a", headers=KEYED)
        await until(lambda: len(stage.backend.requests) == 1)
        caller.writer.transport.abort()
        early = await call(address, method="POST", body=b"a", headers=KEYED)
        assert (early.status, early.outcome) == (502, "unknown")
        await until(lambda: any(stage.claims.claims.values()))
        again = await call(address, method="POST", body=b"a", headers=KEYED)
        assert again.body == b"ok:a"
        assert len(stage.backend.requests) == 1
        await stage.close()

    run(scene())


def test_internal_route_serves_only_tokens_of_the_internal_audience() -> None:
    secret = SecretResource("site", (SecretGeneration(1, b"k" * 32),), 1)
    route = msgspec.structs.replace(
        PUBLIC_ROUTE, audience=("internal",), verify_secret="site"
    )

    async def scene() -> None:
        backend = ScriptedBackend()
        node = Node()
        address = await node.start(
            endpoint(await backend.start()), route=route, secrets={"site": secret}
        )
        refused = await call(address)
        assert (refused.status, refused.outcome) == (403, "not-run")
        for audience, status in (("public", 403), ("member", 403), ("internal", 200)):
            token = sign_token(secret, audience, "kassa", int(time.time()) + 60)
            headers = {"authorization": f"Bearer {token}"}
            assert (await call(address, headers=headers)).status == status
        assert len(backend.requests) == 1
        await node.plane.close()
        backend.stop()

    run(scene())


def test_node_signs_tokens_only_for_its_local_back_end() -> None:
    secret = SecretResource("site", (SecretGeneration(1, b"k" * 32),), 1)
    route = msgspec.structs.replace(
        PUBLIC_ROUTE, audience=("internal",), verify_secret="site"
    )
    service = ServiceSettings(slow_start_milliseconds=0, sign_secret="site")

    async def scene() -> None:
        backend = ScriptedBackend()
        local = Node("k1", await backend.start())
        edge = Node()
        changes = {"route": route, "service": service, "secrets": {"site": secret}}
        await local.start(endpoint(backend.address), **changes)
        await edge.start(endpoint(backend.address), **changes)
        assert (await call(local.addresses.callers)).status == 200
        assert backend.requests[0].headers["authorization"].startswith("Bearer ")
        assert (await call(edge.addresses.callers)).status == 403
        await local.plane.close()
        await edge.plane.close()
        backend.stop()

    run(scene())


def test_caller_rate_is_refused_with_advice() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        node = Node()
        route = msgspec.structs.replace(PUBLIC_ROUTE, caller_rate_per_second=1)
        address = await node.start(endpoint(await backend.start()), route=route)
        statuses = [(await call(address)).status for _ in range(3)]
        assert statuses[0] == 200
        assert statuses[-1] == 429
        await node.plane.close()
        backend.stop()

    run(scene())


def test_token_library_is_loaded_before_the_first_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    secret = SecretResource("site", (SecretGeneration(1, b"k" * 32),), 1)

    async def scene() -> None:
        node = Node()
        monkeypatch.delitem(sys.modules, "jwt", raising=False)
        node.plane.use_configuration(configuration())
        assert "jwt" not in sys.modules
        node.plane.use_configuration(configuration(secrets={"site": secret}))
        assert "jwt" in sys.modules
        await node.plane.close()

    run(scene())
