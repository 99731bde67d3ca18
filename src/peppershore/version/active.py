"""A decoded snapshot as the data plane uses it, and the matching of routes."""

from __future__ import annotations

import re
from collections.abc import Container, Iterable, Iterator

from peppershore.version.model import (
    ANY_METHOD,
    Digest,
    Resource,
    ResourceContent,
    RouteResource,
    Scope,
    SecretResource,
    ServiceSettings,
    TenantResource,
    Value,
    Version,
)
from peppershore.version.resource_codec import decode_resource, route_name

ANY_HOST = ""
_INDEX_ATTRIBUTE = "route_index"
_NAMES_ATTRIBUTE = "held_names"
MatchOrder = tuple[int, bool, str, str]
"""Sort key of a route: longest prefix first, then the routes of the service that the
node hosts, then by names of service and route."""

DOT_SEGMENTS = (".", "..")
_SUSPICIOUS = re.compile(r"/\.|[%\\]")
ENCODED_CHARACTERS = (("%2e", "."), ("%2f", "/"), ("%5c", "\\"), ("%3b", ";"))


class RouteIndex:
    """Index of routes by host and path prefix; a match does not scan all routes."""

    def __init__(self, routes: Iterable[RouteResource]) -> None:
        """Index ``routes``, which must be sorted by ``match_order``."""
        self._by_host: dict[str, dict[str, list[RouteResource]]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.settings.host, {})
            by_prefix.setdefault(route.settings.path_prefix, []).append(route)

    def changed(
        self, removed: list[RouteResource], added: list[RouteResource], hosted: str
    ) -> RouteIndex:
        """Return a new index without the routes ``removed`` and with the routes ``added``.

        ``hosted`` is the service that the node hosts. This index is not changed.
        """
        copy = RouteIndex(())
        copy._by_host = dict(self._by_host)
        for host in {route.settings.host for route in (*removed, *added)}:
            copy._by_host[host] = dict(self._by_host.get(host, {}))
        for route in removed:
            by_prefix = copy._by_host[route.settings.host]
            prefix = route.settings.path_prefix
            by_prefix[prefix] = [each for each in by_prefix[prefix] if each is not route]
        for route in added:
            by_prefix = copy._by_host[route.settings.host]
            prefix = route.settings.path_prefix
            routes = [*by_prefix.get(prefix, ()), route]
            by_prefix[prefix] = sorted(routes, key=lambda each: match_order(hosted, each))
        for route in removed:
            copy._drop_if_empty(route.settings.host, route.settings.path_prefix)
        return copy

    def _drop_if_empty(self, host: str, prefix: str) -> None:
        by_prefix = self._by_host.get(host, {})
        if prefix in by_prefix and not by_prefix[prefix]:
            del by_prefix[prefix]
        if host in self._by_host and not by_prefix:
            del self._by_host[host]

    def candidates(self, host: str, path: str) -> Iterator[RouteResource]:
        """Yield the routes whose prefix covers a path, whatever their methods.

        Routes of ``host`` come before the routes of any host, and within each the
        longest prefix comes first.
        """
        hosts = (host, ANY_HOST) if host != ANY_HOST else (ANY_HOST,)
        for each in hosts:
            by_prefix = self._by_host.get(each)
            if by_prefix is None:
                continue
            for prefix in _prefixes(path):
                yield from by_prefix.get(prefix, ())


