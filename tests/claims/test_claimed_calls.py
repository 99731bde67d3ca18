"""Replies to callers for claimed calls through a node's data plane."""

from __future__ import annotations

import asyncio
import time
import uuid

import msgspec
import pytest
from returns.result import Failure, Result, Success
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import (
    PUBLIC_ROUTE,
    SERVICE,
    Node,
    call,
    configuration,
    endpoint,
    run,
    until,
)

from peppershore.connection.http_head import RequestHead
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.entries import (
    ClaimEntry,
    CompletionEntry,
    Granted,
    ReleaseEntry,
    TableFull,
    Taken,
)
from peppershore.process.claims.table import ClaimTable
from peppershore.request.claim import (
    ClaimDenied,
    ClaimGranted,
    ClaimTaken,
    ClaimUnavailable,
    callers_key,
    claim_key,
)
from peppershore.version.model import RouteResource

ONCE = msgspec.structs.replace(PUBLIC_ROUTE, repeatable=False)
KEYED = {"idempotency-key": "payout-0001"}
HORIZON_SECONDS = 600
MILLISECONDS = 1_000


class TableClaims:
    """Claims client that answers from a real claims table as the group would."""

    def __init__(self, max_records: int = 100) -> None:
        self.table = ClaimTable(HORIZON_SECONDS * MILLISECONDS, max_records)
        self.unavailable = False

    async def claim(
        self, key: str, attempt: str, seconds: float
    ) -> Result[ClaimGranted, ClaimDenied]:
        await asyncio.sleep(0)
        if self.unavailable:
            return Failure(ClaimUnavailable("claims group unavailable"))
        answer = self.table.apply_entry(ClaimEntry(key, attempt))
        if isinstance(answer, Taken):
            return Failure(ClaimTaken(answer.answer))
        if isinstance(answer, TableFull):
            return Failure(ClaimUnavailable("full"))
        assert answer == Granted()
        return Success(ClaimGranted(HORIZON_SECONDS))

    def complete(self, key: str, attempt: str, answer: KeptAnswer | None) -> None:
        self.table.apply_entry(CompletionEntry(key, attempt, answer))

    def release(self, key: str, attempt: str) -> None:
        self.table.apply_entry(ReleaseEntry(key, attempt))


class Scene:
    """Two edge nodes that share a claims group, in front of one back end."""

    def __init__(self, max_records: int = 100) -> None:
        self.claims = TableClaims(max_records)
        self.backend = ScriptedBackend()
        self.nodes = [Node("e1"), Node("e2")]
        self.edges: list[str] = []

    async def start(self) -> None:
        address = await self.backend.start()
        for node in self.nodes:
            node.plane.use_claims(self.claims)
            self.edges.append(await node.start(endpoint(address), route=ONCE))

    async def close(self) -> None:
        for node in self.nodes:
            await node.plane.close()
        self.backend.stop()


async def dies_after_running(request: Received, writer: asyncio.StreamWriter) -> None:
    """Close the connection without an answer, as a back end that crashed after running."""
    writer.transport.abort()


def test_back_end_dead_after_running_is_unknown_and_never_run_again() -> None:
    async def scene() -> None:
        stage = Scene()
        await stage.start()
        stage.backend.script = dies_after_running
        first = await call(stage.edges[0], method="POST", body=b"a", headers=KEYED)
        assert (first.status, first.outcome) == (502, "unknown")
        stage.backend.script = answer_ok
        for edge in (*stage.edges, *stage.edges):
            again = await call(edge, method="POST", body=b"a", headers=KEYED)
            assert (again.status, again.outcome) == (502, "unknown")
            assert again.reason == "claimed-before"
        assert len(stage.backend.requests) == 1
        await stage.close()

    run(scene())


