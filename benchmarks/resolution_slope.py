"""CPU and memory of the catalog against the size of the tree and of the change.

Run: ``python -m benchmarks.resolution_slope [--output results/resolution_slope.json]``

For trees of several sizes: the median CPU time to accept an edit (validation
included) and to bring the catalog up to date, for a change of one route in one
zone, of one route in all zones, of a service, and of the root; once with the
scopes of all zones in use and once with one zone's, as a relay has them.
Beside it stands what the same change costs without the index and the catalog:
the whole tree validated and every scope's snapshot made anew.
"""

from __future__ import annotations

import gc
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import click
import msgspec

from benchmarks.large_trees import (
    CALLS,
    DEPTH,
    ROUTES,
    ZONES,
    large_tree,
    service_name,
    zone_name,
)
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Edit, Overrides, Scope, SetOverrides, Tree
from peppershore.version.tree import apply_edit
from peppershore.version.validation import validate_tree

SERVICE_COUNTS = (40, 80, 155, 310)
REPETITIONS = 21
ROOT_REPETITIONS = 5

CHANGES = ("route in one zone", "route in all zones", "service", "root")
"""Kinds of change, by where in the tree they are made."""


class ChangeCost(msgspec.Struct, frozen=True):
    """Median CPU microseconds of one kind of change, and how many scopes it touched."""

    change: str
    services: int
    tree_nodes: int
    scopes_in_use: int
    scopes_changed: int
    accept_microseconds: float
    catalog_microseconds: float


class WholeTreeCost(msgspec.Struct, frozen=True):
    """CPU microseconds of what a change would cost without index and catalog."""

    services: int
    tree_nodes: int
    validate_microseconds: float
    resolve_one_zone_microseconds: float


class MemoryCost(msgspec.Struct, frozen=True):
    """Bytes held by Python objects, at the largest size."""

    services: int
    tree_bytes: int
    catalog_one_zone_bytes: int
    catalog_all_zones_bytes: int
    catalog_one_zone_after_changes_bytes: int
    changes: int


class SlopeReport(msgspec.Struct, frozen=True):
    """All results of one run."""

    zones: int
    routes: int
    repetitions: int
    changes: list[ChangeCost]
    whole_tree: list[WholeTreeCost]
    memory: MemoryCost


