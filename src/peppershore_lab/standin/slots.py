"""Slots of a back end and the bounded queue before them."""

from __future__ import annotations

import asyncio
from collections import deque


class Slots:
    """At most ``slots`` requests run at once; at most ``queue_limit`` wait."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        """Start with all slots free."""
        self._slots = slots
        self._queue_limit = queue_limit
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._idle = asyncio.Event()
        self._idle.set()
        self.running = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return sum(1 for waiter in self._waiters if not waiter.done())

    @property
    def may_enter(self) -> bool:
        """Whether a slot or a place in the queue is free."""
        return self.running < self._slots or self.waiting < self._queue_limit

    async def enter(self) -> None:
        """Take a slot, waiting for one in order of arrival."""
        self._idle.clear()
        if self.running < self._slots and not self._waiters:
            self.running += 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def leave(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self._grant()

    def resize(self, slots: int, queue_limit: int) -> None:
        """Change the bounds; what runs goes on."""
        self._slots = slots
        self._queue_limit = queue_limit
        self._grant()

    async def idle(self) -> None:
        """Wait until nothing runs or waits."""
        await self._idle.wait()

    def _abandon(self, waiter: asyncio.Future[None]) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if waiter.done() and not waiter.cancelled():
            self.leave()
            return
        self._grant()

    def _grant(self) -> None:
        while self.running < self._slots and self._waiters:
            waiter = self._waiters.popleft()
            if waiter.done():
                continue
            self.running += 1
            waiter.set_result(None)
        if self.running == 0 and not self._waiters:
            self._idle.set()
