"""Resolved and encoded resources: one service in one zone, one secret or one tenant.

All zones in which a service overrides nothing resolve to the same settings as "any
zone", so they share one group of resources. A resource whose encoding did not change
remains the same object from tree to tree, so that a change is found by identity,
without a comparison of content.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
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
    TenantResource,
    Tree,
    TreeNode,
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
from peppershore.version.tenants import key_digests, limits_of
from peppershore.version.tree_index import index_of


class Entry(Value, frozen=True):
    """An encoded resource and its digest, shared by all scopes that hold it."""

    resource: Resource
    digest: Digest


RouteNodes = tuple[TreeNode | None, TreeNode | None]
"""Tree nodes of a route: the one for every zone, and the one for a single zone."""


class EncodedRoute(Value, frozen=True):
    """An encoded route, and the nodes of the tree from which it was resolved."""

    nodes: RouteNodes
    entry: Entry
    targets: frozenset[str]
    verify_secret: str


class ServiceGroup(Value, frozen=True):
    """A service and its routes in a zone, encoded, and the names of what they refer to.

    ``inherited`` has the settings that all of its routes inherit.
    """

    service: Entry
    routes: dict[str, EncodedRoute]
    inherited: dict[str, Any]
    calls: tuple[str, ...]
    holds_every_service: bool
    targets: frozenset[str]
    sign_secret: str
    verify_secrets: frozenset[str]

    @property
    def entries(self) -> tuple[Entry, ...]:
        """Entries of the service and of its routes."""
        return (self.service, *(each.entry for each in self.routes.values()))


FormerGroups = Sequence[ServiceGroup]
"""Former groups of the same service; their entries are reused for equal resources."""


def overrides_in_zone(tree: Tree, service: str, zone: str) -> bool:
    """Report whether a service has tree nodes that apply to this zone only."""
    branch = index_of(tree).get(service)
    return branch is not None and zone in branch.zones


def encode_group(
    tree: Tree, service: str, zone: str, former: FormerGroups
) -> ServiceGroup | None:
    """Resolve and encode a service and its routes; None if there is no such service.

    A route resolved before from the same tree nodes and equal inherited settings is
    reused, so that the cost of a change is proportional to the number of routes that it
    touches.
    """
    if service not in index_of(tree):
        return None
    inherited = _inherited_values(tree, service, zone)
    service_settings = _service_settings(inherited)
    with_equal_inheritance = [each for each in former if each.inherited == inherited]
    routes: dict[str, EncodedRoute] = {}
    everywhere, here = route_path(service, ANY_ZONE, ""), route_path(service, zone, "")
    for route in routes_of(tree, service, zone):
        nodes = (tree.nodes.get(everywhere + route), tree.nodes.get(here + route))
        routes[route] = _find_reusable_route(
            nodes, route, with_equal_inheritance
        ) or _encode_route(RouteName(service, route), nodes, inherited, former)
    content = ServiceResource(service, service_settings)
    return ServiceGroup(
        service=_entry(content, [each.service for each in former]),
        routes=routes,
        inherited=inherited,
        calls=service_settings.calls,
        holds_every_service=service_settings.holds_every_service,
        targets=frozenset().union(*{each.targets for each in routes.values()}),
        sign_secret=service_settings.sign_secret,
        verify_secrets=frozenset(
            each.verify_secret for each in routes.values() if each.verify_secret
        ),
    )


def encode_secret(name: str, secret: Secret, former: Entry | None) -> Entry:
    """Encode a secret with all its generations; return ``former`` if it is equal."""
    content = SecretResource(name, secret.generations, secret.signing_generation)
    return _entry(content, [former] if former is not None else [])


def encode_tenant(tree: Tree, name: str, former: Entry | None) -> Entry:
    """Encode a tenant: the digests of its keys, and its effective limits and priority.

    Return ``former`` if it is equal.
    """
    limits = limits_of(tree, name)
    content = TenantResource(
        name=name,
        key_digests=key_digests(tree.tenants[name].keys),
        rate_per_second=float(limits.rate_per_second),
        burst=float(limits.burst),
        priority=limits.priority,
    )
    return _entry(content, [former] if former is not None else [])


class RouteName(Value, frozen=True):
    """Identifies a route by the name of its service and its own name."""

    service: str
    route: str


def _find_reusable_route(
    nodes: RouteNodes, route: str, former: FormerGroups
) -> EncodedRoute | None:
    """Return the route resolved from the identical tree nodes; None if there is none."""
    for group in former:
        known = group.routes.get(route)
        if known and known.nodes[0] is nodes[0] and known.nodes[1] is nodes[1]:
            return known
    return None


def _encode_route(
    name: RouteName,
    nodes: RouteNodes,
    inherited: dict[str, Any],
    former: FormerGroups,
) -> EncodedRoute:
    known = [each.routes[name.route] for each in former if name.route in each.routes]
    settings = _route_settings(name.service, nodes, inherited)
    content = RouteResource(name.service, name.route, settings)
    return EncodedRoute(
        nodes=nodes,
        entry=_entry(content, [each.entry for each in known]),
        targets=targets_of(settings),
        verify_secret=settings.verify_secret,
    )


def targets_of(settings: RouteSettings) -> frozenset[str]:
    """Return the services that receive the calls of a route."""
    if settings.splits:
        return split_services(settings.splits)
    return frozenset({settings.target})


def _entry(content: ResourceContent, former: Iterable[Entry]) -> Entry:
    """Encode ``content``; return the former entry with the same bytes if there is one."""
    resource = encode_resource(content)
    for entry in former:
        if entry.resource == resource:
            return entry
    return Entry(resource, resource_digest(resource))


def _inherited_values(tree: Tree, service: str, zone: str) -> dict[str, Any]:
    """Return the overrides that the service and its routes inherit in a zone."""
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
    service: str, nodes: Iterable[TreeNode | None], inherited: dict[str, Any]
) -> RouteSettings:
    overlaid = dict(inherited)
    for node in nodes:
        if node is not None:
            overlaid.update(set_values(node.overrides))
    values = route_defaults(service)
    for name in ROUTE_SETTING_NAMES:
        if name in overlaid:
            values[name] = overlaid[name]
    return RouteSettings(**values)
