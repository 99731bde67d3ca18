"""How a stand-in back end behaves: its bounds, its costs and what it reports.

All of it may be changed while the process runs, through its control endpoint.
"""

from __future__ import annotations

from typing import Literal

import msgspec

ReportMode = Literal["honest", "lagging", "lying"]


class Behaviour(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds, costs and reports of a back end; times in milliseconds.

    ``work_milliseconds`` is the time of one run when warm.  Cold, it is
    ``cold_factor`` times as much, falling to 1 over ``warm_up_milliseconds``.
    ``queue_limit`` requests wait for a slot; further ones are shed.
    ``report_mode`` "lagging" reports what was true ``report_lag_milliseconds``
    ago; "lying" reports ``false_load`` and ``false_health`` whatever is true.
    ``cut_answers`` of all answers (a share) break off in the middle.
    """

    slots: int = 20
    connections: int = 130
    connect_milliseconds: float = 1.0
    work_milliseconds: float = 5.0
    cold_factor: float = 1.0
    warm_up_milliseconds: float = 0.0
    queue_limit: int = 20
    shedding: bool = False
    draining: bool = False
    answer_bytes: int = 0
    report_mode: ReportMode = "honest"
    report_lag_milliseconds: float = 0.0
    false_load: float = 0.0
    false_health: bool = True
    cut_answers: float = 0.0


class BehaviourChange(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """New values for some fields of a behaviour, as the control endpoint takes them."""

    slots: int | None = None
    connections: int | None = None
    connect_milliseconds: float | None = None
    work_milliseconds: float | None = None
    cold_factor: float | None = None
    warm_up_milliseconds: float | None = None
    queue_limit: int | None = None
    shedding: bool | None = None
    draining: bool | None = None
    answer_bytes: int | None = None
    report_mode: ReportMode | None = None
    report_lag_milliseconds: float | None = None
    false_load: float | None = None
    false_health: bool | None = None
    cut_answers: float | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """What the load endpoint answers."""

    running: int
    waiting: int
    slots: int
    utilization: float
    healthy: bool


def changed(behaviour: Behaviour, change: BehaviourChange) -> Behaviour:
    """Give the behaviour with the named fields replaced."""
    given = {
        name: value
        for name in change.__struct_fields__
        if (value := getattr(change, name)) is not None
    }
    return msgspec.structs.replace(behaviour, **given)


def work_seconds(behaviour: Behaviour, age_seconds: float) -> float:
    """Give the time of one run on a back end that started so long ago."""
    warm = behaviour.work_milliseconds / 1_000
    warm_up = behaviour.warm_up_milliseconds / 1_000
    if warm_up <= 0 or age_seconds >= warm_up:
        return warm
    remaining = 1 - age_seconds / warm_up
    return warm * (1 + (behaviour.cold_factor - 1) * remaining)
