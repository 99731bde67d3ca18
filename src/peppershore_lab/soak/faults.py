"""The faults of a soak, drawn from its seed: series that overlap, on all roles."""

from __future__ import annotations

from random import Random
from typing import Literal

import msgspec

Kind = Literal[
    "kill",
    "pause",
    "stop",
    "stop-twice",
    "reload",
    "wipe",
    "leave",
    "kill-hubs",
    "kill-all",
]

KINDS: tuple[tuple[Kind, float], ...] = (
    ("kill", 4.0),
    ("pause", 4.0),
    ("stop", 5.0),
    ("stop-twice", 2.0),
    ("reload", 3.0),
    ("wipe", 1.0),
    ("leave", 3.0),
    ("kill-hubs", 1.0),
    ("kill-all", 0.5),
)
"""How often each kind is drawn, relative to the others."""

FIRST_FAULT_SECONDS = 2.0
SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS = 0.1, 2.5
SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS = 0.1, 4.0
SERIES_SHARE = 0.3
"""Share of the faults that strike several machines one after the other."""

LONGEST_SERIES = 4
HUBS, NODES, ANY = "hub", "node", ""

_WHERE: dict[Kind, str] = {"wipe": HUBS, "leave": NODES}


class Fault(msgspec.Struct, frozen=True):
    """A fault: when it begins (seconds from the start), on what, and for how long."""

    at: float
    kind: Kind
    machine: str
    seconds: float


def draw_faults(
    seed: int, seconds: float, hubs: tuple[str, ...], nodes: tuple[str, ...]
) -> tuple[Fault, ...]:
    """Return the faults of a run in order of time; they depend on the seed alone."""
    random = Random(seed)
    names, weights = zip(*KINDS, strict=True)
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds:
        kind = random.choices(names, weights)[0]
        machines = _machines(kind, hubs, nodes)
        most = LONGEST_SERIES if random.random() < SERIES_SHARE else 1
        for machine in random.sample(machines, min(most, len(machines))):
            lasting = random.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS)
            faults.append(Fault(at, kind, machine, lasting))
            at += random.uniform(0.0, SHORTEST_GAP_SECONDS)
        at += random.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)
    return tuple(faults)


def _machines(kind: Kind, hubs: tuple[str, ...], nodes: tuple[str, ...]) -> tuple[str, ...]:
    if kind in ("kill-hubs", "kill-all"):
        return (ANY,)
    where = _WHERE.get(kind, ANY)
    if where == HUBS:
        return hubs
    return nodes if where == NODES else (*hubs, *nodes)
