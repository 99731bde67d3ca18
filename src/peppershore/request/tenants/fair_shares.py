"""Start-time fair queueing of the waiting calls of one rank, over their tenants.

Calls of one rank have the same class and priority, and all or none of them are retries by
their callers. A ticket stands for one waiting call.

Each tenant has its own queue, ordered by deadline. The tenant with the smallest virtual
time goes first, and a call advances its tenant's time by one divided by the tenant's
weight. Only served calls cost: one that is withdrawn or refused does not. A tenant whose
queue was empty starts at the virtual time of the tenant served last, so it neither saves up
credit nor pays for what it got while slots were free. Calls without a tenant form one
queue, so that among themselves they are ordered by deadline.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

MAX_STALE_ENTRIES = 16
"""Number of withdrawn tickets that a queue may retain, however few wait in it."""


class QueuedTicket(Protocol):
    """The attributes of a ticket that a queue needs."""

    number: int
    deadline: float
    waiting: bool
    tenant: str


Waiter = TypeVar("Waiter", bound=QueuedTicket)

WeightOf = Callable[[str], float]
"""Returns a tenant's share relative to the others, above 0."""


def equal_weight(tenant: str) -> float:
    """Return the same share for all tenants."""
    return 1.0


class TenantQueue(Generic[Waiter]):
    """The waiting tickets of one tenant, by deadline; ``time`` is its virtual time."""

    __slots__ = ("_heap", "time", "waiting")

    def __init__(self, time: float) -> None:
        """Start without tickets, at the virtual time ``time``."""
        self.time = time
        self.waiting = 0
        self._heap: list[tuple[float, int, Waiter]] = []

    def push(self, ticket: Waiter) -> None:
        """Add a waiting ticket."""
        heapq.heappush(self._heap, (ticket.deadline, ticket.number, ticket))
        self.waiting += 1

    def left(self) -> None:
        """Record that a ticket no longer waits.

        Purge the entries of such tickets once they are the majority.
        """
        self.waiting -= 1
        stale = len(self._heap) - self.waiting
        if stale > MAX_STALE_ENTRIES and stale * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].waiting]
            heapq.heapify(self._heap)

    def first(self) -> Waiter | None:
        """Return the ticket with the earliest deadline, or None."""
        heap = self._heap
        while heap and not heap[0][2].waiting:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def last(self) -> Waiter:
        """Return the waiting ticket with the latest deadline."""
        return max(entry for entry in self._heap if entry[2].waiting)[2]

    def due_by(self, deadline: float) -> int:
        """Return the number of waiting tickets with this deadline or an earlier one."""
        return sum(1 for due, _, ticket in self._heap if due <= deadline and ticket.waiting)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiting tickets."""
        return (ticket for _, _, ticket in self._heap if ticket.waiting)


class FairQueue(Generic[Waiter]):
    """The waiting tickets of one rank, with a queue per tenant."""

    __slots__ = ("_idle_tenant_times", "_tenants", "_time", "_weight_of", "waiting")

    def __init__(self, weight_of: WeightOf = equal_weight) -> None:
        """Start without tickets; ``weight_of`` returns a tenant's share."""
        self.waiting = 0
        self._weight_of = weight_of
        self._time = 0.0
        self._tenants: dict[str, TenantQueue[Waiter]] = {}
        self._idle_tenant_times: dict[str, float] = {}

    def push(self, ticket: Waiter) -> None:
        """Add a waiting ticket."""
        queue = self._tenants.get(ticket.tenant)
        if queue is None:
            queue = TenantQueue[Waiter](self._start_time(ticket.tenant))
            self._idle_tenant_times.pop(ticket.tenant, None)
            self._tenants[ticket.tenant] = queue
        queue.push(ticket)
        self.waiting += 1

    def left(self, ticket: Waiter) -> None:
        """Record that a ticket no longer waits."""
        queue = self._tenants[ticket.tenant]
        queue.left()
        self.waiting -= 1
        if not queue.waiting:
            self._remember_idle(ticket.tenant, queue)
        if not self.waiting:
            self._idle_tenant_times.clear()
            self._time = 0.0

    def served(self, ticket: Waiter) -> None:
        """Advance the tenant's virtual time for a ticket that is about to get its slot."""
        queue = self._tenants[ticket.tenant]
        self._time = max(self._time, queue.time)
        queue.time += 1.0 / self._weight_of(ticket.tenant)

    def first(self) -> Waiter | None:
        """Return the ticket to serve next, or None."""
        if len(self._tenants) == 1:
            return next(iter(self._tenants.values())).first()
        if not self._tenants:
            return None
        queues = self._tenants.values()
        least = min(queue.time for queue in queues)
        firsts = [queue.first() for queue in queues if queue.time == least]
        waiting = [ticket for ticket in firsts if ticket is not None]
        return min(waiting, key=lambda ticket: (ticket.deadline, ticket.number))

    def last(self) -> Waiter:
        """Return the ticket to evict: the one with the latest deadline of one tenant.

        That tenant has the most tickets waiting in proportion to its weight.
        """
        return self._tenants[max(self._tenants, key=self._held)].last()

    def would_hold_less(self, tenant: str, other: str) -> bool:
        """Report whether a tenant with one more ticket would have fewer than another one.

        Both numbers are divided by the tenants' weights.
        """
        queue = self._tenants.get(tenant)
        waiting = queue.waiting if queue is not None else 0
        return tenant != other and (waiting + 1) / self._weight_of(tenant) < self._held(
            other
        )

    def ahead_of(self, tenant: str, deadline: float) -> int:
        """Return how many tickets go before one that a tenant would add now."""
        own = self._tenants.get(tenant)
        ahead = 0 if own is None else own.due_by(deadline)
        if len(self._tenants) == (own is not None):
            return ahead
        begins = self._start_time(tenant) if own is None else own.time
        turn = begins + ahead / self._weight_of(tenant)
        for name, queue in self._tenants.items():
            if name != tenant and queue.time < turn:
                before = math.ceil((turn - queue.time) * self._weight_of(name))
                ahead += min(queue.waiting, before)
        return ahead

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the waiting tickets."""
        for queue in self._tenants.values():
            yield from queue

    # --- internal

    def _held(self, tenant: str) -> float:
        return self._tenants[tenant].waiting / self._weight_of(tenant)

    def _start_time(self, tenant: str) -> float:
        return max(self._time, self._idle_tenant_times.get(tenant, 0.0))

    def _remember_idle(self, tenant: str, queue: TenantQueue[Waiter]) -> None:
        """Remove a tenant's empty queue.

        Retain its virtual time if it is ahead, since the tenant still has to pay for it.
        """
        del self._tenants[tenant]
        if queue.time > self._time:
            self._idle_tenant_times[tenant] = queue.time
