"""A complete configuration as operators send it: routes, services, tenants, its number.

One atomic edit puts it in the tree: a setting that most routes of a service share is
set on the service and inherited, and a route overrides what differs. The conversion
back from the tree returns an equal configuration, so that operators read what they
sent. It includes the keys of tenants, which operators chose themselves; no other reply
shows them.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Hashable, Iterable, Mapping
from typing import Any, Literal

import msgspec
import xxhash
from msgspec import UNSET, UnsetType
from returns.result import Failure, Result, Success

from peppershore.version.model import (
    ANY_METHOD,
    ANY_ZONE,
    ROOT_PATH,
    Edit,
    Overrides,
    Problem,
    RouteSettings,
    Tree,
    TreeNode,
    Value,
    Version,
)
from peppershore.version.path import NAME_RULE, is_name, route_path, service_path
from peppershore.version.resolve import (
    BUILT_IN,
    ResolvedRoute,
    resolve_route,
    resolve_service,
    routes_of,
    services_of,
)
from peppershore.version.revert import revert_operations
from peppershore.version.splits import WeightedTarget, format_split, parse_splits
from peppershore.version.tenant_definitions import (
    TenantDefinition,
    definitions_of,
    find_tenant_problems,
    to_tenants,
)

Runs = Literal["repeatable", "repeatable-large", "once", "once-streamed"]
"""How often a call of a route may run: any number of times, or at most once.

"repeatable-large" also means that answers are large, "once-streamed" that bodies of
requests are large and are forwarded as they arrive.
"""

ID_BYTES = 16
"""Bytes of the digest in the change id of a configuration with tenants."""

LARGE_ANSWERS: Runs = "repeatable-large"
REPEATABLE: tuple[Runs, ...] = ("repeatable", LARGE_ANSWERS)

MAXIMUM_ROUTES = 20_000
SHARED_SETTINGS = (
    "timeout_milliseconds",
    "target_latency_milliseconds",
    "priority",
    "retry_attempts",
    "repeatable",
    "streamed_bodies",
    "large_answers",
    "keyless",
)
"""Settings whose most frequent value among a service's routes is set on the service."""


class SplitDefinition(Value, frozen=True):
    """A service that gets a share of a route's calls, by weight."""

    service: str
    weight: int


class RouteDefinition(Value, frozen=True, omit_defaults=True):
    """A route: the calls that it matches, where they go, and how they are treated.

    Exactly one of ``service`` and ``split`` must be set. ``attempts`` is the maximum
    number of back ends to which one call may be sent. If the configuration has tenants,
    a call must carry a tenant's key unless the route is ``public``.
    """

    host: str
    path_prefix: str
    runs: Runs
    timeout_milliseconds: int
    attempts: int
    target_latency_milliseconds: int = 0
    priority: int = 1
    service: str | UnsetType = UNSET
    split: tuple[SplitDefinition, ...] | UnsetType = UNSET
    public: bool | UnsetType = UNSET


class ServiceDefinition(Value, frozen=True):
    """Settings of a service's back ends: health path, connections and protocol."""

    health_path: str = ""
    connections: int = 130
    protocol: str = "h1"
    tls: bool = False


