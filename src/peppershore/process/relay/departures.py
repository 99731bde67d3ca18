"""Nodes whose session ended and that have not come back yet.

Such a node may still serve calls by what it held, so a change counts as in
force only when the node is seen again, here or at another relay, or when it has
been away for so long that it counts as gone.
"""

from __future__ import annotations

import msgspec

from peppershore.process.relay.session import NodeSession
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Digest, Scope, Version

AWAY_SECONDS = 8.0
MAX_AWAY = 20_000


class Departure(msgspec.Struct, frozen=True):
    """What a node held when its session ended, at monotonic seconds ``at``."""

    node: str
    scope: Scope
    version: Version
    digest: Digest
    at: float


class Departures:
    """The nodes that are away, oldest first."""

    def __init__(self, catalog: ScopeCatalog) -> None:
        """Judge what they hold by a catalog."""
        self._catalog = catalog
        self._away: dict[str, Departure] = {}

    def __len__(self) -> int:
        """Count the nodes that are away."""
        return len(self._away)

    def left(self, session: NodeSession, now: float) -> None:
        """Note a node whose session ended, if it held anything."""
        self._away.pop(session.node, None)
        if session.version == 0 or len(self._away) >= MAX_AWAY:
            return
        self._away[session.node] = Departure(
            session.node, session.scope, session.version, session.digest, now
        )

    def seen(self, node: str) -> None:
        """Forget a node that is back, or at another relay, or stopped as planned."""
        self._away.pop(node, None)

    def drop_old(self, now: float) -> bool:
        """Forget nodes that count as gone; tell whether there were any."""
        dropped = False
        while self._away:
            oldest = next(iter(self._away.values()))
            if now - oldest.at < AWAY_SECONDS:
                break
            del self._away[oldest.node]
            dropped = True
        return dropped

    def lagging(self) -> list[Departure]:
        """Give the nodes away that lack a change."""
        return [
            each
            for each in self._away.values()
            if self._catalog.digest(each.scope) != each.digest
        ]
