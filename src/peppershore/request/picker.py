"""Which back end takes a call: power of two choices, the nearest zone first.

Another zone's goes before it where that is worth the way.

``benchmarks/pickers.py`` compares this choice with others on skewed, cold,
failing and lying back ends; the figures are in ``docs/design/calls.md``.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import msgspec

from peppershore.request.endpoint_state import EndpointState


class RandomSource(Protocol):
    """The seeded generator that a core is given."""

    def below(self, limit: float) -> float:
        """Give a number in [0, limit)."""


class Preference(msgspec.Struct, frozen=True):
    """What one call asks of its back end.

    Back ends in ``zone`` go first; others take what does not fit there if
    ``spill_over``.  ``excluded`` names the nodes that failed this call before;
    they are taken only when nobody else is there.  A back end of another zone is taken
    before one in ``zone`` if it costs less by more than ``crossing_cost``.
    """

    zone: str
    spill_over: bool
    excluded: frozenset[str]
    crossing_cost: float = math.inf


Choice = Callable[[Sequence[EndpointState], RandomSource, float], EndpointState]
"""Chooses among candidates, at least one, by what was seen until now (seconds)."""


def pick(
    states: Iterable[EndpointState],
    preference: Preference,
    random: RandomSource,
    now: float,
    choose: Choice,
) -> EndpointState | None:
    """Give the back end for one call, or None if none has room now."""
    usable = [state for state in states if state.takes_a_call(now)]
    excluded = preference.excluded
    fresh = [state for state in usable if state.endpoint.node not in excluded]
    willing = [state for state in fresh if not state.sheds(now)]
    for candidates in (willing, fresh, usable):
        chosen = _of_zones(candidates, preference, random, now, choose)
        if chosen is not None:
            return chosen
    return None


def _of_zones(
    candidates: Sequence[EndpointState],
    preference: Preference,
    random: RandomSource,
    now: float,
    choose: Choice,
) -> EndpointState | None:
    """Choose in the own zone, unless another zone's costs less by more than the way."""
    near = [each for each in candidates if each.endpoint.zone == preference.zone]
    far = [each for each in candidates if each.endpoint.zone != preference.zone]
    nearest = choose(near, random, now) if near else None
    if not far or not preference.spill_over:
        return nearest
    if nearest is None:
        return choose(far, random, now)
    if preference.crossing_cost == math.inf:
        return nearest
    farther = choose(far, random, now)
    is_worth_it = farther.cost(now) + preference.crossing_cost < nearest.cost(now)
    return farther if is_worth_it else nearest


def better_of_two(
    candidates: Sequence[EndpointState], random: RandomSource, now: float
) -> EndpointState:
    """Give the cheaper of two candidates drawn at random."""
    count = len(candidates)
    if count == 1:
        return candidates[0]
    first = int(random.below(count))
    second = (first + 1 + int(random.below(count - 1))) % count
    one, other = candidates[first], candidates[second]
    return one if one.cost(now) <= other.cost(now) else other
