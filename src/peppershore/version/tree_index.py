"""Index of a tree by service, computed once and cached on the tree.

A tree maps paths to nodes. Validation and resolution need data by service: its routes
in a zone, and the services and secrets that its nodes name. The index provides them
without a scan of the tree. The index of an edited tree shares the branches of all
services that the edit did not touch.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from msgspec import UNSET

from peppershore.version.model import ANY_ZONE, ROOT_PATH, Overrides, Tree, TreeNode, Value
from peppershore.version.path import MAXIMUM_SEGMENTS, TreePath
from peppershore.version.splits import are_splits, split_services

_INDEX_ATTRIBUTE = "service_index"


class ServiceBranch(Value, frozen=True):
    """Summary of all tree nodes of one service, over all zones.

    ``routes`` maps a zone (also "*") to the routes that have a tree node there.
    ``references`` are the services that ``calls`` name, and the other services that
    ``target`` names. ``diversions`` are the services that ``splits`` name; these may
    form cycles, because a call that is sent to another service instead creates no
    chain of calls.
    """

    paths: frozenset[str]
    routes: dict[str, frozenset[str]]
    zones: frozenset[str]
    references: frozenset[str]
    diversions: frozenset[str]
    secrets: frozenset[str]


ServiceIndex = dict[str, ServiceBranch]


def split_path(path: str) -> TreePath:
    """Parse the path of a tree node without a check; ``parse_path`` checks it."""
    return TreePath(*path.strip("/").split("/")[:MAXIMUM_SEGMENTS])


def index_of(tree: Tree) -> ServiceIndex:
    """Return the index of a tree; build it at the first request."""
    index: ServiceIndex | None = tree.__dict__.get(_INDEX_ATTRIBUTE)
    if index is None:
        index = _build_index(tree)
        tree.__dict__[_INDEX_ATTRIBUTE] = index
    return index


def derive_index(before: Tree, after: Tree, changed_paths: Iterable[str]) -> ServiceIndex:
    """Derive the index of an edited tree from that of the tree before, and cache it."""
    index = dict(index_of(before))
    by_service: dict[str, set[str]] = defaultdict(set)
    for path in changed_paths:
        if path != ROOT_PATH:
            by_service[split_path(path).service].add(path)
    for service, changed in by_service.items():
        branch = index.get(service)
        known = branch.paths if branch is not None else frozenset()
        removed_paths = frozenset(path for path in changed if path not in after.nodes)
        remaining = (known | changed) - removed_paths
        if not remaining:
            index.pop(service, None)
            continue
        nodes_before = {
            path: before.nodes[path] for path in changed if path in before.nodes
        }
        nodes_after = {path: after.nodes[path] for path in changed - removed_paths}
        derived = (
            None
            if branch is None
            else _changed_branch(service, branch, nodes_before, nodes_after)
        )
        index[service] = derived or _build_branch(service, remaining, after.nodes)
    after.__dict__[_INDEX_ATTRIBUTE] = index
    return index


def referenced_services(service: str, overrides: Overrides) -> frozenset[str]:
    """Return the services named by the settings ``calls`` and ``target`` of one tree node.

    ``service``, to which the tree node belongs, is included if ``calls`` names it, but not
    if only ``target`` does.
    """
    names: set[str] = set()
    if overrides.calls is not UNSET:
        names.update(overrides.calls)
    if overrides.target is not UNSET and overrides.target not in ("", service):
        names.add(overrides.target)
    return frozenset(names)


def diverted_services(overrides: Overrides) -> frozenset[str]:
    """Return the services named by the setting ``splits`` of one tree node."""
    splits = overrides.splits
    return split_services(splits) if are_splits(splits) else frozenset()


def referenced_secrets(overrides: Overrides) -> frozenset[str]:
    """Return the secrets named by the settings of one tree node."""
    named = (overrides.verify_secret, overrides.sign_secret)
    return frozenset(name for name in named if name is not UNSET and name != "")


def _build_index(tree: Tree) -> ServiceIndex:
    by_service: dict[str, set[str]] = defaultdict(set)
    for path in tree.nodes:
        if path != ROOT_PATH:
            by_service[split_path(path).service].add(path)
    return {
        service: _build_branch(service, frozenset(paths), tree.nodes)
        for service, paths in by_service.items()
    }


def _changed_branch(
    service: str,
    former: ServiceBranch,
    nodes_before: dict[str, TreeNode],
    nodes_after: dict[str, TreeNode],
) -> ServiceBranch | None:
    """Return a service's branch after some tree nodes changed, from these nodes alone.

    Return None if the changed nodes no longer use some name or zone: only a scan of all
    nodes of the service shows whether another node uses it.
    """
    before_change = _build_branch(service, frozenset(nodes_before), nodes_before)
    after_change = _build_branch(service, frozenset(nodes_after), nodes_after)
    if not (
        before_change.references <= after_change.references
        and before_change.diversions <= after_change.diversions
        and before_change.secrets <= after_change.secrets
        and before_change.zones <= after_change.zones
    ):
        return None
    routes = dict(former.routes)
    for zone in before_change.routes.keys() | after_change.routes.keys():
        names = routes.get(zone, frozenset()) - before_change.routes.get(zone, frozenset())
        routes[zone] = names | after_change.routes.get(zone, frozenset())
    return ServiceBranch(
        paths=(former.paths - before_change.paths) | after_change.paths,
        routes={zone: names for zone, names in routes.items() if names},
        zones=former.zones | after_change.zones,
        references=former.references | after_change.references,
        diversions=former.diversions | after_change.diversions,
        secrets=former.secrets | after_change.secrets,
    )


def _build_branch(
    service: str, paths: frozenset[str], nodes: dict[str, TreeNode]
) -> ServiceBranch:
    routes: dict[str, set[str]] = defaultdict(set)
    zones: set[str] = set()
    references: set[str] = set()
    diversions: set[str] = set()
    secrets: set[str] = set()
    for path in paths:
        parsed = split_path(path)
        overrides = nodes[path].overrides
        references |= referenced_services(service, overrides)
        diversions |= diverted_services(overrides)
        secrets |= referenced_secrets(overrides)
        if parsed.zone not in ("", ANY_ZONE):
            zones.add(parsed.zone)
        if parsed.route:
            routes[parsed.zone].add(parsed.route)
    return ServiceBranch(
        paths=paths,
        routes={zone: frozenset(names) for zone, names in routes.items()},
        zones=frozenset(zones),
        references=frozenset(references),
        diversions=frozenset(diversions),
        secrets=frozenset(secrets),
    )
