"""A generated deployment of any size: services, call graph, zones, nodes, changes.

Everything follows from the ``FleetLayout`` value and seeds, so that every
process of a run works out the same deployment.  The call graph has layers:
a service calls services of the next layer only, which bounds the call depth.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from peppershore.version.model import (
    ROOT_PATH,
    Edit,
    Operation,
    Overrides,
    Scope,
    SetOverrides,
    SetZone,
)

CHANGE_KINDS = ("route in a zone", "route everywhere", "service everywhere")
CHANGE_WEIGHTS = (70, 20, 10)
BASE_TIMEOUT_MILLISECONDS = 1_000
BASE_QUEUE_LIMIT = 100
BASE_BODY_BYTES = 65_536
VALUE_STEPS = 9_000


class FleetLayout(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Size of a deployment; the defaults are the two-year plan."""

    cluster: str = "scale"
    services: int = 310
    zones: int = 13
    regions: int = 4
    nodes: int = 9_000
    relays: int = 16
    depth: int = 7
    calls_per_service: int = 3
    routes_per_service: int = 4


class PlacedNode(msgspec.Struct, frozen=True):
    """One node of the deployment: its number, name and scope."""

    number: int
    name: str
    scope: Scope


class PlannedChange(msgspec.Struct, frozen=True):
    """An edit and the scopes whose nodes need it."""

    edit: Edit
    kind: str
    scopes: frozenset[Scope]


def zone_name(number: int) -> str:
    """Name of a zone by its number."""
    return f"zone{number:02d}"


def service_name(number: int) -> str:
    """Name of a service by its number."""
    return f"service{number:03d}"


def route_name(number: int) -> str:
    """Name of a route by its number within its service."""
    return f"route{number}"


def called_services(layout: FleetLayout, number: int) -> tuple[int, ...]:
    """Services that service ``number`` calls: some of the next layer, or none."""
    layer = number % layout.depth
    if layer == layout.depth - 1:
        return ()
    below = [
        candidate
        for candidate in range(layout.services)
        if candidate % layout.depth == layer + 1
    ]
    picker = random.Random(f"calls of {number}")
    return tuple(sorted(picker.sample(below, min(layout.calls_per_service, len(below)))))


def calling_services(layout: FleetLayout) -> dict[int, tuple[int, ...]]:
    """For each service the services that call it."""
    callers: dict[int, list[int]] = {number: [] for number in range(layout.services)}
    for caller in range(layout.services):
        for called in called_services(layout, caller):
            callers[called].append(caller)
    return {number: tuple(found) for number, found in callers.items()}


def placed_nodes(layout: FleetLayout) -> Iterator[PlacedNode]:
    """All nodes; each service is spread evenly over all zones."""
    for number in range(layout.nodes):
        service = number % layout.services
        zone = (number // layout.services + service) % layout.zones
        scope = Scope(service_name(service), zone_name(zone))
        yield PlacedNode(number, f"node{number:05d}", scope)


def initial_edit(layout: FleetLayout) -> Edit:
    """The edit that creates the whole tree."""
    operations: list[Operation] = [
        SetZone(zone_name(number), f"region{number % layout.regions}")
        for number in range(layout.zones)
    ]
    operations.append(SetOverrides(ROOT_PATH, Overrides(retry_budget_percent=10)))
    for service in range(layout.services):
        operations.extend(_service_operations(layout, service))
    return Edit(change_id="initial", operations=tuple(operations))


def _service_operations(layout: FleetLayout, service: int) -> Iterator[Operation]:
    name = service_name(service)
    calls = tuple(service_name(called) for called in called_services(layout, service))
    yield SetOverrides(f"/{name}", Overrides(calls=calls, slots=20))
    for route in range(layout.routes_per_service):
        overrides = Overrides(
            path_prefix=f"/{name}/{route_name(route)}",
            methods=("GET",) if route else ("POST",),
            repeatable=bool(route),
            timeout_milliseconds=BASE_TIMEOUT_MILLISECONDS,
        )
        yield SetOverrides(f"/{name}/*/{route_name(route)}", overrides)


class ChangePlan:
    """A seeded sequence of changes, each with the scopes that need it."""

    def __init__(self, layout: FleetLayout, seed: int) -> None:
        """Start the sequence of ``seed``."""
        self._layout = layout
        self._seed = seed
        self._random = random.Random(f"changes {seed}")
        self._callers = calling_services(layout)
        self._made = 0

    def next_change(self) -> PlannedChange:
        """Give the next change.

        Each kind changes a setting of its own, so that no later change is hidden
        by an earlier one deeper in the tree; values are not used twice running.
        """
        self._made += 1
        kind = self._random.choices(CHANGE_KINDS, CHANGE_WEIGHTS)[0]
        service = self._random.randrange(self._layout.services)
        zone = self._random.randrange(self._layout.zones)
        route = route_name(self._random.randrange(self._layout.routes_per_service))
        name = service_name(service)
        path = {
            "route in a zone": f"/{name}/{zone_name(zone)}/{route}",
            "route everywhere": f"/{name}/*/{route}",
            "service everywhere": f"/{name}",
        }[kind]
        zones = [zone] if kind == "route in a zone" else list(range(self._layout.zones))
        edit = Edit(
            change_id=f"change-{self._seed}-{self._made}",
            operations=(SetOverrides(path, self._overrides(kind)),),
        )
        return PlannedChange(edit, kind, self._scopes(service, zones))

    def _overrides(self, kind: str) -> Overrides:
        step = self._made % VALUE_STEPS
        if kind == "service everywhere":
            return Overrides(queue_limit=BASE_QUEUE_LIMIT + step)
        if kind == "route everywhere":
            return Overrides(max_body_bytes=BASE_BODY_BYTES + step)
        return Overrides(timeout_milliseconds=BASE_TIMEOUT_MILLISECONDS + step)

    def _scopes(self, service: int, zones: list[int]) -> frozenset[Scope]:
        holders = (service, *self._callers[service])
        return frozenset(
            Scope(service_name(holder), zone_name(zone))
            for holder in holders
            for zone in zones
        )
