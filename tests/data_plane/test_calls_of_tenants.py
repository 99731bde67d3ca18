"""Callers' keys and tenant names on every path of a call.

Covers callers that forge a tenant name in the headers or the trailers, pipelined calls,
keys that are removed while their call waits, and back ends that make calls of their own.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest
from tests.data_plane.fake_owner import FakeOwner
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    SERVICE,
    Answer,
    Caller,
    Node,
    call,
    configuration,
    endpoint,
    run,
    until,
)

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallNotRun, CallStarted
from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted, TenantGrant
from peppershore.process.settings import HeaderSettings, QuotaSettings
from peppershore.version.model import RouteResource, TenantResource
from peppershore.version.tenants import key_digest

HEADERS = HeaderSettings(
    request_id="x-request-id",
    deadline="peppershore-deadline-milliseconds",
    tenant="x-tenant",
)
ANNA_KEY, BOB_KEY = "key-of-anna", "key-of-bob"
ANNA = TenantResource("anna", (key_digest(ANNA_KEY.encode()),), priority=0)
BOB = TenantResource("bob", (key_digest(BOB_KEY.encode()),))
BOTH = {"anna": ANNA, "bob": BOB}
OPEN = msgspec.structs.replace(PUBLIC_ROUTE, path_prefix="/open", keyless=True)
STREAMED = msgspec.structs.replace(PUBLIC_ROUTE, path_prefix="/up", streamed_bodies=True)
OTHERS = (
    RouteResource(SERVICE, "open", OPEN),
    RouteResource(SERVICE, "streamed", STREAMED),
)


def showing(key: str, **fields: str) -> dict[str, str]:
    return {"authorization": f"Bearer {key}", **fields}


class Stage:
    """A back end, its local node, and, unless ``way`` is "own", a node for the callers.

    ``way`` is the path of a call: "own" enters at the back end's local node, "owner"
    goes through that node, "direct" goes to the back end itself.
    """

    def __init__(self, backend: ScriptedBackend, way: str, **changes: Any) -> None:
        self.backend = backend
        self.way = way
        self.changes = changes
        self.nodes: list[Node] = []

    async def start(self, slots: int = 20) -> str:
        address = await self.backend.start()
        changes = {"headers": HEADERS, "log_answered_every": 1, **self.changes}
        started = {"tenants": BOTH, "others": OTHERS}
        own = Node("k1", address, slots, **changes)
        self.nodes = [own]
        if self.way == "own":
            return await own.start(endpoint(address, slots=slots), **started)
        edge = Node("e1", **changes)
        self.nodes.append(edge)
        await own.start(**started)
        owner = own.addresses.internal if self.way == "owner" else ""
        target = endpoint(address, owner_address=owner, slots=slots)
        return await edge.start(target, **started)

    @property
    def entry(self) -> Node:
        return self.nodes[-1]

    def use(self, tenants: dict[str, TenantResource], **changes: Any) -> None:
        for node in self.nodes:
            changed = configuration(tenants=tenants, others=OTHERS, **changes)
            node.plane.use_configuration(changed)

    async def stop(self) -> None:
        for node in self.nodes:
            await node.plane.close()
        self.backend.stop()


WAYS = ("own", "owner", "direct")


@pytest.mark.parametrize("way", WAYS)
def test_the_back_end_gets_the_tenant_name_and_no_key(way: str) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, way)
        address = await stage.start()
        headers = showing(BOB_KEY, **{"x-tenant": "anna", "X-Tenant": "anna", "x-a": "1"})
        answer = await call(address, "/a", headers=headers)
        assert answer.status == 200
        sent = backend.requests[0]
        assert sent.head.lower().count(b"x-tenant:") == 1
        assert (sent.headers["x-tenant"], sent.headers["x-a"]) == ("bob", "1")
        assert BOB_KEY.encode() not in sent.head
        await stage.stop()

    run(scene())


@pytest.mark.parametrize("way", WAYS)
def test_trailers_of_a_streamed_body_carry_neither_key_nor_tenant_name(way: str) -> None:
    async def scene() -> None:
        backend = ScriptedBackend(_read_to_the_end)
        stage = Stage(backend, way)
        caller = await Caller.connect(await stage.start())
        head = showing(BOB_KEY, **{"transfer-encoding": "chunked", "x-tenant": "anna"})
        caller.request("/up/x", method="PUT", headers=head)
        trailers = f"x-tenant: anna\r\nauthorization: Bearer {ANNA_KEY}\r\nx-sum: 9\r\n"
        caller.write(b"5\r\nhello\r\n0\r\n" + trailers.encode() + b"\r\n")
        assert (await caller.answer("PUT")).body == b"ok:hello"
        sent = backend.requests[0]
        assert sent.headers["x-tenant"] == "bob"
        everything = sent.head + _after_body(backend)
        assert b"x-sum: 9" in everything
        assert b"anna" not in everything
        assert b"key-of" not in everything
        caller.close()
        await stage.stop()

    run(scene())


async def _read_to_the_end(request: Received, writer: asyncio.StreamWriter) -> None:
    body, rest = b"", b""
    while size := int(await request.reader.readline(), 16):
        body += await request.reader.readexactly(size)
        await request.reader.readline()
    while (line := await request.reader.readline()) != b"\r\n":
        rest += line
    request.lines.append(rest.decode())
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (len(body) + 3))
    writer.write(b"ok:" + body)


def _after_body(backend: ScriptedBackend) -> bytes:
    return backend.requests[0].lines[-1].encode()


@pytest.mark.parametrize("way", WAYS)
def test_pipelined_calls_each_have_their_own_tenant(way: str) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, way)
        caller = await Caller.connect(await stage.start())
        keys = (ANNA_KEY, BOB_KEY, "key-of-nobody", ANNA_KEY)
        for number, key in enumerate(keys):
            caller.request(f"/{number}", headers=showing(key))
        statuses = [(await caller.answer()).status for _ in keys]
        assert statuses == [200, 200, 401, 200]
        served = {each.target: each.headers["x-tenant"] for each in backend.requests}
        assert served == {"/0": "anna", "/1": "bob", "/3": "anna"}
        caller.close()
        await stage.stop()

    run(scene())


@pytest.mark.parametrize(
    ("headers", "reason"),
    [
        ({}, "no-key"),
        ({"x-tenant": "anna"}, "no-key"),
        ({"authorization": "Basic key-of-anna"}, "no-key"),
        (showing("key-of-nobody"), "unknown-key"),
    ],
)
def test_a_call_without_a_valid_key_is_refused_and_no_key_is_logged(
    headers: dict[str, str], reason: str
) -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "owner")
        address = await stage.start()
        answer = await call(address, headers=headers)
        assert (answer.status, answer.outcome, answer.reason) == (401, "not-run", reason)
        assert answer.headers["www-authenticate"] == "Bearer"
        assert backend.requests == []
        await call(address, headers=showing(ANNA_KEY))
        line = _log_lines(stage.entry)[0]
        assert (line["status"], line["reason"], line["version"]) == (401, reason, 1)
        assert _log_lines(stage.entry)[1]["tenant"] == "anna"
        _assert_no_key_is_logged(stage)
        await stage.stop()

    run(scene())


def _log_lines(node: Node) -> list[dict[str, Any]]:
    return [msgspec.structs.asdict(each) for each in node.notices if each.is_call]


def test_a_flood_of_wrong_keys_has_few_log_lines_and_each_call_is_counted() -> None:
    async def scene() -> None:
        stage = Stage(ScriptedBackend(), "own")
        address = await stage.start()
        caller = await Caller.connect(address)
        for _ in range(200):
            caller.request(headers=showing("key-of-nobody"))
            assert (await caller.answer()).status == 401
        assert (await call(address, headers=showing(ANNA_KEY))).status == 200
        lines = _log_lines(stage.entry)
        refused = [line for line in lines if line["reason"] == "unknown-key"]
        assert 10 <= len(refused) < 200
        assert lines[-1]["tenant"] == "anna", "calls with a key are still logged"
        stage.entry.plane.calls.freshness.confirmed(-100.0)
        put_off = await call(address, headers=showing("key-of-nobody"))
        assert put_off.reason == "configuration-not-confirmed"
        line = _log_lines(stage.entry)[-1]
        assert (line["reason"], line["lines_left_out"]) == (put_off.reason, 0)
        caller.close()
        await stage.stop()

    run(scene())


def _assert_no_key_is_logged(stage: Stage) -> None:
    for node in stage.nodes:
        written = repr(node.notices)
        assert "key-of" not in written
        for tenant in BOTH.values():
            assert tenant.key_digests[0].hex() not in written
            assert repr(tenant.key_digests[0]) not in written


def test_a_keyless_route_forwards_no_key_and_no_tenant() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "owner")
        address = await stage.start()
        headers = showing(ANNA_KEY, **{"x-tenant": "anna"})
        assert (await call(address, "/open/x", headers=headers)).status == 200
        assert (await call(address, "/open/x")).status == 200
        for sent in backend.requests:
            assert "x-tenant" not in sent.headers
            assert "authorization" not in sent.headers
        await stage.stop()

    run(scene())


def test_an_owner_receives_the_tenant_and_its_priority() -> None:
    owner = FakeOwner()

    async def scene() -> None:
        edge = Node(headers=HEADERS, apply_milliseconds=2_000.0)
        address = await edge.start(
            endpoint("127.0.0.1:1", owner_address=await owner.start()), tenants=BOTH
        )
        callers = [await Caller.connect(address) for _ in BOTH]
        for caller, key in zip(callers, (ANNA_KEY, BOB_KEY), strict=True):
            caller.request(headers=showing(key))
        await until(lambda: len(_started(owner)) == len(BOTH))
        received = {each.tenant: each.priority for each in _started(owner)}
        assert received == {"anna": 0, "bob": PUBLIC_ROUTE.priority}
        for started in _started(owner):
            assert (b"x-tenant", started.tenant.encode()) in started.headers
            assert 0 <= started.patience_milliseconds <= 1_000
        for caller in callers:
            caller.close()
        await edge.plane.close()
        owner.stop()

    run(scene())


def _started(owner: FakeOwner) -> list[CallStarted]:
    return [each for each in owner.received if isinstance(each, CallStarted)]


class HeldBackEnd:
    """A back end that answers requests for ``path`` only after ``let_go`` is set."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.let_go = asyncio.Event()

    async def script(self, request: Received, writer: asyncio.StreamWriter) -> None:
        if request.target == self.path:
            await self.let_go.wait()
        await answer_ok(request, writer)