def test_concurrent_sends_through_two_nodes_run_once() -> None:
    async def slow(request: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        await answer_ok(request, writer)

    async def scene() -> None:
        stage = Scene()
        await stage.start()
        stage.backend.script = slow
        sends = (
            call(edge, method="POST", body=b"a", headers=KEYED) for edge in stage.edges
        )
        outcomes = sorted(answer.outcome for answer in await asyncio.gather(*sends))
        assert outcomes == ["answered", "unknown"]
        late = await call(stage.edges[1], method="POST", body=b"a", headers=KEYED)
        assert late.body == b"ok:a"
        assert len(stage.backend.requests) == 1
        await stage.close()

    run(scene())


@pytest.mark.parametrize("max_records", [0, 100])
def test_no_claim_means_not_run_at_once_and_when_to_come_back(max_records: int) -> None:
    """A full table and an unavailable group lead to the same reply to the caller."""

    async def scene() -> None:
        stage = Scene(max_records)
        await stage.start()
        stage.claims.unavailable = max_records > 0
        refused = await call(stage.edges[0], method="POST", body=b"a", headers=KEYED)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert refused.headers["retry-after"] == "1"
        assert stage.backend.requests == []
        await stage.close()

    run(scene())


def test_key_older_than_the_groups_own_horizon_is_refused_and_released() -> None:
    """The node checks keys against one day; this group stores records for ten minutes."""

    async def scene() -> None:
        stage = Scene()
        await stage.start()
        now = int(time.time() * MILLISECONDS)
        old = str(uuid.UUID(int=((now - 500_000) << 80) | (7 << 76) | (2 << 62)))
        headers = {"idempotency-key": old}
        refused = await call(stage.edges[0], method="POST", body=b"a", headers=headers)
        assert (refused.status, refused.outcome) == (400, "not-run")
        assert stage.backend.requests == []
        assert stage.claims.table.size == 0
        await stage.close()

    run(scene())


def test_call_abandoned_before_its_claim_is_granted_is_released() -> None:
    async def scene() -> None:
        stage = Scene()
        await stage.start()
        held = asyncio.Event()
        granted = stage.claims.claim

        async def late(key: str, attempt: str, seconds: float):
            claimed = await granted(key, attempt, seconds)
            await held.wait()
            return claimed

        stage.claims.claim = late  # type: ignore[method-assign]
        headers = {**KEYED, "peppershore-deadline-milliseconds": "60"}
        refused = await call(stage.edges[0], method="POST", body=b"a", headers=headers)
        assert (refused.outcome, refused.reason) == ("not-run", "deadline-passed")
        assert stage.claims.table.size == 1
        held.set()
        await until(lambda: stage.claims.table.size == 0)
        assert stage.backend.requests == []
        await stage.close()

    run(scene())


@pytest.mark.parametrize(("service", "route"), [("kassa", "split"), ("payouts", "all")])
def test_resend_after_an_edit_of_the_tree_is_the_same_call(
    service: str, route: str
) -> None:
    """An operator moves the path to another route or service before the call is retried."""

    async def scene() -> None:
        stage = Scene()
        await stage.start()
        sent = {"target": "/kassa/payout?x=1", "method": "POST", "headers": KEYED}
        first = await call(stage.edges[0], body=b"a", **sent)
        before = configuration(ONCE)
        moved = msgspec.structs.replace(ONCE, target=SERVICE)
        after = msgspec.structs.replace(
            before, version=2, routes=(RouteResource(service, route, moved),)
        )
        for node in stage.nodes:
            node.plane.use_configuration(after)
        again = await call(stage.edges[1], body=b"a", **sent)
        assert (first.body, again.body) == (b"ok:a", b"ok:a")
        assert len(stage.backend.requests) == 1
        await stage.close()

    run(scene())


def test_a_key_on_another_path_or_method_or_caller_is_another_call() -> None:
    async def scene() -> None:
        stage = Scene()
        await stage.start()
        for target, method in (("/a", "POST"), ("/b", "POST"), ("/a", "PUT")):
            answer = await call(
                stage.edges[0], target, method=method, body=b"a", headers=KEYED
            )
            assert answer.outcome == "answered"
        assert len(stage.backend.requests) == 3
        await stage.close()

    run(scene())
    head = RequestHead(b"POST", b"/a", [], 0)
    names = [claim_key(head, "payout-0001", caller) for caller in ("", "shop", "till")]
    assert len(set(names)) == 3
    assert [callers_key(name) for name in names] == ["payout-0001"] * 3
    slashes = claim_key(head, "pay/out/1", "shop")
    assert callers_key(slashes) == "pay/out/1"
