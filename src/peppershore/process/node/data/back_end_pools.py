"""Connection pools of this node to back ends, by address."""

from __future__ import annotations

from peppershore.connection.http_pool import ConnectionPool
from peppershore.connection.messages.endpoints import Endpoint


class BackEndPools:
    """A connection pool for each back end; a pool for lent slots is limited by the loan."""

    def __init__(self) -> None:
        """Start without pools."""
        self._pools: dict[str, ConnectionPool] = {}
        self._borrowed: dict[str, ConnectionPool] = {}

    def pool(self, endpoint: Endpoint) -> ConnectionPool:
        """Return the pool of a back end whose connections no owner limits."""
        pool = self._pools.get(endpoint.address)
        if pool is None:
            pool = ConnectionPool(endpoint.address, endpoint.connections)
            self._pools[endpoint.address] = pool
        return pool

    def borrowed(self, endpoint: Endpoint, allowance: int) -> ConnectionPool:
        """Return the pool to another node's back end: one connection for each lent slot.

        This bounds the back end's connections from all nodes together.
        """
        pool = self.pool(endpoint)
        self._borrowed[endpoint.owner_address] = pool
        pool.limit(allowance)
        return pool

    def limit_borrowed(self, owner_address: str, allowance: int) -> None:
        """Limit a pool to a changed loan, and close the connections above it."""
        pool = self._borrowed.get(owner_address)
        if pool is not None:
            pool.limit(allowance)

    def keep_only(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Close the pools of back ends that are not among ``endpoints``."""
        addresses = {endpoint.address for endpoint in endpoints}
        for address in [known for known in self._pools if known not in addresses]:
            self._pools.pop(address).close()
        owners = {endpoint.owner_address for endpoint in endpoints}
        for owner in [known for known in self._borrowed if known not in owners]:
            del self._borrowed[owner]

    def trim(self, now: float) -> None:
        """Close connections that were idle for too long."""
        for pool in self._pools.values():
            pool.trim(now)

    def close(self) -> None:
        """Close idle connections now, and those in use once their exchange is over."""
        for pool in self._pools.values():
            pool.close()
