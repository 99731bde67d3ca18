"""An index of a tree by service, derived once and kept with the tree.

A tree maps paths to nodes.  Validation and resolution ask by service: which
routes has it in a zone, which services and secrets do its nodes name.  The
index answers without a walk over the whole tree, and the index of an edited
tree shares the branches of all services the edit did not touch.
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
    """What the nodes of one service say, over all zones.

    ``routes`` maps a zone (also "*") to the routes its nodes name;
    ``references`` are the other services named by ``calls`` and ``target``;
    ``diversions`` those that splits name: a call that is sent to another service
    instead makes no chain of calls, so they may form cycles.
    """

    paths: frozenset[str]
    routes: dict[str, frozenset[str]]
    zones: frozenset[str]
    references: frozenset[str]
    diversions: frozenset[str]
    secrets: frozenset[str]


ServiceIndex = dict[str, ServiceBranch]


def split_path(path: str) -> TreePath:
    """Split the path of a node without a check; ``parse_path`` checks it."""
    return TreePath(*path.strip("/").split("/")[:MAXIMUM_SEGMENTS])


def index_of(tree: Tree) -> ServiceIndex:
    """Give the index of a tree, building it the first time."""
    index: ServiceIndex | None = tree.__dict__.get(_INDEX_ATTRIBUTE)
    if index is None:
        index = _build_index(tree)
        tree.__dict__[_INDEX_ATTRIBUTE] = index
    return index


def derive_index(before: Tree, after: Tree, changed_paths: Iterable[str]) -> ServiceIndex:
    """Index an edited tree from the index of the tree before the edit."""
    index = dict(index_of(before))
    by_service: dict[str, set[str]] = defaultdict(set)
    for path in changed_paths:
        if path != ROOT_PATH:
            by_service[split_path(path).service].add(path)
    for service, changed in by_service.items():
        branch = index.get(service)
        known = branch.paths if branch is not None else frozenset()
        gone = frozenset(path for path in changed if path not in after.nodes)
        kept = (known | changed) - gone
        if not kept:
            index.pop(service, None)
            continue
        was = {path: before.nodes[path] for path in changed if path in before.nodes}
        now = {path: after.nodes[path] for path in changed - gone}
        derived = None if branch is None else _changed_branch(service, branch, was, now)
        index[service] = derived or _build_branch(service, kept, after.nodes)
    after.__dict__[_INDEX_ATTRIBUTE] = index
    return index


def referenced_services(service: str, overrides: Overrides) -> frozenset[str]:
    """Give the services, other than its own, that one node names.

    A call of a service to itself counts, a route to its own service does not.
    """
    names: set[str] = set()
    if overrides.calls is not UNSET:
        names.update(overrides.calls)
    if overrides.target is not UNSET and overrides.target not in ("", service):
        names.add(overrides.target)
    return frozenset(names)


def diverted_services(overrides: Overrides) -> frozenset[str]:
    """Give the services that one node's splits name."""
    splits = overrides.splits
    return split_services(splits) if are_splits(splits) else frozenset()


def referenced_secrets(overrides: Overrides) -> frozenset[str]:
    """Give the secrets that one node names."""
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
    was: dict[str, TreeNode],
    now: dict[str, TreeNode],
) -> ServiceBranch | None:
    """Give a branch after some of its nodes changed, at the cost of those alone.

    None where a name or zone that the changed nodes no longer use may be used by none:
    only a walk over all nodes tells.
    """
    then = _build_branch(service, frozenset(was), was)
    here = _build_branch(service, frozenset(now), now)
    if not (
        then.references <= here.references
        and then.diversions <= here.diversions
        and then.secrets <= here.secrets
        and then.zones <= here.zones
    ):
        return None
    routes = dict(former.routes)
    for zone in then.routes.keys() | here.routes.keys():
        names = routes.get(zone, frozenset()) - then.routes.get(zone, frozenset())
        routes[zone] = names | here.routes.get(zone, frozenset())
    return ServiceBranch(
        paths=(former.paths - then.paths) | here.paths,
        routes={zone: names for zone, names in routes.items() if names},
        zones=former.zones | here.zones,
        references=former.references | here.references,
        diversions=former.diversions | here.diversions,
        secrets=former.secrets | here.secrets,
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