def test_a_key_that_is_removed_while_its_call_is_queued() -> None:
    async def scene() -> None:
        held_back_end = HeldBackEnd("/first")
        backend = ScriptedBackend(held_back_end.script)
        stage = Stage(backend, "direct")
        address = await stage.start(slots=1)
        first, second, third = [await Caller.connect(address) for _ in range(3)]
        first.request("/first", headers=showing(ANNA_KEY))
        await until(lambda: len(backend.requests) == 1)
        second.request("/second", headers=showing(BOB_KEY))
        third.request("/third", headers=showing(ANNA_KEY))
        await until(lambda: stage.entry.plane.calls.admissions.waiting == 2)
        stage.use({"anna": ANNA})
        answer = await second.answer()
        assert (answer.status, answer.reason) == (401, "unknown-key")
        held_back_end.let_go.set()
        assert (await first.answer()).status == 200
        assert (await third.answer()).status == 200
        assert [each.target for each in backend.requests] == ["/first", "/third"]
        assert stage.entry.plane.calls.in_flight == 0
        await stage.stop()

    run(scene())


def test_a_key_that_is_removed_while_its_call_runs_cuts_nothing() -> None:
    async def scene() -> None:
        held_back_end = HeldBackEnd("/first")
        backend = ScriptedBackend(held_back_end.script)
        stage = Stage(backend, "owner")
        caller = await Caller.connect(await stage.start())
        caller.request("/first", headers=showing(BOB_KEY))
        await until(lambda: len(backend.requests) == 1)
        stage.use({"anna": ANNA})
        held_back_end.let_go.set()
        assert (await caller.answer()).status == 200
        caller.request("/again", headers=showing(BOB_KEY))
        assert (await caller.answer()).status == 401
        caller.close()
        await stage.stop()

    run(scene())


