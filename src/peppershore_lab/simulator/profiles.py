"""Named mixes of faults, load and cluster shape."""

from __future__ import annotations

from dataclasses import dataclass

from peppershore_lab.simulator.cluster import ClusterShape
from peppershore_lab.simulator.fault_kinds import Fault, FaultPlan
from peppershore_lab.simulator.payout_site import PayoutShape

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
LOSS_FAULTS = (
    Fault.LOSE_REPLICA,
    Fault.LOSE_SECOND_REPLICA,
    Fault.CRASH_REPLICA,
    Fault.FREEZE_REPLICA,
    Fault.ISOLATE_REPLICA,
    Fault.ISOLATE_LEADER,
    Fault.RESET_LINKS,
    Fault.SLOW_DISK,
)
CLAIMS_FAULTS = (
    Fault.CRASH_REPLICA,
    Fault.CRASH_ALL_REPLICAS,
    Fault.FREEZE_REPLICA,
    Fault.ISOLATE_REPLICA,
    Fault.ISOLATE_LEADER,
    Fault.CRASH_NODE,
    Fault.FREEZE_NODE,
    Fault.ISOLATE_NODE,
    Fault.CUT_ONE_WAY,
    Fault.RESET_LINKS,
    Fault.SLOW_NETWORK,
    Fault.JUMP_CLOCK,
    Fault.REFUSE_DISK,
    Fault.SLOW_DISK,
)
LATER_KINDS = (
    Fault.SLOW_DISK,
    Fault.CRASH_FLEET,
    Fault.ISOLATE_ZONE,
    Fault.LOSE_REPLICA,
    Fault.LOSE_SECOND_REPLICA,
    Fault.STOP_NODE,
)
"""Not in "mixed", so that its seeds stay what they were."""
SUSPENSIONS = (
    Fault.SUSPEND_REPLICA,
    Fault.SUSPEND_LEADER,
    Fault.SUSPEND_RELAY,
    Fault.SUSPEND_NODE,
)
"""Only in "suspended": the seeds of "mixed" and "everything" stay what they were."""


@dataclass(frozen=True)
class Profile:
    """One way to stress the cluster; times in virtual seconds."""

    name: str
    summary: str
    shape: ClusterShape
    faults: FaultPlan
    fault_seconds: float = 8.0
    convergence_bound_seconds: float = 40.0
    awaits_report: bool = False
    """Run on until the newest version is reported in force."""


@dataclass(frozen=True)
class PayoutProfile:
    """One way to stress a claims group and its nodes; times in virtual seconds."""

    name: str
    summary: str
    shape: PayoutShape
    faults: FaultPlan
    fault_seconds: float = 10.0
    convergence_bound_seconds: float = 20.0


