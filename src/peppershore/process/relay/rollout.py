"""How a change of the tree goes out to the nodes: batched, held, or at once."""

from __future__ import annotations

from peppershore.process.commands import Command, Report
from peppershore.process.relay import notices
from peppershore.process.relay.distribution import Distributor
from peppershore.process.relay.hold import HoldBook, ReleasedScope
from peppershore.process.relay.node_service import NodeService
from peppershore.process.relay.tree_follower import TreeChange
from peppershore.version.model import Scope


class Rollout:
    """Scopes whose newest state is yet to be sent."""

    def __init__(
        self, distributor: Distributor, holds: HoldBook, nodes: NodeService
    ) -> None:
        """Send through ``nodes``."""
        self._distributor = distributor
        self._holds = holds
        self._nodes = nodes
        self._unsent: set[Scope] = set()

    @property
    def is_holding(self) -> bool:
        """Whether some scope waits for a target to become ready."""
        return bool(self._holds.held)

    def tree_changed(self, change: TreeChange, now: float) -> list[Command]:
        """Note a change; nothing is sent before ``flush``."""
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
        """Send what is not held, and answer hellos that had to wait for a tree."""
        scopes = sorted(self._unsent)
        self._unsent = set()
        out: list[Command] = []
        for scope in scopes:
            out += self._nodes.offer(self._distributor.sessions_of(scope))
        return out + self._nodes.offer(self._distributor.unanswered())

    def release_held(self, now: float) -> list[Command]:
        """Send the scopes whose targets are ready or whose bound has passed."""
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
