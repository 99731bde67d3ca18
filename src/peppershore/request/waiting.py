"""The bounded queue of calls that wait for a slot.

They are ordered by class, priority, first sends before retries, fair shares of tenants, and
deadline.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from peppershore.request.tenants.fair_shares import FairQueue, WeightOf, equal_weight
from peppershore.request.version_routing import VersionGroup
from peppershore.version.model import CallClass

RANKS: dict[CallClass, int] = {"critical": 0, "normal": 1, "bulk": 2}
PRIORITIES = 101
"""Number of priorities within each class: 0 to 100."""

RANKS_OF_CLASS = 2 * PRIORITIES
"""Number of ranks of a class: for each priority, one for first sends, one for retries."""

BULK_RANK = RANKS["bulk"] * RANKS_OF_CLASS

FAIRNESS_INTERVAL = 16
"""Once in this many calls the last waiting rank goes first, so that it is not starved."""


class Ticket(msgspec.Struct, eq=False):
    """One call's place in the queue.

    - ``excluded``: nodes that failed the call before.
    - ``may_wait``: if false, the call is refused at once when no slot is free; otherwise it
      waits until ``start_by`` (monotonic seconds).
    - ``is_client_retry``: it was refused before.
    - ``prefers_far``: nearby back ends had no slot, so one of another zone is preferred.
    - ``route``: determines how long it is likely to run.
    - ``crossing_seconds``: how much sooner a back end of another zone must answer than a
      nearby one to be chosen.
    - ``lane``: the version of the service's software chosen for the call.
    - ``tenant``: on whose behalf it is made, "" if there are no tenants.
    - ``answer_is_large``: its answer takes room on a link and should arrive by ``due``
      (monotonic seconds).
    """

    number: int
    call_class: CallClass
    deadline: float
    excluded: frozenset[str] = frozenset()
    waiting: bool = False
    may_wait: bool = True
    priority: int = 1
    start_by: float = math.inf
    is_client_retry: bool = False
    route: str = ""
    crossing_seconds: float = math.inf
    prefers_far: bool = False
    lane: VersionGroup = "any"
    tenant: str = ""
    answer_is_large: bool = False
    due: float = math.inf

    @property
    def rank(self) -> int:
        """Rank in the queue, lowest first: by class, the route's priority, first sends."""
        return base_rank(self.call_class, self.priority) + self.is_client_retry


def base_rank(call_class: CallClass, priority: int) -> int:
    """Return the rank of the first sends of a class and priority, lowest first."""
    return RANKS[call_class] * RANKS_OF_CLASS + 2 * min(priority, PRIORITIES - 1)


class WaitingQueue:
    """Tickets in order; if the queue is full, the least important one is evicted.

    Within a rank, the waiting tenants have fair shares; calls without a tenant are ordered
    by deadline.
    """

    def __init__(self, weight_of: WeightOf = equal_weight) -> None:
        """Start empty; ``weight_of`` returns a tenant's share relative to the others."""
        self._weight_of = weight_of
        self._queues: dict[int, FairQueue[Ticket]] = {}
        self._length = 0
        self._taken = 0

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return self._length

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would go before a new one."""
        own_rank = ticket.rank
        ahead = 0
        for rank, queue in self._queues.items():
            if rank < own_rank:
                ahead += queue.waiting
            elif rank == own_rank:
                ahead += queue.ahead_of(ticket.tenant, ticket.deadline)
        return ahead

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        ticket.waiting = True
        self._length += 1
        queue = self._queues.get(ticket.rank)
        if queue is None:
            queue = self._queues[ticket.rank] = FairQueue[Ticket](self._weight_of)
        queue.push(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket, whatever its position."""
        if ticket.waiting:
            ticket.waiting = False
            self._length -= 1
            self._queues[ticket.rank].left(ticket)

    def peek(self, with_bulk: bool = True) -> Ticket | None:
        """Return the next ticket, or None; without ``with_bulk``, bulk ones are skipped."""
        for rank in sorted(self._queues, reverse=self._lowest_first()):
            if rank >= BULK_RANK and not with_bulk:
                continue
            first = self._queues[rank].first()
            if first is not None:
                return first
        return None

    def remove_matching(self, matches: Callable[[Ticket], bool]) -> list[Ticket]:
        """Remove and return the waiting tickets for which ``matches`` is true."""
        out = [
            ticket for queue in self._queues.values() for ticket in queue if matches(ticket)
        ]
        for ticket in out:
            self.remove(ticket)
        return out

    def taken(self, ticket: Ticket) -> None:
        """Record that a ticket got its slot, and remove it."""
        self._taken += 1
        if ticket.waiting:
            self._queues[ticket.rank].served(ticket)
        self.remove(ticket)

    def displaced_by(self, ticket: Ticket) -> Ticket | None:
        """Return the ticket to evict in favour of a new one, or None if there is none.

        It is one of the last rank, and there of the tenant that has the most tickets
        waiting in proportion to its weight.
        """
        for rank in sorted(self._queues, reverse=True):
            queue = self._queues[rank]
            if not queue.waiting:
                continue
            last = queue.last()
            if ticket.rank < rank:
                return last
            is_less = ticket.rank == rank and queue.would_hold_less(
                ticket.tenant, last.tenant
            )
            return last if is_less else None
        return None

    def _lowest_first(self) -> bool:
        return self._taken % FAIRNESS_INTERVAL == FAIRNESS_INTERVAL - 1
