"""Validation of a tree, limited to the rules that a change can break.

Besides the limits on the size of the tree, all rules but four concern a single node,
zone, secret or tenant, so they are checked on those that changed. The cost of the other
four is bounded too: a removed service, secret or zone is looked up in the index of
references; the routes of a service are compared with each other if any node of the
service changed; the graph of services is searched for cycles if any node other than the
root changed; and the keys of all tenants are compared if a tenant was added or changed.

References are checked on the node that has them, even where a deeper node overrides
them: otherwise an unrelated edit could expose a reference to something that does not
exist.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from msgspec import UNSET

from peppershore.version.cycles import find_cycles
from peppershore.version.model import (
    ANY_ZONE,
    ROOT_PATH,
    Problem,
    RouteSettings,
    Secret,
    Tree,
    TreeNode,
    Value,
)
from peppershore.version.path import (
    NAME_RULE,
    is_name,
    parse_path,
    route_path,
    service_path,
)
from peppershore.version.setting_rules import check_overrides
from peppershore.version.tenants import check_tenant, shared_keys
from peppershore.version.tree_index import (
    ServiceBranch,
    ServiceIndex,
    diverted_services,
    index_of,
    referenced_secrets,
    referenced_services,
    split_path,
)

MAXIMUM_ZONES = 256
MAXIMUM_SERVICES = 4_096
MAXIMUM_SECRETS = 4_096
MAXIMUM_TENANTS = 8_192
MAXIMUM_ROUTES_OF_SERVICE = 4_096
MAXIMUM_GENERATIONS = 8
MAXIMUM_MATERIAL_BYTES = 8_192
MAXIMUM_PROBLEMS = 100


class Changes(Value, frozen=True):
    """Paths of nodes and names of secrets, zones and tenants that an edit touched."""

    paths: frozenset[str]
    secrets: frozenset[str]
    zones: frozenset[str]
    tenants: frozenset[str] = frozenset()


def validate_tree(tree: Tree) -> tuple[Problem, ...]:
    """Return the sorted problems of a tree, at most MAXIMUM_PROBLEMS."""
    everything = Changes(
        paths=frozenset(tree.nodes),
        secrets=frozenset(tree.secrets),
        zones=frozenset(tree.zones),
        tenants=frozenset(tree.tenants),
    )
    return validate_changes(tree, everything)


def validate_changes(tree: Tree, changes: Changes) -> tuple[Problem, ...]:
    """Return the sorted problems that ``changes`` to a valid tree caused.

    At most MAXIMUM_PROBLEMS are returned.
    """
    index = index_of(tree)
    problems: list[Problem] = []
    problems += _check_sizes(tree, index)
    problems += _check_zones(tree, changes.zones)
    problems += _check_secrets(tree, changes.secrets)
    problems += _check_tenants(tree, changes.tenants)
    for path in changes.paths | _exposed_paths(tree, index, changes):
        node = tree.nodes.get(path)
        if node is not None:
            problems += _check_node(tree, path, node)
    for service in _services_of(changes.paths):
        branch = index.get(service)
        if branch is not None:
            problems += _check_routes(tree, service, branch)
    problems += _check_cycles(index, changes.paths)
    return tuple(sorted(set(problems), key=_order)[:MAXIMUM_PROBLEMS])


def _order(problem: Problem) -> tuple[str, str, str]:
    return (problem.subject, problem.reason, problem.allowed)


def _services_of(paths: Iterable[str]) -> frozenset[str]:
    return frozenset(split_path(path).service for path in paths if path != ROOT_PATH)


def _check_sizes(tree: Tree, index: ServiceIndex) -> list[Problem]:
    sizes = (
        ("zones", len(tree.zones), MAXIMUM_ZONES),
        ("services", len(index), MAXIMUM_SERVICES),
        ("secrets", len(tree.secrets), MAXIMUM_SECRETS),
        ("tenants", len(tree.tenants), MAXIMUM_TENANTS),
    )
    return [
        Problem(ROOT_PATH, f"the tree has {size} {name}", f"at most {maximum}")
        for name, size, maximum in sizes
        if size > maximum
    ]


def _check_zones(tree: Tree, names: Iterable[str]) -> list[Problem]:
    problems = []
    for name in names:
        zone = tree.zones.get(name)
        if zone is None:
            continue
        if not is_name(name):
            problems.append(Problem(f"zone:{name}", "not a zone's name", NAME_RULE))
        if not is_name(zone.region):
            reason = f"the region {zone.region!r} is not a name"
            problems.append(Problem(f"zone:{name}", reason, NAME_RULE))
    return problems


def _check_secrets(tree: Tree, names: Iterable[str]) -> list[Problem]:
    problems: list[Problem] = []
    for name in names:
        secret = tree.secrets.get(name)
        if secret is not None:
            problems += _check_secret(f"secret:{name}", name, secret)
    return problems


def _check_secret(subject: str, name: str, secret: Secret) -> list[Problem]:
    problems = []
    if not is_name(name):
        problems.append(Problem(subject, "not a secret's name", NAME_RULE))
    numbers = [generation.generation for generation in secret.generations]
    if not 1 <= len(numbers) <= MAXIMUM_GENERATIONS:
        reason = f"the secret has {len(numbers)} generations"
        allowed = f"1 to {MAXIMUM_GENERATIONS}; promote one to drop the older ones"
        problems.append(Problem(subject, reason, allowed))
    if numbers != sorted(set(numbers)):
        reason = "the generations are not in rising order"
        problems.append(Problem(subject, reason, "each number once, rising"))
    if secret.signing_generation not in numbers:
        reason = f"the signing generation {secret.signing_generation} does not exist"
        problems.append(Problem(subject, reason, f"one of {numbers}"))
    for generation in secret.generations:
        size = len(generation.material)
        if not 1 <= size <= MAXIMUM_MATERIAL_BYTES:
            reason = f"generation {generation.generation} has {size} bytes of material"
            problems.append(Problem(subject, reason, f"1 to {MAXIMUM_MATERIAL_BYTES}"))
    return problems


def _check_tenants(tree: Tree, names: Iterable[str]) -> list[Problem]:
    """Return the problems of changed tenants, and keys that any two tenants share."""
    changed = [name for name in names if name in tree.tenants]
    problems: list[Problem] = []
    for name in changed:
        problems += check_tenant(name, tree.tenants[name])
    if changed:
        problems += shared_keys({name: each.keys for name, each in tree.tenants.items()})
    return problems


def _exposed_paths(tree: Tree, index: ServiceIndex, changes: Changes) -> set[str]:
    """Return the paths of nodes that may name something that the changes removed."""
    services = frozenset(
        name for name in _services_of(changes.paths) if service_path(name) not in tree.nodes
    )
    secrets = frozenset(name for name in changes.secrets if name not in tree.secrets)
    zones = frozenset(name for name in changes.zones if name not in tree.zones)
    if not services and not secrets and not zones:
        return set()
    exposed = {ROOT_PATH} if secrets else set()
    for name, branch in index.items():
        if (
            name in services
            or not branch.references.isdisjoint(services)
            or not branch.diversions.isdisjoint(services)
            or not branch.secrets.isdisjoint(secrets)
            or not branch.zones.isdisjoint(zones)
        ):
            exposed |= branch.paths
    return exposed


def _check_node(tree: Tree, path: str, node: TreeNode) -> list[Problem]:
    parsed = parse_path(path).value_or(None)
    if parsed is None:
        return [parse_path(path).failure()]
    problems = check_overrides(path, parsed.level, node.overrides)
    if parsed.service and service_path(parsed.service) not in tree.nodes:
        reason = f"the service {parsed.service} has no node of its own"
        problems.append(Problem(path, reason, f"set {service_path(parsed.service)}"))
    if parsed.zone not in ("", ANY_ZONE) and parsed.zone not in tree.zones:
        reason = f"the zone {parsed.zone} is not declared"
        problems.append(Problem(path, reason, _list_some(tree.zones)))
    named = referenced_services(parsed.service, node.overrides)
    for service in named | diverted_services(node.overrides):
        if service_path(service) not in tree.nodes:
            reason = f"the service {service} does not exist"
            problems.append(Problem(path, reason, "a service of the tree"))
    for secret in referenced_secrets(node.overrides):
        if secret not in tree.secrets:
            reason = f"the secret {secret} does not exist"
            problems.append(Problem(path, reason, _list_some(tree.secrets)))
    return problems


def _list_some(names: Iterable[str]) -> str:
    shown = sorted(names)
    if len(shown) > 20:
        return f"one of {', '.join(shown[:20])} and {len(shown) - 20} more"
    return f"one of {', '.join(shown)}" if shown else "none is declared yet"


def _check_routes(tree: Tree, service: str, branch: ServiceBranch) -> list[Problem]:
    """Check that in each zone no two routes of a service match the same calls."""
    names = frozenset().union(*branch.routes.values())
    problems: list[Problem] = []
    if len(names) > MAXIMUM_ROUTES_OF_SERVICE:
        reason = f"the service has {len(names)} routes"
        allowed = f"at most {MAXIMUM_ROUTES_OF_SERVICE}"
        problems.append(Problem(service_path(service), reason, allowed))
    for zone in branch.routes:
        problems += _check_routes_in_zone(tree, service, zone, branch)
    return problems


def _check_routes_in_zone(
    tree: Tree, service: str, zone: str, branch: ServiceBranch
) -> list[Problem]:
    problems = []
    holders: dict[tuple[str, str, str], str] = {}
    names = branch.routes[zone] | branch.routes.get(ANY_ZONE, frozenset())
    for route in sorted(names):
        host, prefix, methods = _match_criteria(tree, service, zone, route)
        here = route_path(service, zone, route)
        if not prefix:
            problems.append(Problem(here, "the route has no path_prefix", "set one"))
            continue
        for method in methods:
            other = holders.setdefault((host, prefix, method), route)
            if other != route:
                where = f"{host}{prefix}"
                reason = f"{method} {where} also belongs to the route {other}"
                problems.append(Problem(here, reason, "a prefix of its own"))
    return problems


def _match_criteria(
    tree: Tree, service: str, zone: str, route: str
) -> tuple[str, str, tuple[str, ...]]:
    """Return host, path prefix and methods of a route.

    Only nodes of routes may have these settings, so none of them is inherited from the
    service or the root.
    """
    host = ""
    prefix = ""
    methods: tuple[str, ...] = RouteSettings().methods
    for layer in (ANY_ZONE, zone):
        node = tree.nodes.get(route_path(service, layer, route))
        if node is None:
            continue
        if node.overrides.host is not UNSET:
            host = node.overrides.host
        if node.overrides.path_prefix is not UNSET:
            prefix = node.overrides.path_prefix
        if node.overrides.methods is not UNSET:
            methods = node.overrides.methods
    return host, prefix, methods


def _check_cycles(index: ServiceIndex, changed_paths: frozenset[str]) -> list[Problem]:
    if not any(path != ROOT_PATH for path in changed_paths):
        return []
    graph: dict[str, frozenset[str]] = defaultdict(frozenset)
    graph.update({name: branch.references for name, branch in index.items()})
    problems = []
    for members in find_cycles(graph):
        reason = f"calls and targets form a cycle: {', '.join(members)}"
        problems.append(
            Problem(service_path(members[0]), reason, "calls that never come back")
        )
    return problems
