"""Trees of a given size for benchmarks: services that call each other in layers."""

from __future__ import annotations

from peppershore.version.model import (
    Edit,
    Operation,
    Overrides,
    PutSecret,
    SetOverrides,
    SetZone,
    Tree,
)
from peppershore.version.tree import apply_edit, empty_tree

SERVICES = 310
ZONES = 13
ROUTES = 4
DEPTH = 7
CALLS = 3
SECRET = "member-key"


def service_name(number: int) -> str:
    """Name a service by its number."""
    return f"service-{number:03d}"


def zone_name(number: int) -> str:
    """Name a zone by its number."""
    return f"zone-{number:02d}"


def large_tree(
    services: int = SERVICES,
    zones: int = ZONES,
    routes: int = ROUTES,
    with_zone_overrides: bool = True,
) -> Tree:
    """Give a valid tree at version 1.

    Services stand in ``DEPTH`` layers; each calls ``CALLS`` services of the next
    layer.  With zone overrides, every route has a node of its own in every
    zone, the largest tree of this many services, zones and routes.
    """
    operations: list[Operation] = [
        SetZone(zone_name(number), f"region-{number % 4}") for number in range(zones)
    ]
    operations.append(PutSecret(SECRET, b"0123456789abcdef0123456789abcdef"))
    operations.append(SetOverrides("/", Overrides(timeout_milliseconds=5_000)))
    for number in range(services):
        operations += _service(number, services, zones, routes, with_zone_overrides)
    edit = Edit(change_id="seed", operations=tuple(operations))
    return apply_edit(empty_tree("benchmark"), edit, 1).unwrap().tree


def _service(
    number: int, services: int, zones: int, routes: int, with_zone_overrides: bool
) -> list[Operation]:
    name = service_name(number)
    overrides = Overrides(calls=_calls(number, services), sign_secret=SECRET)
    operations: list[Operation] = [SetOverrides(f"/{name}", overrides)]
    for route in range(routes):
        settings = Overrides(path_prefix=f"/{name}/{route}", verify_secret=SECRET)
        operations.append(SetOverrides(f"/{name}/*/route-{route}", settings))
        if with_zone_overrides:
            operations += [
                SetOverrides(
                    f"/{name}/{zone_name(zone)}/route-{route}",
                    Overrides(caller_rate_per_second=100 + zone),
                )
                for zone in range(zones)
            ]
    return operations


def _calls(number: int, services: int) -> tuple[str, ...]:
    width = max(1, services // DEPTH)
    called = {number + width + step for step in range(CALLS)}
    return tuple(service_name(each) for each in sorted(called) if each < services)
