"""Rendezvous hashing: which relay serves which node.

Every node ranks the relays by a hash of both names.  The relays of one zone
share its nodes evenly, and the nodes of a lost relay spread over all others.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from peppershore.process.settings import PeerRelay


def weight(node: str, relay: str) -> int:
    """Give the unsigned 64-bit weight of a pair; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{node}\x00{relay}".encode())


def rank_relays(node: str, zone: str, relays: Iterable[PeerRelay]) -> tuple[PeerRelay, ...]:
    """Order relays for a node: those of its own zone first, then by weight."""

    def position(relay: PeerRelay) -> tuple[bool, int, str]:
        return (relay.zone != zone, -weight(node, relay.name), relay.name)

    return tuple(sorted(relays, key=position))
