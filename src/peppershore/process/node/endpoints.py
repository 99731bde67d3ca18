"""The endpoints that a node knows.

An endpoint describes one back end: its address and state. Its owner, the node co-located
with the back end, orders the states by incarnation and sequence number. A later state
replaces earlier ones.
"""

from __future__ import annotations

from collections import OrderedDict

from peppershore.connection.messages.endpoints import Endpoint, EndpointsChanged
from peppershore.process.endpoints.table import STATE_GONE, endpoints_digest, order_of

MAX_REMEMBERED_GONE = 4_096


class KnownEndpoints:
    """Endpoints of the services that a node may call.

    Endpoints that a message of the relay does not contain are retained. Only a complete
    list removes them, and if it names services, only for these.
    """

    def __init__(self) -> None:
        """Start without endpoints."""
        self._by_node: dict[str, Endpoint] = {}
        self._gone: OrderedDict[str, tuple[int, int]] = OrderedDict()

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All known endpoints that are not gone."""
        return tuple(self._by_node.values())

    @property
    def digest(self) -> int:
        """Digest of all known endpoints."""
        return endpoints_digest(self._by_node.values())

    def take(self, message: EndpointsChanged) -> bool:
        """Apply endpoints from a relay; return whether the known endpoints changed."""
        before = self.endpoints
        for endpoint in message.endpoints:
            self._merge(endpoint)
        if message.complete:
            self._keep_only(message)
        return self.endpoints != before

    def retain_services(self, services: frozenset[str]) -> bool:
        """Drop endpoints of all other services; return whether there were any."""
        dropped = [
            node for node, each in self._by_node.items() if each.service not in services
        ]
        for node in dropped:
            del self._by_node[node]
        return bool(dropped)

    def _merge(self, endpoint: Endpoint) -> None:
        known = self._by_node.get(endpoint.node)
        gone_order = self._gone.get(endpoint.node)
        order = order_of(endpoint)
        if known is not None and order < order_of(known):
            return
        if gone_order is not None and order < gone_order:
            return
        if endpoint.state == STATE_GONE:
            self._by_node.pop(endpoint.node, None)
            self._remember_gone(endpoint.node, order)
            return
        self._gone.pop(endpoint.node, None)
        self._by_node[endpoint.node] = endpoint

    def _keep_only(self, message: EndpointsChanged) -> None:
        listed = frozenset(endpoint.node for endpoint in message.endpoints)
        services = frozenset(message.services)
        for node, endpoint in list(self._by_node.items()):
            concerned = not services or endpoint.service in services
            if concerned and node not in listed:
                del self._by_node[node]

    def _remember_gone(self, node: str, order: tuple[int, int]) -> None:
        self._gone[node] = order
        self._gone.move_to_end(node)
        while len(self._gone) > MAX_REMEMBERED_GONE:
            self._gone.popitem(last=False)
