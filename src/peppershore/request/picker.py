"""Which back end takes a call: power of two choices, the nearest zone first.

Another zone's goes before it where that is worth the way.

``benchmarks/pickers.py`` compares this choice with others on skewed, cold,
failing and lying back ends; the figures are in ``docs/design/calls.md``.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import NewType, Protocol

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
    before one in ``zone`` if it costs less by more than ``crossing_cost``, and before all
    of them if the call ``prefers_far``.  The one beside this node, ``home``, goes first
    while it has a slot free.
    """

    zone: str
    spill_over: bool
    excluded: frozenset[str]
    crossing_cost: float = math.inf
    prefers_far: bool = False
    home: str = ""


ByZone = NewType("ByZone", tuple[list[EndpointState], list[EndpointState]])
"""Back ends of the own zone and of the others."""

NEAR, FAR = 0, 1
"""Their places in ``ByZone``."""

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
    willing, shedding, failed = _with_room(states, preference, now)
    home = _local_with_free_slot(willing[NEAR], preference)
    if home is not None:
        return home
    chosen = _choose_by_zone(willing, preference, random, now, choose)
    if chosen is None and (shedding[NEAR] or shedding[FAR]):
        fresh = _merged(willing, shedding)
        chosen = _choose_by_zone(fresh, preference, random, now, choose)
    if chosen is None and (failed[NEAR] or failed[FAR]):
        usable = _merged(_merged(willing, shedding), failed)
        chosen = _choose_by_zone(usable, preference, random, now, choose)
    return chosen


def _local_with_free_slot(
    near: list[EndpointState], preference: Preference
) -> EndpointState | None:
    """Give the back end beside this node, if a call there would run at once.

    What is known of it is never old, and the call takes no link and one node's work.
    """
    if not preference.home or preference.prefers_far:
        return None
    for state in near:
        if state.endpoint.node == preference.home:
            return state if state.has_free_slot else None
    return None


def _with_room(
    states: Iterable[EndpointState], preference: Preference, now: float
) -> tuple[ByZone, ByZone, ByZone]:
    """Give the willing ones, those that shed, and those that failed this call before.

    One pass that looks at fields: it runs once a call over all back ends of a service.
    """
    zone, excluded = preference.zone, preference.excluded
    willing, shedding, failed = ByZone(([], [])), ByZone(([], [])), ByZone(([], []))
    for state in states:
        if state.in_flight >= state.limit or now < state.ejected_until:
            continue
        if state.ramp_seconds > 0.0 and not state.free(now):
            continue
        place = NEAR if state.endpoint.zone == zone else FAR
        if excluded and state.endpoint.node in excluded:
            failed[place].append(state)
        elif now < state.passed_over_until:
            shedding[place].append(state)
        else:
            willing[place].append(state)
    return willing, shedding, failed


def _merged(one: ByZone, other: ByZone) -> ByZone:
    return ByZone((one[NEAR] + other[NEAR], one[FAR] + other[FAR]))


def _choose_by_zone(
    candidates: ByZone,
    preference: Preference,
    random: RandomSource,
    now: float,
    choose: Choice,
) -> EndpointState | None:
    """Choose in the own zone, unless another zone's costs less by more than the way."""
    near, far = candidates
    if preference.prefers_far and preference.spill_over and far:
        return choose(far, random, now)
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
    one, other = _two_of(candidates, random)
    if one is other:
        return one
    return one if one.cost(now) <= other.cost(now) else other


def wider_link_of_two(
    candidates: Sequence[EndpointState], random: RandomSource, now: float
) -> EndpointState:
    """Give that of two drawn at random whose link is free sooner; else the cheaper one."""
    one, other = _two_of(candidates, random)
    first = (one.link_wait(now), one.cost(now))
    return one if first <= (other.link_wait(now), other.cost(now)) else other


def _two_of(
    candidates: Sequence[EndpointState], random: RandomSource
) -> tuple[EndpointState, EndpointState]:
    """Draw two candidates; twice the same where there is only one."""
    count = len(candidates)
    if count == 1:
        return candidates[0], candidates[0]
    first = int(random.below(count))
    second = (first + 1 + int(random.below(count - 1))) % count
    return candidates[first], candidates[second]
