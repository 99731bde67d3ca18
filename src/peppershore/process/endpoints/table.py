"""The live endpoint table: the newest known state of every back end.

States of a back end are ordered by the (incarnation, sequence) of its node. A hidden
entry is one that no relay advertises; nodes see it as gone until a relay advertises it
again.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

from peppershore.connection.messages.endpoints import Endpoint

STATE_WARMING = "warming"
STATE_READY = "ready"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"

TOMBSTONE_SECONDS = 600.0
"""How long an endpoint in state gone, or a hidden one, is remembered, so that an old state
of it that arrives late can't restore it."""

_ENCODER = msgspec.msgpack.Encoder()


def order_of(endpoint: Endpoint) -> tuple[int, int]:
    """Return the (incarnation, sequence) that orders the states of a back end."""
    return (endpoint.incarnation, endpoint.sequence)


def as_gone(endpoint: Endpoint) -> Endpoint:
    """Return a copy of the endpoint in state gone, which receives no calls."""
    return msgspec.structs.replace(endpoint, state=STATE_GONE)


def endpoint_digest(endpoint: Endpoint) -> int:
    """Return an unsigned 64-bit digest of an endpoint's state."""
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(endpoint))


def endpoints_digest(endpoints: Iterable[Endpoint]) -> int:
    """Return a digest of a set of endpoints, independent of their order."""
    digest = 0
    for endpoint in endpoints:
        digest ^= endpoint_digest(endpoint)
    return digest


class EndpointTable:
    """All endpoints that a relay knows, indexed by node and by service."""

    def __init__(self) -> None:
        """Start with an empty table."""
        self._by_node: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}
        self._service_digests: dict[str, int] = {}
        self._hidden: set[str] = set()
        self._tombstones: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of entries, including hidden ones and tombstones."""
        return len(self._by_node)

    def get(self, node: str) -> Endpoint | None:
        """Return the newest known state of a node's back end, or None."""
        return self._by_node.get(node)

    def merge(self, endpoint: Endpoint, now: float) -> bool:
        """Store a state if it is newer than the known one; return whether it was."""
        known = self._by_node.get(endpoint.node)
        if known is not None and order_of(endpoint) <= order_of(known):
            return False
        if known is not None:
            self._forget(known)
        self._by_node[endpoint.node] = endpoint
        self._by_service.setdefault(endpoint.service, {})[endpoint.node] = endpoint
        if endpoint.state == STATE_GONE:
            self._tombstones[endpoint.node] = now
        else:
            self._toggle(endpoint)
        return True

    def hide(self, node: str, now: float) -> Endpoint | None:
        """Hide a node's endpoint; return its gone state to send to nodes.

        Return None if the endpoint is unknown, gone or already hidden.
        """
        endpoint = self._by_node.get(node)
        if endpoint is None or not self._is_shown(endpoint):
            return None
        self._toggle(endpoint)
        self._hidden.add(node)
        self._tombstones[node] = now
        return as_gone(endpoint)

    def reveal(self, node: str) -> Endpoint | None:
        """Show a hidden endpoint again; return its state to send to nodes.

        Return None if the endpoint is not hidden.
        """
        if node not in self._hidden:
            return None
        endpoint = self._by_node[node]
        self._hidden.discard(node)
        self._tombstones.pop(node, None)
        self._toggle(endpoint)
        return endpoint

    def shown(self, services: Iterable[str]) -> tuple[Endpoint, ...]:
        """Return the endpoints of these services that are neither gone nor hidden."""
        return tuple(
            endpoint
            for service in services
            for endpoint in self._by_service.get(service, {}).values()
            if self._is_shown(endpoint)
        )

    def digest(self, services: Iterable[str]) -> int:
        """Return the digest of ``shown(services)``.

        The cost does not depend on the number of endpoints.
        """
        digest = 0
        for service in services:
            digest ^= self._service_digests.get(service, 0)
        return digest

    def has_ready(self, service: str) -> bool:
        """Return whether any visible back end of the service is ready for calls."""
        return any(
            endpoint.state == STATE_READY and endpoint.node not in self._hidden
            for endpoint in self._by_service.get(service, {}).values()
        )

    def drop_old_tombstones(self, now: float) -> None:
        """Remove endpoints that have been gone or hidden for ``TOMBSTONE_SECONDS``."""
        while self._tombstones:
            node, since = next(iter(self._tombstones.items()))
            if now - since < TOMBSTONE_SECONDS:
                return
            self._forget(self._by_node[node])

    def _is_shown(self, endpoint: Endpoint) -> bool:
        return endpoint.state != STATE_GONE and endpoint.node not in self._hidden

    def _toggle(self, endpoint: Endpoint) -> None:
        known = self._service_digests.get(endpoint.service, 0)
        self._service_digests[endpoint.service] = known ^ endpoint_digest(endpoint)

    def _forget(self, endpoint: Endpoint) -> None:
        if self._is_shown(endpoint):
            self._toggle(endpoint)
        del self._by_node[endpoint.node]
        del self._by_service[endpoint.service][endpoint.node]
        self._hidden.discard(endpoint.node)
        self._tombstones.pop(endpoint.node, None)
