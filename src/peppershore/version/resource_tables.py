"""Encoded resources of the newest tree: by service and zone, by secret and by tenant.

The tables are filled on demand, and refreshed where an edit touched the tree. An entry
whose bytes did not change remains the same object, so that a change is found by
identity.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from operator import is_

from peppershore.version.encoded import (
    Entry,
    FormerGroups,
    ServiceGroup,
    encode_group,
    encode_secret,
    encode_tenant,
    overrides_in_zone,
)
from peppershore.version.model import ANY_ZONE, Tree, Value

TouchedZones = dict[str, frozenset[str]]
"""Zones in which tree nodes of a service changed, by service; "*" means all zones."""

_GroupsByZone = dict[str, ServiceGroup | None]


class GroupKey(Value, frozen=True):
    """Key of the group of resources of one service in one zone."""

    service: str
    zone: str


class GroupTable:
    """Groups of a service and its routes, encoded, by service and zone.

    The group is None for a service that the tree does not have.
    """

    def __init__(self) -> None:
        self._groups: dict[str, _GroupsByZone] = defaultdict(dict)

    @property
    def services(self) -> frozenset[str]:
        """Services requested in any zone, also those that the tree does not have."""
        return frozenset(self._groups)

    def get(self, tree: Tree, service: str, zone: str) -> ServiceGroup | None:
        """Return the group of a service in a zone; encode it at the first request.

        Return None if the tree does not have the service.
        """
        groups = self._groups[service]
        if zone not in groups:
            former = _distinct_groups(groups)
            groups[zone] = _encode_in_zone(tree, service, zone, groups, former)
        return groups[zone]

    def refresh(self, tree: Tree, touched: TouchedZones) -> set[GroupKey]:
        """Encode again the known groups that an edit touched; return those that changed."""
        changed: set[GroupKey] = set()
        for service, zones in touched.items():
            former = self._groups.get(service)
            if former is not None:
                stale = former if ANY_ZONE in zones else zones & former.keys()
                changed |= self._refresh_service(tree, service, frozenset(stale))
        return changed

    def _refresh_service(
        self, tree: Tree, service: str, stale: frozenset[str]
    ) -> set[GroupKey]:
        former = self._groups[service]
        groups = {zone: group for zone, group in former.items() if zone not in stale}
        changed = set()
        for zone in stale:
            if zone not in groups:
                known = [*_distinct_groups(former), *_distinct_groups(groups)]
                groups[zone] = _encode_in_zone(tree, service, zone, groups, known)
            if _has_identical_entries(former[zone], groups[zone]):
                groups[zone] = former[zone]
            else:
                changed.add(GroupKey(service, zone))
        self._groups[service] = groups
        return changed


class SecretTable:
    """Encoded secrets; the table has only those that were requested."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the secrets in the table."""
        return frozenset(self._entries)

    def get(self, tree: Tree, name: str) -> Entry:
        """Return the entry of a secret of the tree; encode it at the first request."""
        entry = self._entries.get(name)
        if entry is None:
            entry = encode_secret(name, tree.secrets[name], None)
            self._entries[name] = entry
        return entry

    def refresh(self, tree: Tree, names: Iterable[str]) -> set[str]:
        """Encode again those of ``names`` that the table has.

        Return the names of the secrets that changed or were removed.
        """
        changed = set()
        for name in names:
            former = self._entries.pop(name, None)
            if former is None:
                continue
            if name in tree.secrets:
                self._entries[name] = encode_secret(name, tree.secrets[name], former)
            if self._entries.get(name) is not former:
                changed.add(name)
        return changed


class TenantTable:
    """Encoded tenants; every scope that has any resource has all of them."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] | None = None

    def all(self, tree: Tree) -> dict[str, Entry]:
        """Return all tenants of the tree by name; encode them at the first request."""
        if self._entries is None:
            self._entries = {name: encode_tenant(tree, name, None) for name in tree.tenants}
        return self._entries

    def refresh(self, tree: Tree, names: Iterable[str]) -> bool:
        """Encode these tenants again; report whether any was changed, added or removed.

        Nothing is encoded, and the result is False, before the first request for tenants.
        """
        if self._entries is None:
            return False
        entries = dict(self._entries)
        for name in names:
            former = entries.pop(name, None)
            if name in tree.tenants:
                entries[name] = encode_tenant(tree, name, former)
        return self._replace(entries)

    def refresh_all(self, tree: Tree) -> bool:
        """Encode all tenants again; report whether any was changed, added or removed."""
        known = self._entries or {}
        return self.refresh(tree, known.keys() | tree.tenants.keys())

    def _replace(self, entries: dict[str, Entry]) -> bool:
        former, self._entries = self._entries or {}, entries
        if former.keys() != entries.keys():
            return True
        return any(entries[name] is not entry for name, entry in former.items())


def _encode_in_zone(
    tree: Tree, service: str, zone: str, groups: _GroupsByZone, former: FormerGroups
) -> ServiceGroup | None:
    """Return the group of a service in a zone.

    If the zone overrides nothing, that is the group of "any zone".
    """
    if zone == ANY_ZONE or overrides_in_zone(tree, service, zone):
        return encode_group(tree, service, zone, former)
    if ANY_ZONE not in groups:
        groups[ANY_ZONE] = encode_group(tree, service, ANY_ZONE, former)
    return groups[ANY_ZONE]


def _distinct_groups(groups: _GroupsByZone) -> list[ServiceGroup]:
    """Return the distinct groups of a service; zones without overrides share one."""
    found = {id(group): group for group in groups.values() if group is not None}
    return list(found.values())


def _has_identical_entries(former: ServiceGroup | None, now: ServiceGroup | None) -> bool:
    """Report whether two groups consist of the same entry objects."""
    if former is None or now is None:
        return former is now
    if former is now:
        return True
    one, other = former.entries, now.entries
    return len(one) == len(other) and all(map(is_, one, other))
