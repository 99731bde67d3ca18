"""Send tree changes to nodes: immediately, in batches, or after being held."""

from __future__ import annotations

from peppershore.process.commands import Command, Report
from peppershore.process.relay import notices
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.hold import HoldTracker, ReleasedScope
from peppershore.process.relay.node_service import NodeService
from peppershore.process.relay.tree_follower import TreeChange
from peppershore.version.model import Scope


class Rollout:
    """Tracks scopes whose newest state has not been sent yet."""

    def __init__(
        self, distributor: Distributor, holds: HoldTracker, nodes: NodeService
    ) -> None:
        """Send through ``nodes`` the updates that ``holds`` does not delay."""
        self._distributor = distributor
        self._holds = holds
        self._nodes = nodes
        self._unsent: set[Scope] = set()

    @property
    def is_holding(self) -> bool:
        """Whether any scope is held until a target becomes ready."""
        return bool(self._holds.held)

    def tree_changed(self, change: TreeChange, now: float) -> list[Command]:
        """Record a tree change and report newly held scopes.

        No update is sent before ``flush``.
        """
        self._unsent |= self._distributor.tree_changed(change.version, change.affected)
        out: list[Command] = []
        for held in self._holds.changed(sorted(change.affected), now):
            scope, first = held.scope, held.awaited[0]
            notice = notices.ScopeHeld(
                scope.service, scope.zone, first.route, first.target, held.version
            )
            out.append(Report(notice))
        return out

    def flush(self) -> list[Command]:
        """Send changes that are not held, and answer hellos that waited for a tree."""
        scopes = sorted(self._unsent)
        self._unsent = set()
        out: list[Command] = []
        for scope in scopes:
            out += self._nodes.offer(self._distributor.sessions_of(scope))
        return out + self._nodes.offer(self._distributor.unanswered())

    def release_held(self, now: float) -> list[Command]:
        """Send the held scopes whose targets are ready or whose wait timed out."""
        out: list[Command] = []
        for released in self._holds.due(now):
            out.append(Report(_released(released)))
            sessions = self._distributor.sessions_of(released.held.scope)
            out += self._nodes.offer(sessions)
        return out


def _released(released: ReleasedScope) -> notices.ScopeReleased:
    scope = released.held.scope
    return notices.ScopeReleased(
        scope.service,
        scope.zone,
        released.held.version,
        released.became_ready,
        round(released.waited_seconds * 1_000),
    )
