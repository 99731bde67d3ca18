"""Bounded pool of persistent connections to one back end, most recently used first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from peppershore.connection.http_client import ClientConnection

CONNECT_TIMEOUT_SECONDS = 2.0
BOUND_REACHED = "connection bound reached"
IDLE_SECONDS = 20.0
KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""A pooled connection is retired this long before the back end's own idle time-out."""

ConnectOutcome = Callable[[ClientConnection | str], None]
"""Callback that receives the new connection, or the reason for the failure."""


class ConnectionPool:
    """Connections to one address, at most ``bound`` of them open or being opened."""

    def __init__(self, address: str, bound: int) -> None:
        """Start without connections to ``address`` ("IP:port"); allow at most ``bound``."""
        self.address = address
        self.bound = bound
        self._idle: list[ClientConnection] = []
        self._open: set[ClientConnection] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._closed = False

    @property
    def connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + len(self._opening)

    def take(
        self,
        max_age_seconds: float | None = None,
        may_use: Callable[[ClientConnection], bool] = lambda connection: True,
    ) -> ClientConnection | None:
        """Take an idle connection that looks open out of the pool, or return None.

        ``max_age_seconds`` limits how long the connection may have been idle. Those that
        ``may_use`` rejects stay in the pool.
        """
        now = asyncio.get_running_loop().time()
        position = len(self._idle)
        while position:
            position -= 1
            connection = self._idle[position]
            age = now - connection.last_used
            if max_age_seconds is not None and age > max_age_seconds:
                return None
            if not connection.usable or age >= _idle_timeout(connection):
                del self._idle[position]
                self._discard(connection)
            elif may_use(connection):
                del self._idle[position]
                return connection
        return None

    def connect(self, outcome: ConnectOutcome) -> None:
        """Open a connection for the exclusive use of the requester.

        If the pool is full, the connection that has been idle longest is closed to make
        space; if none is idle, ``outcome`` receives ``BOUND_REACHED``.
        """
        if self.connections >= self.bound and self._idle:
            self._discard(self._idle.pop(0))
        if self.connections >= self.bound:
            outcome(BOUND_REACHED)
            return
        task = asyncio.get_running_loop().create_task(self._connect(outcome))
        self._opening.add(task)

    def give_back(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after its exchange.

        Close it instead if it is unusable, above the bound on connections, or the pool is
        closed.
        """
        if self._closed or self.connections > self.bound or not connection.usable:
            self._discard(connection)
            return
        connection.last_used = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def limit(self, bound: int) -> None:
        """Set the maximum number of connections; close excess idle ones at once."""
        self.bound = bound
        while self._idle and self.connections > bound:
            self._discard(self._idle.pop(0))

    def trim(self, now: float) -> None:
        """Close connections that were idle for longer than their idle time-out."""
        while self._idle and now - self._idle[0].last_used > _idle_timeout(self._idle[0]):
            self._discard(self._idle.pop(0))

    def close_idle(self) -> None:
        """Close all idle connections, as when their back end is known to have exited."""
        for connection in self._idle:
            self._discard(connection)
        self._idle.clear()

    def close(self) -> None:
        """Close idle connections now, and busy ones when their exchange is over."""
        self._closed = True
        self.close_idle()

    async def _connect(self, outcome: ConnectOutcome) -> None:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self._lost), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as problem:
            self._opening.discard(task)
            outcome(str(problem) or type(problem).__name__)
            return
        self._opening.discard(task)
        self._open.add(connection)
        outcome(connection)

    def _lost(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _discard(self, connection: ClientConnection) -> None:
        self._open.discard(connection)
        connection.close()


def _idle_timeout(connection: ClientConnection) -> float:
    """Return the idle time-out of a connection in seconds.

    It is the time-out announced by the back end less a margin, at most ``IDLE_SECONDS``.
    """
    keep_alive = connection.keep_alive_seconds
    if keep_alive is None:
        return IDLE_SECONDS
    return min(IDLE_SECONDS, max(0.0, keep_alive - KEEP_ALIVE_MARGIN_SECONDS))
