"""The kinds of faults, and how often they come."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Fault(Enum):
    """The kinds of faults."""

    CRASH_REPLICA = "a replica dies and restarts"
    CRASH_ALL_REPLICAS = "all replicas die at once"
    CRASH_RELAY = "a relay dies and restarts"
    CRASH_ALL_RELAYS = "all relays die at once"
    CRASH_NODE = "a node dies and restarts"
    CRASH_ALL_NODES = "all nodes die at once"
    LOSE_NODE_MEMORY = "a node restarts without what its disk held"
    CRASH_OPERATOR = "an operator's answers are lost and it starts anew"
    FREEZE_REPLICA = "a replica stands still in silence"
    FREEZE_RELAY = "a relay stands still in silence"
    FREEZE_NODE = "a node stands still in silence"
    ISOLATE_REPLICA = "a replica is cut off in silence"
    ISOLATE_LEADER = "the leader is cut off from the other replicas in silence"
    ISOLATE_RELAY = "a relay is cut off in silence"
    SEPARATE_RELAY_FROM_REPLICAS = "a relay reaches its nodes but no replica"
    ISOLATE_NODE = "a node is cut off in silence"
    CUT_ONE_WAY = "nothing passes from one process to another"
    RESET_LINKS = "links break"
    SLOW_NETWORK = "everything takes long and overtakes"
    JUMP_CLOCK = "a clock jumps ahead"
    REFUSE_DISK = "a disk refuses to write"
    SLOW_DISK = "a disk takes long to sync"
    CRASH_FLEET = "all relays and nodes die at once"
    ISOLATE_ZONE = "a zone is cut off in silence"
    LOSE_REPLICA = "a replica loses its disk and is replaced"
    LOSE_SECOND_REPLICA = "a replica is replaced, and right after another loses its disk"
    STOP_NODE = "a node is stopped as planned"
    SUSPEND_REPLICA = "a replica's machine is suspended"
    SUSPEND_LEADER = "the leader's machine is suspended"
    SUSPEND_RELAY = "a relay's machine is suspended"
    SUSPEND_NODE = "a node's machine is suspended"


@dataclass(frozen=True)
class FaultPlan:
    """Which faults come, how often and for how long (virtual seconds)."""

    kinds: tuple[Fault, ...]
    mean_gap_seconds: float
    max_fault_seconds: float
    repeat_share: float = 0.0
    """Share of faults that come again at the moment they end."""
