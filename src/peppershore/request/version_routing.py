"""Version routing: which back ends a call may go to during a roll-out.

The version of each call is chosen once at random, whatever becomes of its attempts: the
roll-out's share of calls goes to back ends of the new version, all others to the rest. A
call of the old version never moves to the new version for lack of capacity, so that the
calls that a faulty version gets are bounded by the share. A call of the new version may
move to the old one, until all calls are the new version's.
"""

from __future__ import annotations

import math
from typing import Literal, TypeVar

import xxhash

from peppershore.request.picker import RandomSource
from peppershore.version.model import ServiceSettings
from peppershore.version.rollout import ALL_CALLS, RUNNING

VersionGroup = Literal["any", "new", "old"]
LANES: tuple[VersionGroup, ...] = ("any", "new", "old")
State = TypeVar("State")

SUBSET_BELOW_SHARE = ALL_CALLS // 2
"""Below this share, the calls of the new version go to a subset of its back ends: a fault
that shows only under load is found there, at the cost of the fewest callers."""

MIN_SUBSET = 3
"""Minimum size of the subset: with fewer back ends, one slow or failing machine would
decide how the version is rated."""

SUBSET_HEADROOM = 2.0
"""The subset has this many times the back ends that the share alone would need: the new
version gets a load like that of the old one, and has room for concurrent calls."""


def choose_version_group(settings: ServiceSettings, random: RandomSource) -> VersionGroup:
    """Choose at random whether one call goes to the new or the old version.

    Return "any" if no roll-out is in progress.
    """
    if settings.rollout_state != RUNNING:
        return "any"
    if random.below(float(ALL_CALLS)) < settings.rollout_share:
        return "new"
    return "old"


def group_by_version(
    states: dict[str, State], versions: dict[str, str], settings: ServiceSettings
) -> dict[VersionGroup, tuple[dict[str, State], ...]]:
    """Return for each version group the back ends to try, one set after the other.

    ``versions`` is the software version of each node.
    """
    if not settings.rollout_state:
        return dict.fromkeys(LANES, (states,))
    target = settings.rollout_version
    new = {node: each for node, each in states.items() if versions[node] == target}
    old = {node: each for node, each in states.items() if versions[node] != target}
    match settings.rollout_state:
        case "completed":
            return dict.fromkeys(LANES, (new or old,))
        case "rolled_back":
            return dict.fromkeys(LANES, (old,))
        case _:
            return _while_running(new, old, settings.rollout_share)


def _while_running(
    new: dict[str, State], old: dict[str, State], share: int
) -> dict[VersionGroup, tuple[dict[str, State], ...]]:
    if share >= ALL_CALLS:
        return dict.fromkeys(LANES, (new or old,))
    few = _subset_of(new, share)
    return {"any": (old,), "new": (few, old), "old": (old,)}


def _subset_of(new: dict[str, State], share: int) -> dict[str, State]:
    if share >= SUBSET_BELOW_SHARE:
        return new
    wanted = max(MIN_SUBSET, math.ceil(len(new) * share / ALL_CALLS * SUBSET_HEADROOM))
    return {node: new[node] for node in sorted(new, key=_place)[:wanted]}


def _place(node: str) -> int:
    """Return a node's sort key within its service: a hash, the same in all processes.

    If they were sorted by name, the first ones would all be in one zone.
    """
    return xxhash.xxh3_64_intdigest(node.encode())