LIMITED = TenantResource("bob", BOB.key_digests, rate_per_second=40.0, burst=40.0)
SECOND_KEY = "second-key-of-bob"
TWO_KEYS = msgspec.structs.replace(
    LIMITED, key_digests=(*BOB.key_digests, key_digest(SECOND_KEY.encode()))
)
QUOTAS = QuotaSettings(window_seconds=5.0, overshoot=0.1, slack=20.0)


class RecordedRequests:
    """Records a node's requests for grants, and answers them only by ``answer``."""

    def __init__(self, node: Node) -> None:
        self.asks: list[QuotaAsked] = []
        self._gate = node.plane.calls.quotas
        self._gate.on_request = self.asks.append

    def answer(self, calls: int, wait: int = 0) -> None:
        for ask in self.asks:
            grants = tuple(TenantGrant(each.tenant, calls, wait) for each in ask.asks)
            self._gate.answered(QuotaGranted(ask.number, grants, 400))


def long_time_out() -> dict[str, Any]:
    """Return a configuration change: a route with a long time-out.

    So only the test decides a call, and no slow machine lets it wait until its time-out.
    """
    route = msgspec.structs.replace(PUBLIC_ROUTE, timeout_milliseconds=30_000)
    return {"route": route}


def test_a_key_that_is_removed_while_its_call_waits_for_a_grant() -> None:
    """The grant goes to a call whose key is still valid."""

    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "own", quotas=QUOTAS)
        address = await stage.start()
        grant_requests = RecordedRequests(stage.entry)
        stage.use({"bob": TWO_KEYS}, **long_time_out())
        first, second = [await Caller.connect(address) for _ in range(2)]
        first.request("/first", headers=showing(BOB_KEY))
        await until(lambda: stage.entry.plane.calls.in_flight == 1)
        second.request("/second", headers=showing(SECOND_KEY))
        await until(lambda: stage.entry.plane.calls.in_flight == 2)
        only = msgspec.structs.replace(TWO_KEYS, key_digests=TWO_KEYS.key_digests[1:])
        stage.use({"bob": only}, **long_time_out())
        answer = await first.answer()
        assert (answer.status, answer.reason) == (401, "unknown-key")
        grant_requests.answer(1)
        assert (await second.answer()).status == 200
        assert [each.target for each in backend.requests] == ["/second"]
        await stage.stop()

    run(scene())


