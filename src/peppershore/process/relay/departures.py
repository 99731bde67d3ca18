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
HANDOVER_SECONDS = 1.5
"""How long a node seen at another relay still counts here: that relay reports
once a second, and its report must be known before this one counts the node no
more."""
MAX_AWAY = 20_000


class Departure(msgspec.Struct, frozen=True):
    """What a node held when its session ended; counts until ``until`` (monotonic)."""

    node: str
    scope: Scope
    version: Version
    digest: Digest
    until: float


class Departures:
    """The nodes that are away."""

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
            session.node,
            session.scope,
            session.version,
            session.digest,
            now + AWAY_SECONDS,
        )

    def came_back(self, node: str) -> None:
        """Forget a node that has a session here again."""
        self._away.pop(node, None)

    def seen_elsewhere(self, node: str, now: float) -> None:
        """Count a node no more once the relay that has it now had time to report."""
        away = self._away.get(node)
        if away is None or away.until <= now + HANDOVER_SECONDS:
            return
        self._away[node] = msgspec.structs.replace(away, until=now + HANDOVER_SECONDS)

    def drop_old(self, now: float) -> bool:
        """Forget nodes that count no more; tell whether there were any."""
        over = [each.node for each in self._away.values() if now >= each.until]
        for node in over:
            del self._away[node]
        return bool(over)

    def lagging(self) -> list[Departure]:
        """Give the nodes away that lack a change."""
        return [
            each
            for each in self._away.values()
            if self._catalog.digest(each.scope) != each.digest
        ]
