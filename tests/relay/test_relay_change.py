"""A node that changes its relay beside an update is confirmed all the same.

Seen in the log of nodes: an age of the configuration of 10 s, though the relay in use was
heard each half second.  The update of the relay that was left had come between the hello
to the new one and its answer; the new one then offered the same again, was told that it
is held, and had nothing more to say that the node would have taken for agreement.
"""

from __future__ import annotations

from tests.relay.site import Site

from peppershore.process.events import StopRequested
from peppershore.version.model import Overrides, SetOverrides

STEP_SECONDS = 0.0005
STEPS = 500
"""A node has changed its relay within these steps."""
CALM_SECONDS = 4.0
CONFIRMED_SECONDS = 1.5
"""A relay asks twice a second for confirmations and tells of them twice a second."""


def test_an_update_beside_a_change_of_relay_leaves_the_node_confirmed() -> None:
    ages = [_age_after(step * STEP_SECONDS) for step in range(STEPS)]
    late = [step for step, age in enumerate(ages) if age >= CONFIRMED_SECONDS]
    assert late == []


def _age_after(wait_seconds: float) -> float:
    """Give the age of what a node holds, long after an edit beside its move."""
    site = Site(freshness_milliseconds=500)
    node = site.start_node("n", "kassa")
    site.network.run(2.0)
    site.network.give(site.relay_of("n"), StopRequested())
    site.network.run(wait_seconds)
    site.edit((SetOverrides("/kassa", Overrides(timeout_milliseconds=4_321)),))
    site.network.run(CALM_SECONDS)
    return site.network.now - node.confirmed_at
