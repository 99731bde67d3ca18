"""Choice of the back end for a call: power of two choices, local zone first.

A back end of another zone is preferred if its cost is lower by more than the crossing
costs.

``benchmarks/pickers.py`` compares this choice with others on back ends that are skewed, not
yet warmed up, failing, or reporting false loads; the figures are in
``docs/design/calls.md``.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import NewType, Protocol

import msgspec

from peppershore.request.endpoint_state import EndpointState


class RandomSource(Protocol):
    """The seeded random generator that the caller provides."""

    def below(self, limit: float) -> float:
        """Return a random number in [0, limit)."""


class Preference(msgspec.Struct, frozen=True):
    """Routing preferences of one call.

    Back ends in ``zone`` are preferred; those of other zones take what does not fit there
    if ``spill_over`` is set. ``excluded`` names the nodes that failed this call before;
    they are used only if there is no other. A back end of another zone is preferred to one
    in ``zone`` if its cost is lower by more than ``crossing_cost``, and to all of them if
    ``prefers_far`` is set. The back end of this node, ``home``, is preferred while it has a
    free slot.
    """

    zone: str
    spill_over: bool
    excluded: frozenset[str]
    crossing_cost: float = math.inf
    prefers_far: bool = False
    home: str = ""


ByZone = NewType("ByZone", tuple[list[EndpointState], list[EndpointState]])
"""Back ends of the local zone and of other zones."""

NEAR, FAR = 0, 1
"""Indices in ``ByZone`` of the local zone and of the other zones."""

Choice = Callable[[Sequence[EndpointState], RandomSource, float], EndpointState]
"""Chooses among one or more candidates, by what was observed until now (seconds)."""


def pick(
    states: Iterable[EndpointState],
    preference: Preference,
    random: RandomSource,
    now: float,
    choose: Choice,
) -> EndpointState | None:
    """Return the back end for one call, or None if none has room now."""
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
    """Return the local back end if it has a free slot, else None.

    What is known of it is always current, and a call there uses no link and only one node.
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
    """Return the back ends that can hold one more call, in three groups.

    The first have shown no reason to avoid them, the second refused for load, or were full
    or slow, a moment ago, and the third failed this call before.

    This is a single pass that reads fields directly, because it runs once a call over all
    back ends of a service.
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
    """Choose in the local zone, unless it has no candidate or another zone is better.

    Another zone is better if its back end costs less by more than the crossing cost, or if
    ``prefers_far`` is set. Without ``spill_over``, no other zone is used.
    """
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
    """Return the one of two random candidates with the lower ``EndpointState.cost``."""
    one, other = _two_of(candidates, random)
    if one is other:
        return one
    return one if one.cost(now) <= other.cost(now) else other


def wider_link_of_two(
    candidates: Sequence[EndpointState], random: RandomSource, now: float
) -> EndpointState:
    """Return the one of two random candidates whose link is free sooner.

    If both links are free at the same time, return the one with the lower
    ``EndpointState.cost``: the one expected to answer sooner, or with less work in flight.
    """
    one, other = _two_of(candidates, random)
    first = (one.link_wait(now), one.cost(now))
    return one if first <= (other.link_wait(now), other.cost(now)) else other


def _two_of(
    candidates: Sequence[EndpointState], random: RandomSource
) -> tuple[EndpointState, EndpointState]:
    """Choose two candidates at random; the same one twice if there is only one."""
    count = len(candidates)
    if count == 1:
        return candidates[0], candidates[0]
    first = int(random.below(count))
    second = (first + 1 + int(random.below(count - 1))) % count
    return candidates[first], candidates[second]
