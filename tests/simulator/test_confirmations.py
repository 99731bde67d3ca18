"""What a node counts as confirmed is so: it refuses callers for good by it.

A node that refused a call with 404 went by a configuration without asking of which
moment it was confirmed, and that moment could not be trusted either.  Seen in the log:
ages of 10 s at nodes that heard their relay each half second.  And the other way round,
by these runs: nodes counted as confirmed at moments before which operators had been
answered what the nodes lacked.  Causes: the age told by a relay was taken as of its
arrival, so what a message waited on its way was lost; and a relay's word that it is
fresh confirmed what the node held also while the relay had more for it.
"""

from __future__ import annotations

import pytest

from peppershore.process.node.core import NodeCore
from peppershore_lab.simulator.cluster import Cluster
from peppershore_lab.simulator.faults import FaultInjector
from peppershore_lab.simulator.profiles import Profile, profile_named

LOOK_SECONDS = 0.05


@pytest.mark.parametrize(
    ("profile_name", "seed"),
    [
        ("distribution", 5),
        ("memory", 1),
        ("suspended", 1),
        ("outage", 1),
        ("control", 3),
        ("silent-verifiers", 1),
    ],
)
def test_a_node_lacks_nothing_answered_before_its_confirmation(
    profile_name: str, seed: int
) -> None:
    profile = profile_named(profile_name)
    assert isinstance(profile, Profile)
    cluster = Cluster(profile.shape, seed)
    FaultInjector(cluster, profile.faults)
    cluster.start()
    scheduler = cluster.scheduler
    while scheduler.now < profile.fault_seconds:
        scheduler.run_until(scheduler.now + LOOK_SECONDS)
        for node in cluster.nodes:
            if isinstance(node.core, NodeCore):
                cluster.answered.check_confirmed(node, scheduler.now)
