"""Confirmations continue when an update arrives while a node changes its relay.

Guards against a failure in which the confirmation of a node's configuration became 10 s
old although its relay sent a heartbeat every half second. An update from the old relay
arrived after the hello to the new relay but before its answer. The new relay then
offered the same update, the node reported that it already held it, and the new relay
sent nothing further that the node accepted as confirmation.
"""

from __future__ import annotations

from tests.relay.site import Site

from peppershore.process.events import StopRequested
from peppershore.version.model import Overrides, SetOverrides

STEP_SECONDS = 0.0005
STEPS = 500
"""A node completes a change of relay within this many steps."""
CALM_SECONDS = 4.0
CONFIRMED_SECONDS = 1.5
"""Relays request confirmations and send heartbeats at least twice a second."""


def test_a_node_that_is_updated_while_changing_relay_stays_confirmed() -> None:
    ages = [_age_after(step * STEP_SECONDS) for step in range(STEPS)]
    late = [step for step, age in enumerate(ages) if age >= CONFIRMED_SECONDS]
    assert late == []


def _age_after(wait_seconds: float) -> float:
    """Return the age of a node's confirmation, in seconds, well after its move.

    An edit is accepted ``wait_seconds`` after its relay is told to stop.
    """
    site = Site(freshness_milliseconds=500)
    node = site.start_node("n", "kassa")
    site.network.run(2.0)
    site.network.give(site.relay_of("n"), StopRequested())
    site.network.run(wait_seconds)
    site.edit((SetOverrides("/kassa", Overrides(timeout_milliseconds=4_321)),))
    site.network.run(CALM_SECONDS)
    return site.network.now - node.confirmed_at
