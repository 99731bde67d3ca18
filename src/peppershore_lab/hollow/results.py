"""What a scale run measured, as written to results/*.json."""

from __future__ import annotations

import msgspec

from peppershore_lab.hollow.baseline import BaselineResult
from peppershore_lab.hollow.measure import Convergence, Distribution
from peppershore_lab.hollow.plan import ScalePlan
from peppershore_lab.hollow.protocol import Traffic


class ResultValue(msgspec.Struct, frozen=True, kw_only=True):
    """Base of measured values."""


class RoleCost(ResultValue, frozen=True, kw_only=True):
    """CPU of a role's processes as a share of one core over a phase, and their memory."""

    mean_core_share: float
    highest_core_share: float
    mean_resident_bytes: float
    highest_resident_bytes: int


class PhaseCost(ResultValue, frozen=True, kw_only=True):
    """What a phase cost each role; bytes are on the links of hollow nodes."""

    seconds: float
    control: RoleCost
    relay: RoleCost
    node_core_share: float
    node_resident_bytes: float
    received_bytes_per_node_second: float
    sent_bytes_per_node_second: float
    traffic: tuple[Traffic, ...]


class ConvergencePhase(ResultValue, frozen=True, kw_only=True):
    """A phase with changes: how soon they were in force and what they cost in bytes.

    ``ideal_bytes`` is the sum over changes of the compressed changed resources
    times the nodes that need them.
    """

    name: str
    changes: int
    changes_per_second: float
    convergence: Convergence
    cost: PhaseCost
    update_bytes: int
    update_messages: int
    ideal_bytes: int
    expected_updates: int


class RecoveryPhase(ResultValue, frozen=True, kw_only=True):
    """Nodes that lost their links or were restarted: until each was current again.

    ``cost`` is of the time until then; None where other things went on meanwhile.
    """

    name: str
    nodes: int
    recovered: int
    milliseconds: Distribution
    changes_missed: int
    bytes_per_node: float
    relay_peak_resident_bytes: int
    cost: PhaseCost | None = None


class ScaleRun(ResultValue, frozen=True, kw_only=True):
    """One run at one size."""

    plan: ScalePlan
    replicas_before_nodes: RoleCost
    relays_before_nodes: RoleCost
    start: RecoveryPhase
    idle: PhaseCost
    phases: tuple[ConvergencePhase, ...]
    recoveries: tuple[RecoveryPhase, ...]
    baseline: BaselineResult | None
    steps_back: int
    machine_load_before: float
    machine_load_after: float
    cores: int


class ScaleResults(ResultValue, frozen=True, kw_only=True):
    """All sizes of one invocation."""

    command: str
    runs: tuple[ScaleRun, ...]