def edited_service(services: int) -> str:
    """Give a service that others call, in the second layer of the tree."""
    return service_name(services // DEPTH + CALLS + 1)


def make_operation(change: str, services: int, number: int) -> SetOverrides:
    """Give one change of a kind; each kind has a setting that no other overrides."""
    service = edited_service(services)
    match change:
        case "route in one zone":
            path = f"/{service}/{zone_name(0)}/route-0"
            overrides = Overrides(max_body_bytes=number + 1)
        case "route in all zones":
            path = f"/{service}/*/route-0"
            overrides = Overrides(timeout_milliseconds=number + 1)
        case "service":
            path = f"/{service}"
            overrides = Overrides(queue_limit=number + 1)
        case _:
            path = "/"
            overrides = Overrides(retry_budget_percent=number + 1)
    return SetOverrides(path, overrides)


def scopes_of(services: int, zones: int) -> list[Scope]:
    """Give the scopes of all services in the first zones."""
    return [
        Scope(service_name(service), zone_name(zone))
        for service in range(services)
        for zone in range(zones)
    ]


def loaded_catalog(tree: Tree, scopes: list[Scope]) -> ScopeCatalog:
    """Give a catalog of a tree with these scopes in use."""
    catalog = ScopeCatalog()
    catalog.load(tree)
    for scope in scopes:
        catalog.use(scope)
    return catalog


def cpu_microseconds(action: Callable[[], object]) -> float:
    """Give the CPU time of one call."""
    start = time.process_time_ns()
    action()
    return (time.process_time_ns() - start) / 1_000.0


def measure_change(change: str, catalog: ScopeCatalog, services: int) -> ChangeCost:
    """Make one kind of change again and again, each time with another value."""
    accept_times = []
    catalog_times = []
    affected = 0
    repetitions = ROOT_REPETITIONS if change == "root" else REPETITIONS
    for number in range(repetitions):
        operation = make_operation(change, services, number)
        edit = Edit(change_id=f"{change} {number}", operations=(operation,))
        version = catalog.version + 1
        start = time.process_time_ns()
        applied = apply_edit(catalog.tree, edit, version).unwrap()
        accepted = time.process_time_ns()
        affected = len(catalog.advance(applied))
        finished = time.process_time_ns()
        accept_times.append((accepted - start) / 1_000.0)
        catalog_times.append((finished - accepted) / 1_000.0)
    return ChangeCost(
        change=change,
        services=services,
        tree_nodes=len(catalog.tree.nodes),
        scopes_in_use=len(catalog.scopes),
        scopes_changed=affected,
        accept_microseconds=round(statistics.median(accept_times), 1),
        catalog_microseconds=round(statistics.median(catalog_times), 1),
    )


def measure_whole_tree(tree: Tree, services: int) -> WholeTreeCost:
    """Measure a validation of everything and a catalog of one zone from nothing."""
    bare = msgspec.structs.replace(tree)
    one_zone = scopes_of(services, 1)
    return WholeTreeCost(
        services=services,
        tree_nodes=len(tree.nodes),
        validate_microseconds=round(cpu_microseconds(lambda: validate_tree(bare)), 1),
        resolve_one_zone_microseconds=round(
            cpu_microseconds(lambda: loaded_catalog(tree, one_zone)), 1
        ),
    )


def traced_bytes(make: Callable[[], object]) -> tuple[int, object]:
    """Give the bytes that an object and all it holds take, and the object."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def catalog_with_history(tree: Tree, scopes: list[Scope], changes: int) -> ScopeCatalog:
    """Give a catalog that has seen many changes of the root, each for all scopes."""
    catalog = loaded_catalog(tree, scopes)
    for number in range(changes):
        overrides = Overrides(timeout_milliseconds=1_000 + number)
        edit = Edit(change_id=str(number), operations=(SetOverrides("/", overrides),))
        catalog.advance(apply_edit(catalog.tree, edit, catalog.version + 1).unwrap())
    return catalog


def measure_memory(services: int, changes: int) -> MemoryCost:
    """Measure the tree and catalogs of one zone and of all zones."""
    tree_bytes, made = traced_bytes(lambda: large_tree(services))
    assert isinstance(made, Tree)
    one_zone = scopes_of(services, 1)
    all_zones = scopes_of(services, ZONES)
    loaded_catalog(made, one_zone)
    return MemoryCost(
        services=services,
        tree_bytes=tree_bytes,
        catalog_one_zone_bytes=traced_bytes(lambda: loaded_catalog(made, one_zone))[0],
        catalog_all_zones_bytes=traced_bytes(lambda: loaded_catalog(made, all_zones))[0],
        catalog_one_zone_after_changes_bytes=traced_bytes(
            lambda: catalog_with_history(made, one_zone, changes)
        )[0],
        changes=changes,
    )


@click.command()
@click.option("--output", type=click.Path(path_type=Path), default=None)
@click.option("--changes", default=50, help="Root changes before memory is measured.")
def main(output: Path | None, changes: int) -> None:
    """Measure and print, and write JSON if asked to."""
    costs: list[ChangeCost] = []
    whole: list[WholeTreeCost] = []
    for services in SERVICE_COUNTS:
        tree = large_tree(services)
        whole.append(measure_whole_tree(tree, services))
        for zones in (1, ZONES):
            catalog = loaded_catalog(tree, scopes_of(services, zones))
            for change in CHANGES:
                costs.append(measure_change(change, catalog, services))
    report = SlopeReport(
        zones=ZONES,
        routes=ROUTES,
        repetitions=REPETITIONS,
        changes=costs,
        whole_tree=whole,
        memory=measure_memory(SERVICE_COUNTS[-1], changes),
    )
    text = json.dumps(msgspec.to_builtins(report), indent=1)
    click.echo(text)
    if output is not None:
        output.write_text(f"{text}\n", encoding="utf-8")


if __name__ == "__main__":
    main()
