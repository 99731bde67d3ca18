"""Which back end takes a call: power of two choices within the nearest zone.

``benchmarks/pickers.py`` compares this choice with others on skewed, cold,
failing and lying back ends; the figures are in ``docs/design/calls.md``.
"""

from __future__ import annotations

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
    they are taken only when nobody else is there.
    """

    zone: str
    spill_over: bool
    excluded: frozenset[str]


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
    usable = [state for state in states if state.free(now) and not state.ejected(now)]
    excluded = preference.excluded
    fresh = [state for state in usable if state.endpoint.node not in excluded]
    willing = [state for state in fresh if not state.sheds(now)]
    for candidates in (willing, fresh, usable):
        near = [each for each in candidates if each.endpoint.zone == preference.zone]
        if near:
            return choose(near, random, now)
        if candidates and preference.spill_over:
            return choose(candidates, random, now)
    return None


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
