"""A caller's plan: which calls, at what rate over time, for how long."""

from __future__ import annotations

from typing import Literal

import msgspec

Arrivals = Literal["poisson", "even"]


class PlanValue(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the plan's values: unknown keys are refused."""


class CallKind(PlanValue, frozen=True, kw_only=True):
    """One kind of call and its share of all calls.

    ``keyed`` gives each call an idempotency key; a keyed call whose outcome is
    unknown is sent again with the same key, at most ``resends`` times, after
    ``resend_after_milliseconds``.  ``deadline_milliseconds`` 0: none is sent.
    ``abandon_share`` of the calls are broken off by the caller in mid-call.
    """

    name: str
    method: str = "GET"
    path: str
    share: float = 1.0
    repeatable: bool = True
    keyed: bool = False
    resends: int = 0
    resend_after_milliseconds: float = 100.0
    deadline_milliseconds: int = 0
    abandon_share: float = 0.0
    body_bytes: int = 0
    service: str = ""


class RatePoint(PlanValue, frozen=True, kw_only=True):
    """From ``at_seconds`` on, the rate moves linearly to the next point's."""

    at_seconds: float
    calls_per_second: float


class CallerPlan(PlanValue, frozen=True, kw_only=True):
    """All a caller does; ``nodes`` are addresses ("IP:port"), used in turn."""

    caller: str
    nodes: tuple[str, ...]
    kinds: tuple[CallKind, ...]
    rate: tuple[RatePoint, ...]
    duration_seconds: float
    connections: int = 16
    arrivals: Arrivals = "poisson"
    give_up_seconds: float = 15.0
    bearer_token: str = ""
    seed: int = 1
    journal: str
    summary: str


def rate_at(points: tuple[RatePoint, ...], elapsed_seconds: float) -> float:
    """Give the calls a second that a plan asks for at one moment."""
    earlier = points[0]
    for later in points:
        if later.at_seconds > elapsed_seconds:
            return _between(earlier, later, elapsed_seconds)
        earlier = later
    return earlier.calls_per_second


def _between(earlier: RatePoint, later: RatePoint, elapsed_seconds: float) -> float:
    span = later.at_seconds - earlier.at_seconds
    if span <= 0 or elapsed_seconds <= earlier.at_seconds:
        return earlier.calls_per_second
    part = (elapsed_seconds - earlier.at_seconds) / span
    change = later.calls_per_second - earlier.calls_per_second
    return earlier.calls_per_second + change * part
