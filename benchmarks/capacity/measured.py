"""Reads the measured slopes from results/."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from benchmarks.batching_curve import BatchingCurve
from benchmarks.convergence_today import TodayResults
from benchmarks.resolution_slope import ChangeCost, SlopeReport
from benchmarks.slopes_claims import ClaimLoad, ClaimSlopes, TableCost
from benchmarks.slopes_command import CommandSlopes
from benchmarks.slopes_control import ControlSlopes
from benchmarks.slopes_node import NodeSlopes
from benchmarks.slopes_relay import RelaySlopes
from peppershore_lab.hollow.results import ScaleResults, ScaleRun

RESULTS = Path(__file__).parents[2] / "results"

_Result = TypeVar("_Result")


class CallPathCost(msgspec.Struct, frozen=True):
    """One path of ``benchmarks.call_path``; times in milliseconds."""

    calls_per_second: float
    p50_ms: float
    p99_ms: float
    processor_ms_per_call: float


class CallPathResult(msgspec.Struct, frozen=True):
    """What is needed of ``results/call_path.json``."""

    at_122_calls_per_second: dict[str, CallPathCost]
    added_at_122_calls_per_second: dict[str, float]
    saturated_16_connections: dict[str, CallPathCost]
    resident_megabytes: dict[str, float]
    load_average_at_end: float


class Measured(msgspec.Struct, frozen=True):
    """Everything that the page is worked out from."""

    resolution: SlopeReport
    relay: RelaySlopes
    control: ControlSlopes
    node: NodeSlopes
    claims: ClaimSlopes
    command: CommandSlopes
    calls: CallPathResult
    scale: ScaleRun
    smaller_scale: ScaleRun | None
    today: TodayResults | None
    batching: BatchingCurve

    @property
    def claims_at_best(self) -> ClaimLoad:
        """The load with the most calls a second."""
        return max(self.claims.loads, key=lambda load: load.calls_per_second)

    @property
    def claims_one_by_one(self) -> ClaimLoad:
        """The load with one call at a time."""
        return min(self.claims.loads, key=lambda load: load.concurrency)

    def claim_table(self, with_answers: bool) -> TableCost:
        """Give the largest table measured."""
        tables = [t for t in self.claims.tables if bool(t.answer_bytes) == with_answers]
        return max(tables, key=lambda table: table.records)

    def resolution_of(self, change: str, all_zones: bool) -> ChangeCost:
        """Give a kind of change at the largest tree."""
        largest = max(cost.services for cost in self.resolution.changes)
        found = [
            cost
            for cost in self.resolution.changes
            if cost.change == change and cost.services == largest
        ]
        found.sort(key=lambda cost: cost.scopes_in_use)
        return found[-1 if all_zones else 0]


def read(name: str, kind: type[_Result]) -> _Result:
    """Read one result file."""
    return msgspec.json.decode((RESULTS / name).read_bytes(), type=kind)


def read_if_there(name: str, kind: type[_Result]) -> _Result | None:
    """Read one result file that may not have been measured yet."""
    return read(name, kind) if (RESULTS / name).exists() else None


def _last_run(results: ScaleResults | None) -> ScaleRun | None:
    return None if results is None else results.runs[-1]


def read_measured() -> Measured:
    """Read all result files."""
    return Measured(
        resolution=read("resolution_slope.json", SlopeReport),
        relay=read("slopes_relay.json", RelaySlopes),
        control=read("slopes_control.json", ControlSlopes),
        node=read("slopes_node.json", NodeSlopes),
        claims=read("slopes_claims.json", ClaimSlopes),
        command=read("slopes_command.json", CommandSlopes),
        calls=read("call_path.json", CallPathResult),
        scale=read("scale_run.json", ScaleResults).runs[-1],
        smaller_scale=_last_run(read_if_there("scale_run_3000.json", ScaleResults)),
        today=read_if_there("convergence_today.json", TodayResults),
        batching=read("batching_curve.json", BatchingCurve),
    )
