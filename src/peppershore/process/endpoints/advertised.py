"""The set of nodes whose endpoints a relay advertises, with a digest per bucket.

Two relays compare the digest of the complete set, then the digests of the buckets, and
exchange only the buckets that differ. Adding or removing a node takes constant time.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

BUCKET_COUNT = 32

Order = tuple[int, int]
"""The (incarnation, sequence) of a node's endpoint."""


def bucket_of(node: str) -> int:
    """Return the index of the bucket for a node name."""
    return xxhash.xxh3_64_intdigest(node.encode()) % BUCKET_COUNT


def _mark(node: str, order: Order) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}\x00{order[0]}\x00{order[1]}".encode())


class AdvertisedNodes:
    """Nodes that a relay advertises, each with the (incarnation, sequence) of its state."""

    def __init__(self) -> None:
        """Start with an empty set."""
        self._orders: dict[str, Order] = {}
        self._buckets = [0] * BUCKET_COUNT
        self.total = 0
        """Digest of all nodes; equal for two sets whose buckets are all equal."""

    def __contains__(self, node: object) -> bool:
        """Return whether the node is advertised."""
        return node in self._orders

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self._orders)

    @property
    def nodes(self) -> tuple[str, ...]:
        """All nodes that are advertised."""
        return tuple(self._orders)

    @property
    def buckets(self) -> tuple[int, ...]:
        """Digest of each bucket."""
        return tuple(self._buckets)

    def add(self, node: str, order: Order) -> None:
        """Add a node or raise its order; an older or equal order is ignored."""
        known = self._orders.get(node)
        if known is not None and known >= order:
            return
        self.remove(node)
        self._orders[node] = order
        self._toggle(node, order)

    def remove(self, node: str) -> bool:
        """Remove a node; return whether it was present."""
        order = self._orders.pop(node, None)
        if order is None:
            return False
        self._toggle(node, order)
        return True

    def _toggle(self, node: str, order: Order) -> None:
        mark = _mark(node, order)
        self._buckets[bucket_of(node)] ^= mark
        self.total ^= mark

    def in_buckets(self, buckets: Iterable[int]) -> tuple[str, ...]:
        """Return the nodes that belong to these buckets."""
        wanted = frozenset(buckets)
        return tuple(node for node in self._orders if bucket_of(node) in wanted)

    def differing_buckets(self, other: tuple[int, ...]) -> tuple[int, ...]:
        """Return the indexes of the buckets whose digests differ from ``other``."""
        return tuple(
            index
            for index, digest in enumerate(self._buckets)
            if index >= len(other) or other[index] != digest
        )
