"""The resources of each scope, and the scopes that hold a service or secret.

A scope stands for all nodes (proxies) that host the same service in the same zone. They
share one snapshot of the configuration, with the resources that such a node needs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from peppershore.version.encoded import Entry, ServiceGroup
from peppershore.version.model import ROOT_PATH, Scope, Tree, Value
from peppershore.version.resource_tables import (
    GroupKey,
    GroupTable,
    SecretTable,
    TenantTable,
)
from peppershore.version.tree_index import index_of


class ScopeContents(Value, frozen=True):
    """The resources of a scope by name, and the names of its services and secrets.

    ``services`` has the hosted service even if the tree does not have it.
    """

    entries: dict[str, Entry]
    services: frozenset[str]
    secrets: frozenset[str]


class EncodedTables:
    """The tables of encoded resources of the newest tree: services, secrets, tenants."""

    def __init__(self) -> None:
        self.groups = GroupTable()
        self.secrets = SecretTable()
        self.tenants = TenantTable()


def collect_contents(tree: Tree, scope: Scope, tables: EncodedTables) -> ScopeContents:
    """Collect the resources of a scope from ``tables``, whose entries all scopes share.

    Every scope that has any resource has all tenants, because any node may receive a
    call of any tenant.
    """
    groups = tables.groups
    hosted = groups.get(tree, scope.service, scope.zone)
    if hosted is None and not _all_nodes_hold_all(tree):
        return ScopeContents({}, frozenset({scope.service}), frozenset())
    names = _called_services(tree, scope.service, hosted)
    called = [_existing_group(tree, groups, name, scope.zone) for name in names]
    with_routes = called if hosted is None else [hosted, *called]
    entries: dict[str, Entry] = {}
    for group in with_routes:
        for entry in group.entries:
            entries[entry.resource.name] = entry
    services = {scope.service, *names}
    targets = frozenset().union(*(group.targets for group in with_routes))
    for name in sorted(targets - services):
        target = _existing_group(tree, groups, name, scope.zone)
        entries[target.service.resource.name] = target.service
    secret_names = _secrets_of(hosted, with_routes)
    for name in sorted(secret_names):
        secret = tables.secrets.get(tree, name)
        entries[secret.resource.name] = secret
    for tenant in tables.tenants.all(tree).values():
        entries[tenant.resource.name] = tenant
    return ScopeContents(entries, frozenset(services | targets), secret_names)


def _all_nodes_hold_all(tree: Tree) -> bool:
    """Report whether nodes whose service is not in the tree hold every service too."""
    return tree.nodes[ROOT_PATH].overrides.holds_every_service is True


def _called_services(
    tree: Tree, service: str, hosted: ServiceGroup | None
) -> tuple[str, ...]:
    """Return the other services whose routes a node of this service holds."""
    if hosted is None or hosted.holds_every_service:
        return tuple(sorted(index_of(tree).keys() - {service}))
    return hosted.calls


def _existing_group(
    tree: Tree, groups: GroupTable, service: str, zone: str
) -> ServiceGroup:
    group = groups.get(tree, service, zone)
    if group is None:
        raise AssertionError(f"a valid tree names the service {service}, which is absent")
    return group


def _secrets_of(
    hosted: ServiceGroup | None, groups: Iterable[ServiceGroup]
) -> frozenset[str]:
    names = frozenset().union(*(group.verify_secrets for group in groups))
    if hosted is not None and hosted.sign_secret:
        return names | {hosted.sign_secret}
    return names


class HolderIndex:
    """Index of the scopes that hold the resources of a service in a zone, or a secret."""

    def __init__(self) -> None:
        self._contents: dict[Scope, ScopeContents] = {}
        self._by_service: dict[GroupKey, set[Scope]] = defaultdict(set)
        self._by_secret: dict[str, set[Scope]] = defaultdict(set)

    def set(self, scope: Scope, contents: ScopeContents) -> None:
        """Add a scope with its contents, or replace the contents of a known scope."""
        former = self._contents.get(scope)
        is_same = (
            former is not None
            and former.services == contents.services
            and former.secrets == contents.secrets
        )
        self._contents[scope] = contents
        if is_same:
            return
        if former is not None:
            self._unlink(scope, former)
        for service in contents.services:
            self._by_service[GroupKey(service, scope.zone)].add(scope)
        for secret in contents.secrets:
            self._by_secret[secret].add(scope)

    def remove(self, scope: Scope) -> None:
        """Remove a scope from the index."""
        self._unlink(scope, self._contents.pop(scope))

    def services_of(self, scope: Scope) -> frozenset[str]:
        """Return the services that the nodes of a scope hold."""
        return self._contents[scope].services

    def holders_of(
        self, groups: Iterable[GroupKey], secrets: Iterable[str]
    ) -> frozenset[Scope]:
        """Return the scopes that hold any of these groups or any of these secrets.

        A group is the resources of one service in one zone.
        """
        found: set[Scope] = set()
        for key in groups:
            found |= self._by_service.get(key, set())
        for name in secrets:
            found |= self._by_secret.get(name, set())
        return frozenset(found)

    def _unlink(self, scope: Scope, contents: ScopeContents) -> None:
        for service in contents.services:
            key = GroupKey(service, scope.zone)
            self._by_service[key].discard(scope)
            if not self._by_service[key]:
                del self._by_service[key]
        for secret in contents.secrets:
            self._by_secret[secret].discard(scope)
            if not self._by_secret[secret]:
                del self._by_secret[secret]