class LimitsDefinition(Value, frozen=True):
    """Bounds on what a caller may send, on the time for it and on idle connections."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 1_048_576
    header_timeout_milliseconds: int = 10_000
    idle_timeout_milliseconds: int = 75_000


class WholeConfiguration(Value, frozen=True):
    """A complete configuration; operators number them in rising order.

    ``base`` is the number of the configuration that this one replaces, 0 for the first.
    If ``tenants`` is unset or empty, callers need no key.
    """

    version: Version
    routes: dict[str, RouteDefinition]
    services: dict[str, ServiceDefinition]
    limits: LimitsDefinition = LimitsDefinition()
    base: Version = 0
    tenants: dict[str, TenantDefinition] | UnsetType = UNSET


_DECODER = msgspec.json.Decoder(WholeConfiguration)
_ENCODER = msgspec.json.Encoder(order="sorted")


def decode_configuration(body: bytes) -> Result[WholeConfiguration, Problem]:
    """Decode a configuration from JSON, or return why it can't be decoded."""
    try:
        return Success(_DECODER.decode(body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as problem:
        return Failure(Problem("body", str(problem), "a whole configuration as JSON"))


def encode_configuration(configuration: WholeConfiguration) -> bytes:
    """Encode a configuration as JSON with sorted keys."""
    return _ENCODER.encode(configuration)


def change_id_of(configuration: WholeConfiguration) -> str:
    """Return the change id of a configuration: its number and a digest.

    The digest is that of all content, the number of the base included. If the
    configuration has tenants, the digest is a cryptographic one, from which their keys
    can't be derived.
    """
    encoded = encode_configuration(configuration)
    if configuration.tenants:
        digest = hashlib.blake2b(encoded, digest_size=ID_BYTES).hexdigest()
    else:
        digest = xxhash.xxh3_128_hexdigest(encoded)
    return f"release-{configuration.version}-{digest}"


def find_problems(configuration: WholeConfiguration) -> tuple[Problem, ...]:
    """Return the problems of a configuration that can be found without the tree.

    The rules of the tree are checked when the edit is applied.
    """
    problems: list[Problem] = []
    if configuration.version <= configuration.base or configuration.base < 0:
        allowed = f"above the base {configuration.base}"
        problems.append(Problem("version", f"is {configuration.version}", allowed))
    if len(configuration.routes) > MAXIMUM_ROUTES:
        problems.append(Problem("routes", "too many", f"at most {MAXIMUM_ROUTES}"))
    for name in (*configuration.routes, *configuration.services):
        if not is_name(name):
            problems.append(Problem(name, "is not a name", NAME_RULE))
    for name, route in configuration.routes.items():
        problems += _problems_of_route(name, route, configuration.services)
    problems += find_tenant_problems(_tenants_of(configuration))
    return tuple(problems)


def edit_of(tree: Tree, configuration: WholeConfiguration) -> Edit:
    """Return the edit that changes a tree to match a configuration."""
    wanted = _tree_of(tree, configuration)
    return Edit(
        change_id=change_id_of(configuration),
        operations=revert_operations(tree, wanted, with_keys=True),
        release=configuration.version,
        base_release=configuration.base,
    )


def configuration_of(tree: Tree) -> WholeConfiguration:
    """Return the configuration of a tree, as its settings resolve for the zone "*"."""
    routes: dict[str, RouteDefinition] = {}
    services: dict[str, ServiceDefinition] = {}
    for service in services_of(tree):
        settings = resolve_service(tree, service, ANY_ZONE).settings
        services[service] = ServiceDefinition(
            health_path=settings.health_path,
            connections=settings.connections,
            protocol=settings.backend_protocol,
            tls=settings.backend_tls,
        )
        for route in routes_of(tree, service, ANY_ZONE):
            resolved = resolve_route(tree, service, ANY_ZONE, route)
            routes[route] = _definition_of(resolved)
    return WholeConfiguration(
        version=tree.release,
        routes=routes,
        services=services,
        limits=_limits_of(tree),
        tenants=definitions_of(tree) or UNSET,
    )


def _problems_of_route(
    name: str, route: RouteDefinition, services: Mapping[str, ServiceDefinition]
) -> list[Problem]:
    problems: list[Problem] = []
    targets = _targets_of(route)
    if not targets or (route.service is not UNSET and route.split is not UNSET):
        problems.append(Problem(name, "has no target", "a service or a split, not both"))
    elif sum(target.weight for target in targets) <= 0:
        problems.append(Problem(name, "its weights sum to 0", "a weight above 0"))
    for target in targets:
        if target.service not in services:
            problems.append(Problem(name, f"unknown service {target.service!r}"))
    if route.timeout_milliseconds < 1:
        problems.append(Problem(name, "has no time-out", "timeout_milliseconds above 0"))
    if route.attempts < 1:
        problems.append(Problem(name, "has no attempts", "attempts above 0"))
    if not route.host:
        problems.append(Problem(name, "has no host", "the host it answers to"))
    return problems


def _targets_of(route: RouteDefinition) -> tuple[WeightedTarget, ...]:
    if route.split is not UNSET:
        return tuple(WeightedTarget(each.service, each.weight) for each in route.split)
    if route.service is not UNSET:
        return (WeightedTarget(route.service, 1),)
    return ()


def _tree_of(tree: Tree, configuration: WholeConfiguration) -> Tree:
    """Return the tree of a configuration, with the secrets and zones of ``tree``."""
    nodes: dict[str, TreeNode] = {}
    nodes[ROOT_PATH] = TreeNode(_root_overrides(configuration.limits))
    routes = _routes_by_service(configuration.routes)
    for service, definition in configuration.services.items():
        own = routes.get(service, {})
        shared = _shared_settings(own.values())
        path = service_path(service)
        nodes[path] = TreeNode(_service_overrides(definition, shared))
        for name, overrides in own.items():
            different = _overrides_except(overrides, shared)
            nodes[route_path(service, ANY_ZONE, name)] = TreeNode(different)
    tenants = to_tenants(_tenants_of(configuration))
    return msgspec.structs.replace(tree, nodes=nodes, tenants=tenants)


def _routes_by_service(
    routes: Mapping[str, RouteDefinition],
) -> dict[str, dict[str, dict[str, Any]]]:
    """Return the settings of routes, by service and name of the route.

    A route belongs to its first target.
    """
    found: dict[str, dict[str, dict[str, Any]]] = {}
    for name, route in routes.items():
        service = _targets_of(route)[0].service
        found.setdefault(service, {})[name] = _route_values(route)
    return found


def _route_values(route: RouteDefinition) -> dict[str, Any]:
    values: dict[str, Any] = {
        "host": route.host.lower(),
        "path_prefix": route.path_prefix,
        "methods": (ANY_METHOD,),
        "timeout_milliseconds": route.timeout_milliseconds,
        "target_latency_milliseconds": route.target_latency_milliseconds,
        "priority": route.priority,
        "retry_attempts": route.attempts - 1,
        "repeatable": route.runs in REPEATABLE,
        "streamed_bodies": route.runs == "once-streamed",
    }
    if route.runs == LARGE_ANSWERS:
        values["large_answers"] = True
    if route.public is not UNSET:
        values["keyless"] = route.public
    if route.split is not UNSET:
        values["splits"] = tuple(format_split(target) for target in _targets_of(route))
    return values


def _shared_settings(routes: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """Return the most frequent value of each shared setting that all routes set."""
    listed = list(routes)
    shared: dict[str, Any] = {}
    for name in SHARED_SETTINGS:
        if listed and all(name in values for values in listed):
            counts: Counter[Hashable] = Counter(values[name] for values in listed)
            shared[name] = max(counts, key=lambda value: (counts[value], repr(value)))
    return shared


def _overrides_except(values: Mapping[str, Any], shared: Mapping[str, Any]) -> Overrides:
    different = {
        name: value
        for name, value in values.items()
        if name not in shared or shared[name] != value
    }
    return Overrides(**different)


def _service_overrides(definition: ServiceDefinition, shared: dict[str, Any]) -> Overrides:
    return Overrides(
        connections=definition.connections,
        health_path=definition.health_path,
        backend_protocol=definition.protocol,
        backend_tls=definition.tls,
        **shared,
    )


def _root_overrides(limits: LimitsDefinition) -> Overrides:
    """Return the overrides of the root, which all services inherit.

    Every node holds every service, and callers need no token.
    """
    return Overrides(
        audience=("public",),
        hop="owner",
        holds_every_service=True,
        require_ready=False,
        retry_errors=True,
        slow_start_milliseconds=0,
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
        header_timeout_milliseconds=limits.header_timeout_milliseconds,
        idle_timeout_milliseconds=limits.idle_timeout_milliseconds,
    )


def _definition_of(resolved: ResolvedRoute) -> RouteDefinition:
    settings = resolved.settings
    splits = tuple(
        SplitDefinition(target.service, target.weight)
        for target in parse_splits(settings.splits)
    )
    return RouteDefinition(
        host=settings.host,
        path_prefix=settings.path_prefix,
        runs=_runs_of(settings),
        timeout_milliseconds=settings.timeout_milliseconds,
        attempts=settings.retry_attempts + 1,
        target_latency_milliseconds=settings.target_latency_milliseconds,
        priority=settings.priority,
        service=UNSET if splits else (settings.target or resolved.service),
        split=splits or UNSET,
        public=settings.keyless if _is_overridden(resolved, "keyless") else UNSET,
    )


def _is_overridden(resolved: ResolvedRoute, setting: str) -> bool:
    return any(
        origin.name == setting and origin.path != BUILT_IN for origin in resolved.origins
    )


def _tenants_of(configuration: WholeConfiguration) -> dict[str, TenantDefinition]:
    return {} if configuration.tenants is UNSET else configuration.tenants


def _runs_of(settings: RouteSettings) -> Runs:
    if settings.repeatable:
        return "repeatable-large" if settings.large_answers else "repeatable"
    return "once-streamed" if settings.streamed_bodies else "once"


def _limits_of(tree: Tree) -> LimitsDefinition:
    overrides = tree.nodes[ROOT_PATH].overrides
    given = {
        name: value
        for name in LimitsDefinition.__struct_fields__
        if (value := getattr(overrides, name)) is not UNSET
    }
    return LimitsDefinition(**given)
