"""Named mixes of faults, load and cluster shape."""

from __future__ import annotations

from dataclasses import dataclass

from peppershore_lab.simulator.cluster import ClusterShape
from peppershore_lab.simulator.fault_kinds import Fault, FaultPlan

CONTROL_FAULTS = (
    Fault.CRASH_REPLICA,
    Fault.CRASH_ALL_REPLICAS,
    Fault.FREEZE_REPLICA,
    Fault.ISOLATE_REPLICA,
    Fault.ISOLATE_LEADER,
    Fault.CUT_ONE_WAY,
    Fault.RESET_LINKS,
    Fault.CRASH_OPERATOR,
    Fault.REFUSE_DISK,
)
DISTRIBUTION_FAULTS = (
    Fault.CRASH_RELAY,
    Fault.CRASH_ALL_RELAYS,
    Fault.CRASH_NODE,
    Fault.CRASH_ALL_NODES,
    Fault.LOSE_NODE_MEMORY,
    Fault.FREEZE_RELAY,
    Fault.FREEZE_NODE,
    Fault.ISOLATE_RELAY,
    Fault.SEPARATE_RELAY_FROM_REPLICAS,
    Fault.ISOLATE_NODE,
    Fault.CUT_ONE_WAY,
    Fault.RESET_LINKS,
    Fault.JUMP_CLOCK,
    Fault.REFUSE_DISK,
)


@dataclass(frozen=True)
class Profile:
    """One way to stress the cluster; times in virtual seconds."""

    name: str
    summary: str
    shape: ClusterShape
    faults: FaultPlan
    fault_seconds: float = 8.0
    convergence_bound_seconds: float = 40.0


PROFILES = (
    Profile(
        "mixed",
        "every fault, one after the other and together",
        ClusterShape(),
        FaultPlan(tuple(Fault), 0.5, 4.0),
    ),
    Profile(
        "control",
        "replicas die, freeze and are cut off while operators race",
        ClusterShape(operators=3, nodes=2, think_seconds=0.2),
        FaultPlan(CONTROL_FAULTS, 0.4, 3.0),
    ),
    Profile(
        "distribution",
        "relays and nodes die, freeze and are cut off while versions flow",
        ClusterShape(nodes=6, think_seconds=0.2),
        FaultPlan(DISTRIBUTION_FAULTS, 0.3, 4.0),
    ),
    Profile(
        "memory",
        "nodes forget what they held while relays are cut off from the replicas",
        ClusterShape(relays=3, nodes=6, think_seconds=0.1),
        FaultPlan(
            (
                Fault.LOSE_NODE_MEMORY,
                Fault.CRASH_ALL_NODES,
                Fault.SEPARATE_RELAY_FROM_REPLICAS,
                Fault.ISOLATE_LEADER,
                Fault.FREEZE_RELAY,
            ),
            0.2,
            3.0,
        ),
    ),
    Profile(
        "five",
        "five replicas, two of them lost at a time",
        ClusterShape(replicas=5, operators=3, nodes=2, think_seconds=0.3),
        FaultPlan(CONTROL_FAULTS, 0.3, 3.0),
        fault_seconds=6.0,
    ),
)


def profile_named(name: str) -> Profile | None:
    """Give the profile of that name."""
    return next((profile for profile in PROFILES if profile.name == name), None)