class ActiveConfiguration(Value, frozen=True, dict=True):
    """The complete configuration of one node, as its data plane uses it.

    ``services`` maps the name of a service to its settings in the node's zone,
    ``secrets`` the name of a secret to its generations, and ``tenants`` the name of a
    tenant to its resource. ``routes`` is sorted by ``match_order``.
    """

    scope: Scope
    version: Version
    digest: Digest
    routes: tuple[RouteResource, ...]
    services: dict[str, ServiceSettings]
    secrets: dict[str, SecretResource]
    tenants: dict[str, TenantResource] = {}

    def match_route(
        self, path: str, method: str, service: str = "", host: str = ""
    ) -> RouteResource | None:
        """Return the route for a call; None if there is none.

        Of the routes that accept ``method`` and whose prefix covers ``path``, it is the
        one with the longest prefix. Routes of ``host`` have precedence over the routes of
        any host, whatever their prefixes. ``service`` limits the search to the routes of
        one service. Among routes of equal prefix, those of the service that the node
        hosts come first, then they are sorted by name. A prefix ends at a segment: "/pay"
        matches "/pay/1" and not "/payout". A path with dot segments matches nothing,
        because a back end may resolve "/pay/../x" to a path of another route, which may
        have another audience.
        """
        if _has_dot_segment(path):
            return None
        for route in self._index.candidates(host, path):
            if service and route.service != service:
                continue
            if _accepts_method(route, method):
                return route
        return None

    def use_index(self, index: RouteIndex, names: Container[str]) -> None:
        """Set the index of the routes and the names of all resources of the snapshot.

        Without this call the index, and the names of the routes alone, are computed at
        first use.
        """
        self.__dict__[_INDEX_ATTRIBUTE] = index
        self.__dict__[_NAMES_ATTRIBUTE] = names

    def holds_route(self, service: str, route: str) -> bool:
        """Report whether the configuration has this route of this service."""
        names: Container[str] | None = self.__dict__.get(_NAMES_ATTRIBUTE)
        if names is None:
            names = {route_name(each.service, each.route) for each in self.routes}
            self.__dict__[_NAMES_ATTRIBUTE] = names
        return route_name(service, route) in names

    @property
    def _index(self) -> RouteIndex:
        index: RouteIndex | None = self.__dict__.get(_INDEX_ATTRIBUTE)
        if index is None:
            index = RouteIndex(self.routes)
            self.__dict__[_INDEX_ATTRIBUTE] = index
        return index

    def allowed_methods(self, path: str, service: str = "") -> tuple[str, ...]:
        """Return the sorted methods that the routes matching ``path`` accept.

        The result is empty if no route matches. ``service`` limits the search to the
        routes of one service.
        """
        if _has_dot_segment(path):
            return ()
        methods: set[str] = set()
        for route in self.routes:
            if (not service or route.service == service) and _covers_path(route, path):
                methods.update(route.settings.methods)
        return tuple(sorted(methods))


def decode_contents(resources: Iterable[Resource]) -> list[ResourceContent]:
    """Decode resources that were validated before.

    Raise AssertionError if one can't be decoded.
    """
    contents = []
    for resource in resources:
        content = decode_resource(resource).value_or(None)
        if content is None:
            raise AssertionError(
                f"resource {resource.name} was accepted but cannot be decoded"
            )
        contents.append(content)
    return contents


def match_order(hosted: str, route: RouteResource) -> MatchOrder:
    """Return the key by which the routes of a snapshot are sorted; keys are unique.

    ``hosted`` is the service that the node hosts.
    """
    length = len(route.settings.path_prefix)
    return (-length, route.service != hosted, route.service, route.route)


def _has_dot_segment(path: str) -> bool:
    """Report whether a path, without its query, has a "." or ".." segment in any form.

    Segments that are percent-encoded, that follow a backslash or that have parameters
    (";") count too.
    """
    if _SUSPICIOUS.search(path) is None:
        return False
    plain = path.partition("?")[0].lower()
    for encoded, character in ENCODED_CHARACTERS:
        plain = plain.replace(encoded, character)
    segments = plain.replace("\\", "/").split("/")
    return any(segment.partition(";")[0] in DOT_SEGMENTS for segment in segments)


def _prefixes(path: str) -> Iterator[str]:
    """Yield each prefix of a path that ends at a segment boundary, the longest first."""
    plain = path.partition("?")[0]
    yield plain
    end = len(plain)
    while (slash := plain.rfind("/", 0, end)) >= 0:
        if slash + 1 != len(plain):
            yield plain[: slash + 1]
        if slash:
            yield plain[:slash]
        end = slash


def _accepts_method(route: RouteResource, method: str) -> bool:
    methods = route.settings.methods
    return method in methods or methods == (ANY_METHOD,)


def _covers_path(route: RouteResource, path: str) -> bool:
    prefix = route.settings.path_prefix
    if not path.startswith(prefix):
        return False
    ends_at_segment = prefix.endswith("/") or len(path) == len(prefix)
    return ends_at_segment or path[len(prefix)] in "/?"
