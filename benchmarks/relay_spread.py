"""How evenly nodes fall on relays, before and after relays die.

Run: ``python -m benchmarks.relay_spread [--output results/relay_spread.json]``

Pure computation with the ranking that every node uses; 9,000 nodes in 13 zones.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import click
import msgspec

from benchmarks.measuring import command_of, write_result
from peppershore.process.rendezvous import rank_relays
from peppershore.process.settings import PeerRelay
from peppershore_lab.hollow.layout import FleetLayout, placed_nodes, zone_name

RELAY_COUNTS = (13, 16, 26)
SHOWN_RELAYS = 2


class Load(msgspec.Struct, frozen=True):
    """Nodes of the busiest relay and of the mean one, and how many nodes moved."""

    dead: tuple[str, ...]
    busiest: int
    mean: float
    times_mean: float
    moved: int
    relays_that_took_some: int


class Spread(msgspec.Struct, frozen=True):
    """One number of relays: all alive, and the worst of each number of deaths."""

    relays: int
    all_alive: Load
    worst_single_death: Load
    worst_double_death: Load


class Spreads(msgspec.Struct, frozen=True):
    """The result."""

    command: str
    nodes: int
    zones: int
    spreads: list[Spread]


class Ranked(msgspec.Struct, frozen=True):
    """Nodes that rank their first relays alike, and how many they are."""

    first: tuple[str, ...]
    nodes: int


def _relays(count: int, zones: int) -> tuple[PeerRelay, ...]:
    return tuple(
        PeerRelay(name=f"relay{number:02d}", zone=zone_name(number % zones), address="")
        for number in range(count)
    )


def _ranked(layout: FleetLayout, relays: tuple[PeerRelay, ...], depth: int) -> list[Ranked]:
    """Count the nodes by the relays that they try first."""
    counts: Counter[tuple[str, ...]] = Counter()
    for node in placed_nodes(layout):
        ranked = rank_relays(node.name, node.scope.zone, relays)
        counts[tuple(relay.name for relay in ranked[:depth])] += 1
    return [Ranked(first, nodes) for first, nodes in counts.items()]


def _load(ranked: list[Ranked], relays: int, dead: tuple[str, ...]) -> Load:
    nodes: Counter[str] = Counter()
    moved = 0
    takers: set[str] = set()
    for each in ranked:
        chosen = next(name for name in each.first if name not in dead)
        nodes[chosen] += each.nodes
        if chosen != each.first[0]:
            moved += each.nodes
            takers.add(chosen)
    mean = nodes.total() / (relays - len(dead))
    busiest = max(nodes.values())
    return Load(dead, busiest, round(mean, 1), round(busiest / mean, 3), moved, len(takers))


def _worst(ranked: list[Ranked], relays: int, deaths: Iterable[tuple[str, ...]]) -> Load:
    loads = (_load(ranked, relays, dead) for dead in deaths)
    return max(loads, key=lambda load: load.busiest)


def _spread(layout: FleetLayout, count: int) -> Spread:
    relays = _relays(count, layout.zones)
    names = [relay.name for relay in relays]
    ranked = _ranked(layout, relays, SHOWN_RELAYS + 1)
    return Spread(
        relays=count,
        all_alive=_load(ranked, count, ()),
        worst_single_death=_worst(ranked, count, ((name,) for name in names)),
        worst_double_death=_worst(ranked, count, itertools.combinations(names, 2)),
    )


@click.command()
@click.option("--output", type=click.Path(path_type=Path), default=None)
def main(output: Path | None) -> None:
    """Work out the loads and write the result."""
    layout = FleetLayout()
    result = Spreads(
        command=command_of("relay_spread"),
        nodes=layout.nodes,
        zones=layout.zones,
        spreads=[_spread(layout, count) for count in RELAY_COUNTS],
    )
    write_result(result, output)


if __name__ == "__main__":
    main()
