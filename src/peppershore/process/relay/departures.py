"""Nodes whose session ended and that have not come back yet.

Such a node may still serve calls by what it held, so a change counts as in
force only when the node is seen again, here or at another relay, or when it has
been away for so long that it counts as gone.  The rotation of a secret waits for
it much longer: a verifier that was silent for minutes may go on at any moment.
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
VERIFIER_SECONDS = 120.0
"""How long a node that left without a word holds up the rotation of a secret.

Safety does not rest on it: a node whose configuration was not confirmed for
``request.audience.REFUSAL_FRESHNESS_SECONDS`` refuses nobody for a key that it
does not know.  The wait spares members the detour over another back end."""
MAX_AWAY = 20_000


class Departure(msgspec.Struct, frozen=True):
    """What a node held when its session ended; times are monotonic seconds.

    It counts for what is in force until ``until``, and for the rotation of secrets
    until ``verifies_until``.
    """

    node: str
    scope: Scope
    version: Version
    digest: Digest
    until: float
    verifies_until: float


class Departures:
    """The nodes that are away."""

    def __init__(self, catalog: ScopeCatalog) -> None:
        """Judge what they hold by a catalog."""
        self._catalog = catalog
        self._away: dict[str, Departure] = {}
        self._ended: set[str] = set()
        """Those that count no more for what is in force."""

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
            now + VERIFIER_SECONDS,
        )

    def came_back(self, node: str) -> None:
        """Forget a node that has a session here again."""
        self._away.pop(node, None)

    def seen_elsewhere(self, node: str, now: float) -> None:
        """Count a node no more once the relay that has it now had time to report."""
        away = self._away.get(node)
        if away is None:
            return
        handed_over = now + HANDOVER_SECONDS
        self._away[node] = msgspec.structs.replace(
            away,
            until=min(away.until, handed_over),
            verifies_until=min(away.verifies_until, handed_over),
        )

    def drop_old(self, now: float) -> bool:
        """Forget nodes that count no more; tell whether a bound of any has passed."""
        ended = {node for node, each in self._away.items() if now >= each.until}
        has_changed = ended != self._ended
        over = [node for node, each in self._away.items() if now >= each.verifies_until]
        for node in over:
            del self._away[node]
        self._ended = ended.difference(over)
        return has_changed or bool(over)

    def lagging(self, now: float) -> list[Departure]:
        """Give the nodes away that lack a change and count for what is in force."""
        return [each for each in self.silent() if now < each.until]

    def silent(self) -> list[Departure]:
        """Give all nodes away that lack a change, the one furthest behind first."""
        behind = [
            each
            for each in self._away.values()
            if self._catalog.digest(each.scope) != each.digest
        ]
        return sorted(behind, key=lambda each: (each.version, each.node))