PROFILES: tuple[Profile | PayoutProfile, ...] = (
    Profile(
        "mixed",
        "every fault, one after the other and together",
        ClusterShape(),
        FaultPlan(
            tuple(kind for kind in Fault if kind not in LATER_KINDS + SUSPENSIONS), 0.5, 4.0
        ),
    ),
    Profile(
        "everything",
        "every fault, alone, together and again at the moment it ends",
        ClusterShape(has_administrator=True),
        FaultPlan(
            tuple(kind for kind in Fault if kind not in SUSPENSIONS),
            0.3,
            4.0,
            repeat_share=0.3,
        ),
    ),
    Profile(
        "suspended",
        "machines are suspended for seconds while operators race and versions flow",
        ClusterShape(operators=3, think_seconds=0.1),
        FaultPlan((*SUSPENSIONS, Fault.RESET_LINKS), 0.4, 6.0),
    ),
    Profile(
        "suspended-leader",
        "the leader's machine is suspended while many operators read and write",
        ClusterShape(operators=8, nodes=2, think_seconds=0.05),
        FaultPlan((Fault.SUSPEND_LEADER, Fault.RESET_LINKS), 0.8, 3.0),
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
            8.0,
        ),
        fault_seconds=12.0,
    ),
    Profile(
        "five",
        "five replicas, two of them lost at a time",
        ClusterShape(replicas=5, operators=3, nodes=2, think_seconds=0.3),
        FaultPlan(CONTROL_FAULTS, 0.3, 3.0),
        fault_seconds=6.0,
    ),
    Profile(
        "losses",
        "disks of replicas are lost, and a second one right after the repair",
        ClusterShape(operators=3, nodes=2, has_administrator=True),
        FaultPlan(LOSS_FAULTS, 0.6, 2.0),
        fault_seconds=12.0,
    ),
    Profile(
        "losses-and-cuts",
        "a disk is lost while replicas are cut off one after the other",
        ClusterShape(operators=4, nodes=1, think_seconds=0.05, has_administrator=True),
        FaultPlan(
            (
                Fault.LOSE_REPLICA,
                Fault.LOSE_SECOND_REPLICA,
                Fault.ISOLATE_REPLICA,
                Fault.ISOLATE_LEADER,
                Fault.FREEZE_REPLICA,
            ),
            0.2,
            2.5,
        ),
        fault_seconds=10.0,
    ),
    Profile(
        "losses-of-five",
        "the same with five replicas",
        ClusterShape(replicas=5, operators=2, nodes=2, has_administrator=True),
        FaultPlan(LOSS_FAULTS, 0.5, 2.0, repeat_share=0.3),
        fault_seconds=8.0,
    ),
    Profile(
        "storm",
        "herds of relays and nodes die and come back at once, again and again",
        ClusterShape(relays=3, nodes=24, think_seconds=0.4),
        FaultPlan(
            (
                Fault.CRASH_FLEET,
                Fault.CRASH_ALL_NODES,
                Fault.CRASH_ALL_RELAYS,
                Fault.CRASH_RELAY,
                Fault.RESET_LINKS,
            ),
            0.6,
            1.5,
            repeat_share=0.5,
        ),
        fault_seconds=6.0,
    ),
    Profile(
        "outage",
        "the source is down for long, relays and nodes restart meanwhile",
        ClusterShape(relays=2, nodes=6, think_seconds=0.1),
        FaultPlan(
            (
                Fault.CRASH_ALL_REPLICAS,
                Fault.ISOLATE_LEADER,
                Fault.CRASH_RELAY,
                Fault.CRASH_NODE,
                Fault.LOSE_NODE_MEMORY,
                Fault.CRASH_FLEET,
                Fault.STOP_NODE,
            ),
            0.5,
            6.0,
            repeat_share=0.3,
        ),
        fault_seconds=12.0,
    ),
    Profile(
        "catch-up",
        "processes come back after hundreds of changes",
        ClusterShape(nodes=4, operators=4, think_seconds=0.02, snapshot_entries=100),
        FaultPlan(
            (
                Fault.CRASH_RELAY,
                Fault.CRASH_NODE,
                Fault.FREEZE_NODE,
                Fault.FREEZE_RELAY,
                Fault.ISOLATE_NODE,
                Fault.ISOLATE_RELAY,
                Fault.CRASH_REPLICA,
                Fault.ISOLATE_REPLICA,
            ),
            0.5,
            8.0,
        ),
        fault_seconds=8.0,
    ),
    Profile(
        "disks",
        "disks are slow and refuse writes while replicas die one by one and together",
        ClusterShape(operators=4, nodes=2, think_seconds=0.05),
        FaultPlan(
            (
                Fault.SLOW_DISK,
                Fault.SLOW_DISK,
                Fault.REFUSE_DISK,
                Fault.CRASH_REPLICA,
                Fault.CRASH_ALL_REPLICAS,
            ),
            0.3,
            2.0,
        ),
    ),
    Profile(
        "reports",
        "long enough for relays to settle, so that versions are reported in force",
        ClusterShape(nodes=6, think_seconds=0.6),
        FaultPlan(
            (
                Fault.CRASH_NODE,
                Fault.FREEZE_NODE,
                Fault.ISOLATE_NODE,
                Fault.ISOLATE_NODE,
                Fault.CUT_ONE_WAY,
                Fault.RESET_LINKS,
                Fault.CRASH_REPLICA,
                Fault.FREEZE_RELAY,
                Fault.CRASH_RELAY,
            ),
            2.0,
            12.0,
        ),
        fault_seconds=40.0,
        awaits_report=True,
    ),
    Profile(
        "silent-verifiers",
        "nodes stand still or are cut off for longer than any bound while keys rotate",
        ClusterShape(nodes=6, think_seconds=0.4),
        FaultPlan(
            (
                Fault.FREEZE_NODE,
                Fault.FREEZE_NODE,
                Fault.ISOLATE_NODE,
                Fault.CUT_ONE_WAY,
                Fault.CRASH_RELAY,
                Fault.SEPARATE_RELAY_FROM_REPLICAS,
                Fault.CRASH_REPLICA,
            ),
            2.0,
            150.0,
        ),
        fault_seconds=160.0,
    ),
    PayoutProfile(
        "payouts",
        "calls that may run once are sent again, late and elsewhere, while all fails",
        PayoutShape(),
        FaultPlan(CLAIMS_FAULTS, 0.4, 2.0, repeat_share=0.2),
    ),
    PayoutProfile(
        "payout-losses",
        "the same while disks of claims replicas are lost, two in a row",
        PayoutShape(mean_gap_seconds=0.05),
        FaultPlan((*LOSS_FAULTS, Fault.CRASH_NODE, Fault.FREEZE_NODE), 0.4, 2.0),
    ),
    Profile(
        "zones",
        "a zone with its relays and nodes is cut off from the rest",
        ClusterShape(relays=4, nodes=6, think_seconds=0.2),
        FaultPlan(
            (
                Fault.ISOLATE_ZONE,
                Fault.CRASH_RELAY,
                Fault.CRASH_NODE,
                Fault.ISOLATE_LEADER,
                Fault.SLOW_NETWORK,
            ),
            0.6,
            5.0,
            repeat_share=0.2,
        ),
    ),
)


def profile_named(name: str) -> Profile | PayoutProfile | None:
    """Give the profile of that name."""
    return next((profile for profile in PROFILES if profile.name == name), None)
