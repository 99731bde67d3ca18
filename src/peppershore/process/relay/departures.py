"""Nodes whose session ended and that have not reconnected yet.

Such a node may still serve calls with the configuration it held. A change therefore
counts as in force only when the node is seen again, at this relay or another, or when
it has been away so long that it counts as gone. The rotation of a secret waits much
longer, because a node that verifies tokens may resume after minutes of silence.
"""

from __future__ import annotations

import msgspec

from peppershore.process.relay.session import NodeSession
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Digest, Scope, Version

AWAY_SECONDS = 8.0
HANDOVER_SECONDS = 1.5
"""How long a node seen at another relay still counts here. The other relay reports
progress once a second, and that report must arrive before this relay stops counting
the node."""
VERIFIER_SECONDS = 120.0
"""How long a node that left without notice delays the rotation of a secret.

Safety does not depend on this delay: a node whose configuration was not confirmed for
``request.audience.REFUSAL_FRESHNESS_SECONDS`` does not refuse callers because of an
unknown key. The delay avoids retries at another back end."""
MAX_AWAY = 20_000


class Departure(msgspec.Struct, frozen=True):
    """What a node held when its session ended; times are monotonic seconds.

    The node counts for the version in force until ``until``, and for the rotation of
    secrets until ``verifies_until``.
    """

    node: str
    scope: Scope
    version: Version
    digest: Digest
    until: float
    verifies_until: float


class Departures:
    """Nodes that disconnected from this relay and have not reconnected yet."""

    def __init__(self, catalog: ScopeCatalog) -> None:
        """Start without disconnected nodes.

        ``catalog`` has the current state of each scope, with which the state that a node
        held is compared.
        """
        self._catalog = catalog
        self._away: dict[str, Departure] = {}
        self._ended: set[str] = set()
        """Nodes that no longer count for the version in force."""

    def __len__(self) -> int:
        """Return the number of disconnected nodes."""
        return len(self._away)

    def session_ended(self, session: NodeSession, now: float) -> None:
        """Record a node whose session ended, if it held a configuration."""
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

    def node_reconnected(self, node: str) -> None:
        """Stop counting a node as disconnected: it reconnected to this relay."""
        self._away.pop(node, None)

    def seen_elsewhere(self, node: str, now: float) -> None:
        """Stop counting a node after its new relay has had time to report it."""
        away = self._away.get(node)
        if away is None:
            return
        handed_over = now + HANDOVER_SECONDS
        self._away[node] = msgspec.structs.replace(
            away,
            until=min(away.until, handed_over),
            verifies_until=min(away.verifies_until, handed_over),
        )

    def drop_expired(self, now: float) -> bool:
        """Remove the disconnected nodes whose ``verifies_until`` has passed.

        A node past its ``until``, which is never later, already holds back the version in
        force no more. Return whether a node was removed, or whether the set of nodes past
        ``until`` has changed since the last call.
        """
        ended = {node for node, each in self._away.items() if now >= each.until}
        has_changed = ended != self._ended
        expired = [node for node, each in self._away.items() if now >= each.verifies_until]
        for node in expired:
            del self._away[node]
        self._ended = ended.difference(expired)
        return has_changed or bool(expired)

    def lagging(self, now: float) -> list[Departure]:
        """Return the nodes of ``silent`` that still count for the version in force."""
        return [each for each in self.silent() if now < each.until]

    def silent(self) -> list[Departure]:
        """Return all disconnected nodes that lack a change, lowest version first."""
        behind = [
            each
            for each in self._away.values()
            if self._catalog.digest(each.scope) != each.digest
        ]
        return sorted(behind, key=lambda each: (each.version, each.node))
