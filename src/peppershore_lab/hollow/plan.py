"""What one scale run does: its size, rates and durations."""

from __future__ import annotations

import msgspec

from peppershore_lab.hollow.layout import FleetLayout


class ScalePlan(msgspec.Struct, frozen=True, kw_only=True):
    """How long and how hard one run is."""

    layout: FleetLayout
    replicas: int = 5
    hollow_processes: int = 8
    changes_per_second: float = 1.62
    steady_seconds: float = 60.0
    idle_seconds: float = 15.0
    missed_changes: int = 300
    baseline_changes: int = 3
    batching_milliseconds: int = 0
    seed: int = 1
