"""The set of nodes one relay vouches for, with a digest in buckets.

Two relays compare the digest of all, then the buckets, and exchange only those that
differ.  Adding and removing a node costs the same whatever the size of the set.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

BUCKET_COUNT = 32

Order = tuple[int, int]
"""(incarnation, sequence) of a node's endpoint."""


def bucket_of(node: str) -> int:
    """Give the bucket a node's name falls into."""
    return xxhash.xxh3_64_intdigest(node.encode()) % BUCKET_COUNT


def _mark(node: str, order: Order) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}\x00{order[0]}\x00{order[1]}".encode())


class VouchedNodes:
    """Nodes with the endpoint order vouched for."""

    def __init__(self) -> None:
        """Start empty."""
        self._orders: dict[str, Order] = {}
        self._buckets = [0] * BUCKET_COUNT
        self.total = 0
        """Digest of all nodes: equal where every bucket is."""

    def __contains__(self, node: object) -> bool:
        """Tell whether the node is vouched for."""
        return node in self._orders

    def __len__(self) -> int:
        """Count the nodes."""
        return len(self._orders)

    @property
    def nodes(self) -> tuple[str, ...]:
        """All nodes vouched for."""
        return tuple(self._orders)

    @property
    def buckets(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._buckets)

    def add(self, node: str, order: Order) -> None:
        """Vouch for a node's endpoint; an older order is not taken."""
        known = self._orders.get(node)
        if known is not None and known >= order:
            return
        self.remove(node)
        self._orders[node] = order
        self._toggle(node, order)

    def remove(self, node: str) -> bool:
        """Stop vouching for a node; tell whether it was vouched for."""
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
        """Give the nodes that fall into these buckets."""
        wanted = frozenset(buckets)
        return tuple(node for node in self._orders if bucket_of(node) in wanted)

    def differing_buckets(self, other: tuple[int, ...]) -> tuple[int, ...]:
        """Give the buckets whose digest differs from another's."""
        return tuple(
            index
            for index, digest in enumerate(self._buckets)
            if index >= len(other) or other[index] != digest
        )