@pytest.mark.parametrize("granted", [1, 0])
def test_a_key_that_is_not_confirmed_when_its_call_is_decided(granted: int) -> None:
    """No configuration came in the meantime; only the elapsed time shows it."""

    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "own", fail_closed=True, quotas=QUOTAS)
        address = await stage.start()
        grant_requests = RecordedRequests(stage.entry)
        stage.use({"bob": LIMITED}, **long_time_out())
        caller = await Caller.connect(address)
        caller.request("/first", headers=showing(BOB_KEY))
        await until(lambda: len(grant_requests.asks) >= 1)
        loop = asyncio.get_running_loop()
        stage.entry.plane.calls.freshness.confirmed(loop.time() - 60.0)
        grant_requests.answer(granted, wait=0 if granted else 500)
        answer = await caller.answer()
        assert (answer.status, answer.reason) == (503, "keys-not-confirmed")
        assert backend.requests == []
        await stage.stop()

    run(scene())


def test_a_key_that_is_removed_before_a_retry() -> None:
    stopped = asyncio.Event()

    def busy(message: Message) -> Message | None:
        if not isinstance(message, CallStarted):
            return None
        edge.plane.use_configuration(configuration(tenants={"anna": ANNA}))
        stopped.set()
        return CallNotRun(message.stream, 503, "back-end-leaving", 100, retryable=True)

    owners = [FakeOwner(busy), FakeOwner(busy)]
    edge: Node

    async def scene() -> None:
        nonlocal edge
        edge = Node(headers=HEADERS)
        addresses = [await owner.start() for owner in owners]
        address = await edge.start(
            *(
                endpoint("127.0.0.1:1", f"k{number}", owner_address=owner)
                for number, owner in enumerate(addresses)
            ),
            tenants=BOTH,
        )
        answer = await call(address, headers=showing(BOB_KEY))
        assert stopped.is_set()
        assert (answer.status, answer.reason) == (401, "unknown-key")
        assert sum(len(_started(owner)) for owner in owners) == 1
        await edge.plane.close()
        for owner in owners:
            owner.stop()

    run(scene())


