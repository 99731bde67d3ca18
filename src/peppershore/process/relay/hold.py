"""Delay changes whose routes point to a target without a ready endpoint.

A scope (a service and a zone) identifies the nodes that share one configuration snapshot.

A scope is held as a whole, because a snapshot is sent completely or not at all. It is
released when every awaited target has a ready endpoint, or after a maximum time. Nodes
without a configuration never wait, and nothing is held when the relay loads its first
tree.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from peppershore.process.endpoints.table import EndpointTable
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import (
    Digest,
    Resource,
    RouteResource,
    Scope,
    Update,
    Version,
)
from peppershore.version.resource_codec import decode_resource

ROUTE_PREFIX = "route:"


class AwaitedTarget(msgspec.Struct, frozen=True):
    """A route whose target has no ready endpoint."""

    route: str
    target: str


class HeldScope(msgspec.Struct, frozen=True):
    """A scope whose newest version is held back; ``since`` is monotonic seconds."""

    scope: Scope
    version: Version
    since: float
    awaited: tuple[AwaitedTarget, ...]

    @property
    def reason(self) -> str:
        """Description for operators of what the scope waits for."""
        first = self.awaited[0]
        return f"{first.route} waits for a ready endpoint of {first.target}"


class ReleasedScope(msgspec.Struct, frozen=True):
    """A scope that was held and is now sent to its nodes."""

    held: HeldScope
    became_ready: bool
    waited_seconds: float


class _Released(msgspec.Struct):
    """Latest state released to the nodes of a scope; ``targets`` is keyed by route."""

    digest: Digest
    version: Version
    targets: dict[str, str]


class HoldTracker:
    """Tracks the scopes whose new configuration is held back from their nodes.

    It is held back until the targets of its routes have back ends that are ready, or a
    time-out passes. The state last released to the nodes is tracked for each scope.
    """

    def __init__(
        self, catalog: ScopeCatalog, table: EndpointTable, hold_seconds: float
    ) -> None:
        """Hold scopes for at most ``hold_seconds``; 0 disables holding."""
        self.held: dict[Scope, HeldScope] = {}
        self._catalog = catalog
        self._table = table
        self._hold_seconds = hold_seconds
        self._released: dict[Scope, _Released] = {}

    def use(self, scope: Scope) -> None:
        """Treat a scope's current state as released when its first node connects."""
        if scope in self._released:
            return
        snapshot = self._catalog.snapshot(scope)
        targets = _targets(snapshot.resources.values())
        self._released[scope] = _Released(
            snapshot.digest,
            snapshot.version,
            {name: route_target(route) for name, route in targets.items()},
        )

    def forget(self, scope: Scope) -> None:
        """Remove the state of a scope that has no nodes."""
        self._released.pop(scope, None)
        self.held.pop(scope, None)

    def changed(self, scopes: Iterable[Scope], now: float) -> list[HeldScope]:
        """Hold or release each changed scope; return those newly held."""
        begun: list[HeldScope] = []
        for scope in scopes:
            if scope not in self._released:
                continue
            awaited = self._awaited(scope) if self._hold_seconds > 0 else ()
            before = self.held.pop(scope, None)
            if not awaited:
                self._release(scope)
                continue
            since = now if before is None else before.since
            version = self._catalog.version if before is None else before.version
            self.held[scope] = HeldScope(scope, version, since, awaited)
            if before is None:
                begun.append(self.held[scope])
        return begun

    def due(self, now: float) -> list[ReleasedScope]:
        """Release and return scopes whose targets are ready or whose wait timed out."""
        released: list[ReleasedScope] = []
        for held in list(self.held.values()):
            is_ready = all(self._table.has_ready(each.target) for each in held.awaited)
            waited = now - held.since
            if not is_ready and waited < self._hold_seconds:
                continue
            del self.held[held.scope]
            self._release(held.scope)
            released.append(ReleasedScope(held, is_ready, waited))
        return released

    def _awaited(self, scope: Scope) -> tuple[AwaitedTarget, ...]:
        released = self._released[scope]
        update = self._update(scope, released)
        if update is None or released.version == 0:
            return ()
        awaited: list[AwaitedTarget] = []
        for name, route in _targets(update.changed).items():
            target = route_target(route)
            is_known = released.targets.get(name) == target
            waits = route.settings.require_ready and not route.settings.splits
            if is_known or not waits:
                continue
            if not self._table.has_ready(target):
                awaited.append(AwaitedTarget(name, target))
        return tuple(awaited)

    def _release(self, scope: Scope) -> None:
        released = self._released[scope]
        update = self._update(scope, released)
        if update is None:
            return
        if update.full:
            released.targets.clear()
        for name in update.removed:
            released.targets.pop(name, None)
        for name, route in _targets(update.changed).items():
            released.targets[name] = route_target(route)
        released.digest = update.digest
        released.version = update.version

    def _update(self, scope: Scope, released: _Released) -> Update | None:
        return self._catalog.update_since(scope, released.version, released.digest)


def route_target(route: RouteResource) -> str:
    """Return the service whose back ends receive a route's calls."""
    return route.settings.target or route.service


def _targets(resources: Iterable[Resource]) -> dict[str, RouteResource]:
    """Return the routes among ``resources``, keyed by resource name."""
    routes: dict[str, RouteResource] = {}
    for resource in resources:
        if not resource.name.startswith(ROUTE_PREFIX):
            continue
        content = decode_resource(resource).value_or(None)
        if isinstance(content, RouteResource):
            routes[resource.name] = content
    return routes
