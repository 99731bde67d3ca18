"""The baselines do what they are measured for."""

import asyncio

import pytest

from peppershore.version.model import Edit, ExpectedRevision, Overrides, SetOverrides
from peppershore.version.tree import apply_edit, empty_tree
from peppershore_lab.calls.client import ClientAnswer, ClientConnection, ClientRequest
from peppershore_lab.experiments.distribution_baselines import DistributionBaseline
from peppershore_lab.experiments.plain_proxy import ATTEMPTS, PlainProxy, PlainProxyPlan
from peppershore_lab.fleet.deployment import REFUND_NETWORK
from peppershore_lab.fleet.tree_edit import creating_edit
from peppershore_lab.http_server import HttpAnswer, start_server

TREE = apply_edit(empty_tree("c"), creating_edit(REFUND_NETWORK), 1).unwrap().tree
DELAYS = (0.0, 0.0, 0.0)


def edit(number):
    change = SetOverrides("/kuitti/*/check", Overrides(timeout_milliseconds=number))
    expected = (ExpectedRevision("/kuitti/*/check", number),)
    return Edit(f"edit-{number}", (change,), expected)


async def all_hold(baseline):
    while not baseline.is_current:  # noqa: ASYNC110 - no event
        await asyncio.sleep(0)


@pytest.mark.parametrize("poll_seconds", [0.0, 0.01])
def test_every_proxy_gets_the_whole_configuration_at_each_change(poll_seconds):
    async def scenario():
        baseline = DistributionBaseline("b", TREE, DELAYS, poll_seconds)
        await baseline.start()
        for number in (1, 2):
            baseline.accepted(edit(number), number)
            await all_hold(baseline)
        return await baseline.stop()

    measured = asyncio.run(scenario())
    assert (measured.changes, measured.proxies, measured.missing) == (2, 3, 0)
    whole = 1_000
    assert measured.control_bytes > 2 * 3 * whole


def test_a_proxy_that_reconnects_costs_a_push_and_counts_no_change_twice():
    async def scenario():
        baseline = DistributionBaseline("b", TREE, DELAYS)
        await baseline.start()
        baseline.accepted(edit(1), 1)
        await all_hold(baseline)
        baseline.reconnect(0)
        await all_hold(baseline)
        baseline.accepted(edit(2), 2)
        await all_hold(baseline)
        return await baseline.stop()

    measured = asyncio.run(scenario())
    assert (measured.changes, measured.missing) == (2, 0)


class Backend:
    def __init__(self, status):
        self.status = status
        self.requests = 0

    async def handle(self, _request):
        self.requests += 1
        return HttpAnswer(self.status, b"body")

    async def start(self):
        _, port = await start_server("127.0.0.1", 0, self.handle)
        return f"127.0.0.1:{port}"


async def through_plain_proxy(*backends):
    addresses = tuple([await backend.start() for backend in backends])
    plan = PlainProxyPlan(listen="", backends={"kassa": addresses})
    _, port = await start_server("127.0.0.1", 0, PlainProxy(plan).handle)
    connection = ClientConnection(f"127.0.0.1:{port}")
    answer = await connection.call(ClientRequest("POST", "/kassa/payout", (), b"x"))
    connection.close()
    assert isinstance(answer, ClientAnswer)
    return answer


def test_the_plain_proxy_tries_again_whatever_the_call_is():
    shedding, serving = Backend(503), Backend(200)
    answer = asyncio.run(through_plain_proxy(shedding, serving))
    assert answer.headers["peppershore-outcome"] == "answered"
    assert (shedding.requests, serving.requests) == (1, 1)


def test_the_plain_proxy_has_no_budget():
    shedding = Backend(503)
    answer = asyncio.run(through_plain_proxy(shedding))
    assert answer.status == 503
    assert shedding.requests == ATTEMPTS
