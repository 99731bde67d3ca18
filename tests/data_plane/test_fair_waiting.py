"""Fairness between tenants whose calls wait for one back end, on two paths of a call.

Also the order of the calls that the back end makes for one of them.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.data_plane.scripted_backend import Received, ScriptedBackend, answer_ok
from tests.data_plane.stage import (
    Caller,
    call,
    configuration,
    endpoint,
    run,
    until,
)
from tests.data_plane.test_calls_of_tenants import ANNA_KEY, BOB, BOB_KEY, Stage, showing

from peppershore.version.model import TenantResource
from peppershore.version.tenants import key_digest

CARL_KEY = "key-of-carl"
TENANTS = {
    "bob": BOB,
    "carl": TenantResource("carl", (key_digest(CARL_KEY.encode()),)),
    "anna": TenantResource("anna", (key_digest(ANNA_KEY.encode()),)),
}


class HeldBackEnd:
    """A back end that answers "/held" only after ``let_go`` is set.

    For "/outer" it makes a call to "/inner" before it answers.
    """

    def __init__(self) -> None:
        self.let_go = asyncio.Event()
        self.outbound = ""

    async def script(self, request: Received, writer: asyncio.StreamWriter) -> None:
        if request.target == "/held":
            await self.let_go.wait()
        if request.target == "/outer":
            headers = {"x-request-id": f"{request.headers['x-request-id']}.1"}
            answer = await call(self.outbound, "/inner", headers=headers)
            assert answer.status == 200
        await answer_ok(request, writer)


def _queued(stage: Stage) -> int:
    """Return the calls queued at all nodes; one queued at its owner counts only there."""
    own = stage.nodes[0].plane.calls.own
    assert own is not None
    at_entries = sum(node.plane.calls.admissions.waiting for node in stage.nodes)
    return own.admission.waiting + at_entries


@pytest.mark.parametrize("way", ["own", "owner"])
def test_a_call_of_one_tenant_waits_behind_one_of_another_and_not_behind_all(
    way: str,
) -> None:
    async def scene() -> None:
        held_back_end = HeldBackEnd()
        backend = ScriptedBackend(held_back_end.script)
        stage = Stage(backend, way)
        address = await stage.start(slots=1)
        for node in stage.nodes:
            node.plane.use_configuration(configuration(tenants=TENANTS))
        first = await Caller.connect(address)
        first.request("/held", headers=showing(ANNA_KEY))
        await until(lambda: len(backend.requests) == 1)
        callers = [await Caller.connect(address) for _ in range(7)]
        for number, caller in enumerate(callers[:6], 1):
            caller.request(f"/bob-{number}", headers=showing(BOB_KEY))
            await until(lambda number=number: _queued(stage) == number)  # type: ignore[misc]
        callers[6].request("/carl", headers=showing(CARL_KEY))
        await until(lambda: _queued(stage) == 7)
        held_back_end.let_go.set()
        for caller in (first, *callers):
            assert (await caller.answer()).status == 200
        order = [each.target for each in backend.requests]
        assert order.index("/carl") <= 3
        await stage.stop()

    run(scene())


def test_a_call_made_by_a_running_call_goes_before_first_attempts_of_all_tenants() -> None:
    async def scene() -> None:
        held_back_end = HeldBackEnd()
        backend = ScriptedBackend(held_back_end.script)
        stage = Stage(backend, "owner")
        address = await stage.start(slots=2)
        own = stage.nodes[0]
        own.plane.use_endpoints((endpoint(backend.address, slots=2),))
        for node in stage.nodes:
            node.plane.use_configuration(configuration(tenants=TENANTS))
        held_back_end.outbound = own.addresses.callers
        first = await Caller.connect(address)
        first.request("/held", headers=showing(ANNA_KEY))
        await until(lambda: len(backend.requests) == 1)
        callers = [await Caller.connect(address) for _ in range(3)]
        callers[0].request("/outer", headers=showing(BOB_KEY, **{"x-request-id": "aa"}))
        await until(lambda: len(backend.requests) == 2 and _queued(stage) == 1)
        for caller, key in zip(callers[1:], (ANNA_KEY, CARL_KEY), strict=True):
            caller.request("/waits", headers=showing(key))
        await until(lambda: _queued(stage) == 3)
        held_back_end.let_go.set()
        for caller in (first, *callers):
            assert (await caller.answer()).status == 200
        order = [each.target for each in backend.requests]
        assert order[:3] == ["/held", "/outer", "/inner"]
        await stage.stop()

    run(scene())