class CallingBackEnd:
    """A back end that makes a call through its local node before it answers."""

    def __init__(self, **headers: str) -> None:
        self.outbound = ""
        self.headers = headers
        self.answers: list[Answer] = []

    async def script(self, request: Received, writer: asyncio.StreamWriter) -> None:
        if request.target == "/outer":
            made = f"{request.headers['x-request-id']}.1"
            headers = {"x-request-id": made, **self.headers}
            answer = await call(self.outbound, "/inner", headers=headers)
            self.answers.append(answer)
        await answer_ok(request, writer)


@pytest.mark.parametrize("way", ["own", "owner"])
@pytest.mark.parametrize("hop", ["direct", "owner"])
def test_a_call_of_a_back_end_has_the_tenant_of_the_call_it_runs(
    way: str, hop: str
) -> None:
    """Whatever path the route sets, the local node knows which tenant's call runs."""

    async def scene() -> None:
        calling_back_end = CallingBackEnd(**{"x-tenant": "anna"})
        backend = ScriptedBackend(calling_back_end.script)
        stage = Stage(backend, way)
        address = await stage.start()
        route = msgspec.structs.replace(PUBLIC_ROUTE, hop=hop)
        own = stage.nodes[0]
        own.plane.use_endpoints((endpoint(backend.address),))
        for node in stage.nodes:
            node.plane.use_configuration(configuration(route, tenants=BOTH))
        calling_back_end.outbound = own.addresses.callers
        headers = showing(BOB_KEY, **{"x-request-id": "aa"})
        assert (await call(address, "/outer", headers=headers)).status == 200
        assert [each.status for each in calling_back_end.answers] == [200]
        served = [(each.target, each.headers["x-tenant"]) for each in backend.requests]
        assert served == [("/outer", "bob"), ("/inner", "bob")]
        await stage.stop()

    run(scene())


def test_a_call_made_for_a_call_that_has_ended_is_refused() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "own")
        address = await stage.start()
        await call(address, headers=showing(BOB_KEY, **{"x-request-id": "aa"}))
        answer = await call(address, headers={"x-request-id": "aa.1"})
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.reason == "parent-not-known"
        unrelated = await call(address, headers={"x-request-id": "bb"})
        assert (unrelated.status, unrelated.reason) == (401, "no-key")
        assert len(backend.requests) == 1
        await stage.stop()

    run(scene())


def test_calls_without_a_tenants_key_are_refused_once_there_are_tenants() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "owner")
        address = await stage.start()
        stage.use({})
        free = await call(address, headers=showing(ANNA_KEY, **{"x-tenant": "anna"}))
        assert free.status == 200
        assert "x-tenant" not in backend.requests[0].headers
        assert backend.requests[0].headers["authorization"] == f"Bearer {ANNA_KEY}"
        stage.use(BOTH)
        assert (await call(address)).status == 401
        assert (await call(address, headers=showing(ANNA_KEY))).status == 200
        await stage.stop()

    run(scene())


def test_a_node_without_updates_refuses_an_unknown_key_only_for_now() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "own")
        address = await stage.start()
        loop = asyncio.get_running_loop()
        stage.entry.plane.calls.freshness.confirmed(loop.time() - 60.0)
        unknown = await call(address, headers=showing("key-of-nobody"))
        assert (unknown.status, unknown.reason) == (503, "configuration-not-confirmed")
        assert (await call(address, headers=showing(ANNA_KEY))).status == 200
        await stage.stop()

    run(scene())


def test_a_node_without_updates_that_fails_closed_admits_no_key() -> None:
    async def scene() -> None:
        backend = ScriptedBackend()
        stage = Stage(backend, "own", fail_closed=True)
        address = await stage.start()
        loop = asyncio.get_running_loop()
        stage.entry.plane.calls.freshness.confirmed(loop.time() - 60.0)
        answer = await call(address, headers=showing(ANNA_KEY))
        assert (answer.status, answer.reason) == (503, "keys-not-confirmed")
        assert (await call(address, "/open/x")).status == 200
        assert [each.target for each in backend.requests] == ["/open/x"]
        await stage.stop()

    run(scene())
