"""Rendezvous hashing, by which each node chooses the relay that serves it.

Every node ranks the relays by a hash of both names. The relays of a zone therefore share
its nodes evenly, and the nodes of a failed relay spread over all the others.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from peppershore.process.settings import PeerRelay


def weight(node: str, relay: str) -> int:
    """Return a hash of both names as an unsigned 64-bit weight.

    A node prefers the relay with the highest weight.
    """
    return xxhash.xxh3_64_intdigest(f"{node}\x00{relay}".encode())


def rank_relays(node: str, zone: str, relays: Iterable[PeerRelay]) -> tuple[PeerRelay, ...]:
    """Return the relays in the node's order of preference.

    Relays in the node's zone come first; within each group the highest weight is first.
    """

    def sort_key(relay: PeerRelay) -> tuple[bool, int, str]:
        return (relay.zone != zone, -weight(node, relay.name), relay.name)

    return tuple(sorted(relays, key=sort_key))
