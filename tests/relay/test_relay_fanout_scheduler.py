"""Endpoint changes: few are sent soon, bursts are batched, urgent ones go first."""

from __future__ import annotations

import pytest
from tests.relay.site import Site

from peppershore.connection.endpoint_packing import unpack_endpoints
from peppershore.connection.messages.endpoints import EndpointsPacked
from peppershore.process.node.core import NodeMemory
from peppershore.process.relay.fanout_scheduler import (
    BURST_ENDPOINTS,
    BURST_WINDOW_SECONDS,
    WINDOW_SECONDS,
    FanoutScheduler,
)

NODES = 240
RESTART_SECONDS = 1.0
MAX_MESSAGES = 8


def test_a_first_change_waits_a_window_and_later_ones_join_it() -> None:
    scheduler = FanoutScheduler()
    assert scheduler.plan(False, 10.0) == pytest.approx(WINDOW_SECONDS)
    assert scheduler.plan(False, 10.01) is None
    assert scheduler.postpone(2, False, 10.0 + WINDOW_SECONDS) == 0.0


def test_an_urgent_change_is_sent_at_once_and_then_at_most_once_a_window() -> None:
    scheduler = FanoutScheduler()
    scheduler.plan(False, 9.99)
    assert scheduler.plan(True, 10.0) == 0.0
    scheduler.sent(10.0)
    wait = scheduler.plan(True, 10.01)
    assert wait is not None
    assert 0.0 < wait <= WINDOW_SECONDS
    assert scheduler.postpone(1_000, True, 10.01 + wait) == 0.0


def test_in_a_burst_other_changes_wait_for_the_long_window_and_no_longer() -> None:
    scheduler = FanoutScheduler()
    scheduler.sent(10.0)
    scheduler.plan(False, 10.01)
    wait = scheduler.postpone(BURST_ENDPOINTS, False, 10.06)
    assert 0.0 < wait <= BURST_WINDOW_SECONDS
    assert scheduler.plan(False, 10.07) is None
    assert scheduler.postpone(1_000, False, 10.06 + wait) == 0.0


def test_an_urgent_change_does_not_wait_for_the_end_of_a_burst() -> None:
    scheduler = FanoutScheduler()
    scheduler.sent(10.0)
    scheduler.plan(False, 10.01)
    assert scheduler.postpone(BURST_ENDPOINTS, False, 10.06) > WINDOW_SECONDS
    assert scheduler.plan(True, 10.2) == 0.0


def test_a_mass_restart_is_sent_to_another_node_in_few_messages() -> None:
    site = Site()
    names = [f"k{number}" for number in range(NODES)]
    for number, name in enumerate(names):
        site.start_node(name, "kassa", seed=number + 1)
    site.start_node("watcher", "kassa", seed=NODES + 1)
    site.network.run(20.0)
    before = len(_endpoint_messages(site))
    for number, name in enumerate(names):
        site.network.kill(name)
        site.start_node(name, "kassa", NodeMemory(incarnation=2), seed=NODES + number)
        site.network.run(RESTART_SECONDS / NODES)
    site.network.run(5.0)
    messages = _endpoint_messages(site)[before:]
    unpacked = [unpack_endpoints(message).unwrap() for message in messages]
    told = {each.node for changed in unpacked for each in changed.endpoints}
    assert set(names) <= told
    assert len(messages) <= MAX_MESSAGES


def _endpoint_messages(site: Site) -> list[EndpointsPacked]:
    received = site.network.processes["watcher"].received
    return [message for message in received if isinstance(message, EndpointsPacked)]
