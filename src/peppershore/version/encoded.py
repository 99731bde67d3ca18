"""Resolved and encoded resources: one service in one zone, or one secret.

A zone in which a service overrides nothing resolves to the same as "any zone",
so all such zones share one group of resources.  A resource whose bytes did not
change keeps its identity from tree to tree; who holds it need not look inside.
"""

from __future__ import annotations

from typing import Any

from peppershore.version.digest import resource_digest
from peppershore.version.model import (
    ANY_ZONE,
    Digest,
    Resource,
    ResourceContent,
    RouteResource,
    RouteSettings,
    Secret,
    SecretResource,
    ServiceResource,
    ServiceSettings,
    Tree,
    Value,
)
from peppershore.version.path import route_path
from peppershore.version.resolve import (
    ROUTE_SETTING_NAMES,
    SERVICE_SETTING_NAMES,
    route_defaults,
    routes_of,
    service_defaults,
    service_layers,
    set_values,
)
from peppershore.version.resource_codec import encode_resource
from peppershore.version.splits import split_services
from peppershore.version.tree_index import index_of


class Entry(Value, frozen=True):
    """An encoded resource and its digest, shared by all scopes that hold it."""

    resource: Resource
    digest: Digest


class ServiceGroup(Value, frozen=True):
    """A service and its routes in a zone, encoded, and the names they use."""

    service: Entry
    routes: tuple[Entry, ...]
    calls: tuple[str, ...]
    holds_every_service: bool
    targets: frozenset[str]
    sign_secret: str
    verify_secrets: frozenset[str]

    @property
    def entries(self) -> tuple[Entry, ...]:
        """The service and its routes."""
        return (self.service, *self.routes)


KnownEntries = dict[Resource, Entry]
"""Entries that are used again for a resource of the same name and bytes."""


def overrides_in_zone(tree: Tree, service: str, zone: str) -> bool:
    """Tell whether a service has nodes of its own in a zone."""
    branch = index_of(tree).get(service)
    return branch is not None and zone in branch.zones


def encode_group(
    tree: Tree, service: str, zone: str, known: KnownEntries
) -> ServiceGroup | None:
    """Resolve and encode a service and its routes; None if there is no such service.

    New entries are added to ``known``.
    """
    if service not in index_of(tree):
        return None
    inherited = _inherited_values(tree, service, zone)
    service_settings = _service_settings(inherited)
    routes = [
        (route, _route_settings(tree, service, zone, route, inherited))
        for route in routes_of(tree, service, zone)
    ]
    return ServiceGroup(
        service=_entry(ServiceResource(service, service_settings), known),
        routes=tuple(
            _entry(RouteResource(service, route, settings), known)
            for route, settings in routes
        ),
        calls=service_settings.calls,
        holds_every_service=service_settings.holds_every_service,
        targets=frozenset().union(*(targets_of(settings) for _, settings in routes)),
        sign_secret=service_settings.sign_secret,
        verify_secrets=frozenset(
            settings.verify_secret for _, settings in routes if settings.verify_secret
        ),
    )


def encode_secret(name: str, secret: Secret, known: KnownEntries) -> Entry:
    """Encode a secret with all its generations."""
    content = SecretResource(name, secret.generations, secret.signing_generation)
    return _entry(content, known)


def targets_of(settings: RouteSettings) -> frozenset[str]:
    """Give the services that a route's calls go to."""
    if settings.splits:
        return split_services(settings.splits)
    return frozenset({settings.target})


def _entry(content: ResourceContent, known: KnownEntries) -> Entry:
    resource = encode_resource(content)
    entry = known.get(resource)
    if entry is None:
        entry = Entry(resource, resource_digest(resource))
        known[resource] = entry
    return entry


def _inherited_values(tree: Tree, service: str, zone: str) -> dict[str, Any]:
    """Overlay everything that the zone's routes and the service itself inherit."""
    values: dict[str, Any] = {}
    for path in service_layers(service, zone):
        node = tree.nodes.get(path)
        if node is not None:
            values.update(set_values(node.overrides))
    return values


def _service_settings(inherited: dict[str, Any]) -> ServiceSettings:
    values = service_defaults()
    for name in SERVICE_SETTING_NAMES:
        if name in inherited:
            values[name] = inherited[name]
    return ServiceSettings(**values)


def _route_settings(
    tree: Tree, service: str, zone: str, route: str, inherited: dict[str, Any]
) -> RouteSettings:
    overlaid = dict(inherited)
    for layer in (ANY_ZONE, zone):
        node = tree.nodes.get(route_path(service, layer, route))
        if node is not None:
            overlaid.update(set_values(node.overrides))
    values = route_defaults(service)
    for name in ROUTE_SETTING_NAMES:
        if name in overlaid:
            values[name] = overlaid[name]
    return RouteSettings(**values)
