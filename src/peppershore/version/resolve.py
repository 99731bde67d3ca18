"""Inheritance: the effective settings of a route or a service in a zone.

A later layer overrides an earlier one: built-in defaults, "/", "/S", "/S/*", "/S/Z",
"/S/*/R", "/S/Z/R", for service S, zone Z and route R. The target of a route without
a target is the service to which the route belongs.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import UNSET

from peppershore.version.model import (
    ANY_ZONE,
    ROOT_PATH,
    Overrides,
    RouteSettings,
    ServiceSettings,
    Tree,
    Value,
)
from peppershore.version.path import route_path, service_path, zone_path
from peppershore.version.tree_index import index_of

BUILT_IN = "built-in"
"""Origin of a setting that no node of the tree overrides."""

SERVICE_SETTING_NAMES: tuple[str, ...] = ServiceSettings.__struct_fields__
ROUTE_SETTING_NAMES: tuple[str, ...] = RouteSettings.__struct_fields__

_ROUTE_NAME_SET = frozenset(ROUTE_SETTING_NAMES)
_SERVICE_NAME_SET = frozenset(SERVICE_SETTING_NAMES)


class Origin(Value, frozen=True):
    """The effective value of a setting, and where it is set.

    ``path`` is the path of the node that sets it, "tenant:NAME" if a tenant does, or
    BUILT_IN. ``value`` is a JSON-like value of the setting's type.
    """

    name: str
    value: Any
    path: str


class ResolvedRoute(Value, frozen=True):
    """The effective settings of a route in a zone, and the origin of each."""

    service: str
    zone: str
    route: str
    settings: RouteSettings
    origins: tuple[Origin, ...]


class ResolvedService(Value, frozen=True):
    """The effective settings of a service in a zone, and the origin of each."""

    service: str
    zone: str
    settings: ServiceSettings
    origins: tuple[Origin, ...]


def routes_of(tree: Tree, service: str, zone: str) -> tuple[str, ...]:
    """Return the sorted names of a service's routes in a zone."""
    branch = index_of(tree).get(service)
    if branch is None:
        return ()
    everywhere = branch.routes.get(ANY_ZONE, frozenset())
    here = branch.routes.get(zone, frozenset())
    return tuple(sorted(everywhere | here))


def services_of(tree: Tree) -> tuple[str, ...]:
    """Return the sorted names of all services."""
    return tuple(sorted(index_of(tree)))


def service_layers(service: str, zone: str) -> tuple[str, ...]:
    """Return the paths that a service in a zone inherits from, lowest precedence first."""
    return (
        ROOT_PATH,
        service_path(service),
        zone_path(service, ANY_ZONE),
        zone_path(service, zone),
    )


def route_layers(service: str, zone: str, route: str) -> tuple[str, ...]:
    """Return the paths that a route in a zone inherits from, lowest precedence first."""
    return (
        *service_layers(service, zone),
        route_path(service, ANY_ZONE, route),
        route_path(service, zone, route),
    )


def resolve_route(tree: Tree, service: str, zone: str, route: str) -> ResolvedRoute:
    """Return the effective settings of a route in a zone, and their origins."""
    values = route_defaults(service)
    layers = route_layers(service, zone, route)
    origins = _merge(tree, layers, _ROUTE_NAME_SET, values)
    return ResolvedRoute(
        service=service,
        zone=zone,
        route=route,
        settings=RouteSettings(**values),
        origins=_origins(ROUTE_SETTING_NAMES, values, origins),
    )


def resolve_service(tree: Tree, service: str, zone: str) -> ResolvedService:
    """Return the effective settings of a service in a zone, and their origins."""
    values = service_defaults()
    origins = _merge(tree, service_layers(service, zone), _SERVICE_NAME_SET, values)
    return ResolvedService(
        service=service,
        zone=zone,
        settings=ServiceSettings(**values),
        origins=_origins(SERVICE_SETTING_NAMES, values, origins),
    )


def route_defaults(service: str) -> dict[str, Any]:
    """Return the built-in settings of a route of this service, by name."""
    return msgspec.structs.asdict(RouteSettings(target=service))


def service_defaults() -> dict[str, Any]:
    """Return the built-in settings of a service, by name."""
    return msgspec.structs.asdict(ServiceSettings())


def set_values(overrides: Overrides) -> dict[str, Any]:
    """Return the settings that ``overrides`` sets, by name."""
    values = msgspec.structs.asdict(overrides)
    return {name: value for name, value in values.items() if value is not UNSET}


def _merge(
    tree: Tree, layers: tuple[str, ...], names: frozenset[str], values: dict[str, Any]
) -> dict[str, str]:
    """Apply the layers to ``values`` in place; return the path that set each setting.

    Only settings in ``names`` are considered.
    """
    origins: dict[str, str] = {}
    for path in layers:
        node = tree.nodes.get(path)
        if node is None:
            continue
        for name, value in set_values(node.overrides).items():
            if name in names:
                values[name] = value
                origins[name] = path
    return origins


def _origins(
    names: tuple[str, ...], values: dict[str, Any], origins: dict[str, str]
) -> tuple[Origin, ...]:
    return tuple(Origin(name, values[name], origins.get(name, BUILT_IN)) for name in names)
