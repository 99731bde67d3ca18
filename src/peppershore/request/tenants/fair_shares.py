"""Calls of one rank in line: start-time fair queueing over the tenants who wait.

Each tenant has its own line, by deadline.  The one whose virtual time is least goes
first, and a call moves its tenant's time on by one over the tenant's weight.  Only what
is served costs: a call that is withdrawn or refused does not.  A tenant that had nothing
in line begins at the time of whoever was served last, so it neither saves up for later
nor pays for what it had while there was room.  Calls without a tenant are one line, so
that among themselves they go by deadline.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

MAX_STALE_ENTRIES = 16
"""Withdrawn tickets that a line keeps, however few wait in it."""


class QueuedTicket(Protocol):
    """What a line must know of a ticket."""

    number: int
    deadline: float
    waiting: bool
    tenant: str


Waiter = TypeVar("Waiter", bound=QueuedTicket)

WeightOf = Callable[[str], float]
"""Gives a tenant's share against those of others, above 0."""


def equal_weight(tenant: str) -> float:
    """Give all tenants the same share."""
    return 1.0


class TenantQueue(Generic[Waiter]):
    """The waiting tickets of one tenant, by deadline; ``time`` is virtual."""

    __slots__ = ("_heap", "time", "waiting")

    def __init__(self, time: float) -> None:
        """Begin without tickets."""
        self.time = time
        self.waiting = 0
        self._heap: list[tuple[float, int, Waiter]] = []

    def push(self, ticket: Waiter) -> None:
        """Add a ticket that waits."""
        heapq.heappush(self._heap, (ticket.deadline, ticket.number, ticket))
        self.waiting += 1

    def left(self) -> None:
        """A ticket waits no more; drop such once they are the larger part."""
        self.waiting -= 1
        gone = len(self._heap) - self.waiting
        if gone > MAX_STALE_ENTRIES and gone * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].waiting]
            heapq.heapify(self._heap)

    def first(self) -> Waiter | None:
        """Give the ticket with the earliest deadline."""
        heap = self._heap
        while heap and not heap[0][2].waiting:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def last(self) -> Waiter:
        """Give the waiting ticket with the latest deadline."""
        return max(entry for entry in self._heap if entry[2].waiting)[2]

    def due_by(self, deadline: float) -> int:
        """Give how many tickets are due then or before."""
        return sum(1 for due, _, ticket in self._heap if due <= deadline and ticket.waiting)

    def __iter__(self) -> Iterator[Waiter]:
        """Give the waiting tickets."""
        return (ticket for _, _, ticket in self._heap if ticket.waiting)


class FairQueue(Generic[Waiter]):
    """The waiting tickets of one rank."""

    __slots__ = ("_idle_tenant_times", "_tenants", "_time", "_weight_of", "waiting")

    def __init__(self, weight_of: WeightOf = equal_weight) -> None:
        """Begin without tickets."""
        self.waiting = 0
        self._weight_of = weight_of
        self._time = 0.0
        self._tenants: dict[str, TenantQueue[Waiter]] = {}
        self._idle_tenant_times: dict[str, float] = {}

    def push(self, ticket: Waiter) -> None:
        """Add a ticket that waits."""
        line = self._tenants.get(ticket.tenant)
        if line is None:
            line = TenantQueue[Waiter](self._start_time(ticket.tenant))
            self._idle_tenant_times.pop(ticket.tenant, None)
            self._tenants[ticket.tenant] = line
        line.push(ticket)
        self.waiting += 1

    def left(self, ticket: Waiter) -> None:
        """A ticket waits no more."""
        line = self._tenants[ticket.tenant]
        line.left()
        self.waiting -= 1
        if not line.waiting:
            self._remember_idle(ticket.tenant, line)
        if not self.waiting:
            self._idle_tenant_times.clear()
            self._time = 0.0

    def served(self, ticket: Waiter) -> None:
        """A ticket that waits is about to get its slot: its tenant pays."""
        line = self._tenants[ticket.tenant]
        self._time = max(self._time, line.time)
        line.time += 1.0 / self._weight_of(ticket.tenant)

    def first(self) -> Waiter | None:
        """Give the ticket that goes next."""
        if len(self._tenants) == 1:
            return next(iter(self._tenants.values())).first()
        if not self._tenants:
            return None
        lines = self._tenants.values()
        least = min(line.time for line in lines)
        firsts = [line.first() for line in lines if line.time == least]
        waiting = [ticket for ticket in firsts if ticket is not None]
        return min(waiting, key=lambda ticket: (ticket.deadline, ticket.number))

    def last(self) -> Waiter:
        """Give the ticket that gives way: the latest of the tenant that holds most."""
        return self._tenants[max(self._tenants, key=self._held)].last()

    def would_hold_less(self, tenant: str, other: str) -> bool:
        """Whether a tenant would hold less than another one, with one ticket more."""
        line = self._tenants.get(tenant)
        waiting = line.waiting if line is not None else 0
        return tenant != other and (waiting + 1) / self._weight_of(tenant) < self._held(
            other
        )

    def ahead_of(self, tenant: str, deadline: float) -> int:
        """Give how many tickets go before one that a tenant would add now."""
        own = self._tenants.get(tenant)
        ahead = 0 if own is None else own.due_by(deadline)
        if len(self._tenants) == (own is not None):
            return ahead
        begins = self._start_time(tenant) if own is None else own.time
        turn = begins + ahead / self._weight_of(tenant)
        for name, line in self._tenants.items():
            if name != tenant and line.time < turn:
                before = math.ceil((turn - line.time) * self._weight_of(name))
                ahead += min(line.waiting, before)
        return ahead

    def __iter__(self) -> Iterator[Waiter]:
        """Give the waiting tickets."""
        for line in self._tenants.values():
            yield from line

    # --- inside

    def _held(self, tenant: str) -> float:
        return self._tenants[tenant].waiting / self._weight_of(tenant)

    def _start_time(self, tenant: str) -> float:
        return max(self._time, self._idle_tenant_times.get(tenant, 0.0))

    def _remember_idle(self, tenant: str, line: TenantQueue[Waiter]) -> None:
        """Remember what a tenant with nothing in line still has to pay."""
        del self._tenants[tenant]
        if line.time > self._time:
            self._idle_tenant_times[tenant] = line.time
