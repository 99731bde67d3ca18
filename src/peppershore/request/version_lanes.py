"""Which back ends a call may go to while its service's software is rolled out.

Each call is drawn once, whatever becomes of its attempts: the part of the roll-out goes
to back ends of the new version, all others to the others.  A call of the old ones never
goes over to a new one for want of room, so that what a bad version gets is bounded by
the share; the other way it may, until all calls are the new version's.
"""

from __future__ import annotations

import math
from typing import Literal, TypeVar

import xxhash

from peppershore.request.picker import RandomSource
from peppershore.version.model import ServiceSettings
from peppershore.version.rollout import ALL_CALLS, RUNNING

Lane = Literal["any", "new", "old"]
LANES: tuple[Lane, ...] = ("any", "new", "old")
State = TypeVar("State")

SUBSET_BELOW_SHARE = ALL_CALLS // 2
"""Below this share the new version's calls go to few of its back ends: what is bad only
under load shows there, and costs the fewest callers."""

MIN_SUBSET = 3
"""With fewer, one slow or failing machine would speak for the version."""

SUBSET_HEADROOM = 2.0
"""So many times the back ends that the share alone would need take it: the new version
has a load like that of the old one, and room for what comes at the same time."""


def draw_lane(settings: ServiceSettings, random: RandomSource) -> Lane:
    """Draw the version for one call."""
    if settings.rollout_state != RUNNING:
        return "any"
    if random.below(float(ALL_CALLS)) < settings.rollout_share:
        return "new"
    return "old"


def group_by_version(
    states: dict[str, State], versions: dict[str, str], settings: ServiceSettings
) -> dict[Lane, tuple[dict[str, State], ...]]:
    """Give for each lane the back ends to try, one group after the other.

    ``versions`` names the software of each.
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
) -> dict[Lane, tuple[dict[str, State], ...]]:
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
    """Give a node's place among those of its service: by chance, the same everywhere.

    By their names, the first ones would be of one zone.
    """
    return xxhash.xxh3_64_intdigest(node.encode())
