"""The decoded contents of a snapshot, derived from those of the snapshot before it.

The cost of a new version depends on what changed: the derived data of a snapshot (order
of routes, index of prefixes, number of uses of each name) is updated only for the
resources that changed and not built again from all of them. Former contents are never
changed, because a node may still use them.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

from peppershore.version.active import (
    MatchOrder,
    RouteIndex,
    decode_contents,
    match_order,
)
from peppershore.version.closure import used_names
from peppershore.version.model import (
    Resource,
    ResourceContent,
    RouteResource,
    Scope,
    SecretResource,
    ServiceResource,
    ServiceSettings,
    TenantResource,
)

REBUILD_SHARE = 0.25
"""If a larger share of the resources changes, the contents are rebuilt: sorting once is
cheaper than that many insertions."""


class SnapshotContents:
    """The decoded contents of one snapshot: by name, by type, and routes in match order."""

    __slots__ = (
        "_holding_all",
        "_order",
        "_scope",
        "_uses",
        "by_name",
        "index",
        "lacking",
        "routes",
        "secrets",
        "services",
        "tenants",
    )

    def __init__(self, scope: Scope, resources: Iterable[Resource]) -> None:
        """Decode all resources, which must have been validated before."""
        self._scope = scope
        held = list(resources)
        contents = decode_contents(held)
        self.by_name: dict[str, ResourceContent] = {
            resource.name: content for resource, content in zip(held, contents, strict=True)
        }
        ordered = sorted(
            (
                (match_order(scope.service, each), each)
                for each in contents
                if isinstance(each, RouteResource)
            ),
            key=lambda pair: pair[0],
        )
        self._order: list[MatchOrder] = [order for order, _ in ordered]
        self.routes: list[RouteResource] = [route for _, route in ordered]
        self.index = RouteIndex(self.routes)
        self.services: dict[str, ServiceSettings] = {}
        self.secrets: dict[str, SecretResource] = {}
        self.tenants: dict[str, TenantResource] = {}
        self._holding_all = 0
        self._uses: dict[str, int] = {}
        for content in contents:
            self._update_content(content, 1)
        self.lacking = frozenset(name for name in self._uses if name not in self.by_name)
        """Names of resources that are used but missing from the snapshot."""

    @property
    def is_closed(self) -> bool:
        """Whether no resource that is used is missing; see ``closure.find_gaps``."""
        if not self.by_name:
            return True
        hosts = self._scope.service in self.services or self._holding_all > 0
        return hosts and not self.lacking

    def changed(
        self, removed: Iterable[str], changed: tuple[Resource, ...]
    ) -> SnapshotContents:
        """Return new contents without the resources ``removed`` and with those ``changed``.

        Resources in ``changed`` are added, or replace those of the same name.
        """
        added_contents = decode_contents(changed)
        names = dict.fromkeys((*removed, *(resource.name for resource in changed)))
        removed_contents = [self.by_name[name] for name in names if name in self.by_name]
        copy = self._copy()
        for name in names:
            copy.by_name.pop(name, None)
        for resource, content in zip(changed, added_contents, strict=True):
            copy.by_name[resource.name] = content
        for content in removed_contents:
            copy._remove_content(content)
        for content in added_contents:
            copy._add_content(content)
        copy.index = self.index.changed(
            [each for each in removed_contents if isinstance(each, RouteResource)],
            [each for each in added_contents if isinstance(each, RouteResource)],
            self._scope.service,
        )
        touched = {*names, *self.lacking}
        for content in added_contents:
            touched.update(used_names(self._scope, content))
        copy.lacking = frozenset(
            name for name in touched if copy._uses.get(name) and name not in copy.by_name
        )
        return copy

    def is_rebuild_cheaper(self, changes: int) -> bool:
        """Report whether to rebuild the contents if ``changes`` resources changed.

        Above ``REBUILD_SHARE`` of the resources, a rebuild is cheaper.
        """
        return changes > REBUILD_SHARE * len(self.by_name)

    def _copy(self) -> SnapshotContents:
        copy = SnapshotContents.__new__(SnapshotContents)
        copy._scope = self._scope
        copy.by_name = dict(self.by_name)
        copy._order = list(self._order)
        copy.routes = list(self.routes)
        copy.services = dict(self.services)
        copy.secrets = dict(self.secrets)
        copy.tenants = dict(self.tenants)
        copy._holding_all = self._holding_all
        copy._uses = dict(self._uses)
        return copy

    def _remove_content(self, content: ResourceContent) -> None:
        self._update_content(content, -1)
        if isinstance(content, RouteResource):
            position = bisect_left(self._order, match_order(self._scope.service, content))
            del self._order[position]
            del self.routes[position]

    def _add_content(self, content: ResourceContent) -> None:
        self._update_content(content, 1)
        if isinstance(content, RouteResource):
            order = match_order(self._scope.service, content)
            position = bisect_left(self._order, order)
            self._order.insert(position, order)
            self.routes.insert(position, content)

    def _update_content(self, content: ResourceContent, change: int) -> None:
        """Update the counts of used names, and add or remove a content.

        ``change`` is 1 to add it and -1 to remove it. Routes are only counted here.
        """
        for name in used_names(self._scope, content):
            self._uses[name] = self._uses.get(name, 0) + change
        if isinstance(content, ServiceResource):
            self._holding_all += change * content.settings.holds_every_service
            if change > 0:
                self.services[content.service] = content.settings
            else:
                del self.services[content.service]
        elif isinstance(content, SecretResource):
            if change > 0:
                self.secrets[content.name] = content
            else:
                del self.secrets[content.name]
        elif isinstance(content, TenantResource):
            if change > 0:
                self.tenants[content.name] = content
            else:
                del self.tenants[content.name]
