"""The bounded queue of calls that wait for a slot.

By class, priority, whether they come for the first time, fair shares of tenants, deadline.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from peppershore.request.tenants.fair_shares import FairQueue, WeightOf, equal_weight
from peppershore.request.version_lanes import Lane
from peppershore.version.model import CallClass

RANKS: dict[CallClass, int] = {"critical": 0, "normal": 1, "bulk": 2}
PRIORITIES = 101
"""Priorities 0 to 100 within each class."""

RANKS_OF_CLASS = 2 * PRIORITIES
"""First sends and retries of each priority."""

BULK_RANK = RANKS["bulk"] * RANKS_OF_CLASS

FAIRNESS_INTERVAL = 16
"""Every so many calls the last waiting rank goes first, so that it moves."""


class Ticket(msgspec.Struct, eq=False):
    """One call's place in the queue; ``excluded``: nodes that failed it before.

    One that may not wait is refused where no slot is free; another one waits until
    ``start_by`` (monotonic seconds).  ``is_client_retry``: it was refused before.
    ``prefers_far``: back ends near by had no slot, so one of another zone is asked.
    ``route`` tells how long it is likely to run.  A back end of another zone is worth the
    way if it answers so much sooner than one nearby (``crossing_seconds``).  ``lane``
    tells the version of the service's software that the call was drawn for, ``tenant`` on
    whose behalf it is made ("" where there are none).  Where the ``answer_is_large`` it
    takes room on a link, and should be through by ``due`` (monotonic seconds).
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
    lane: Lane = "any"
    tenant: str = ""
    answer_is_large: bool = False
    due: float = math.inf

    @property
    def rank(self) -> int:
        """What goes first, lowest first: class, the route's priority, first calls."""
        return base_rank(self.call_class, self.priority) + self.is_client_retry


def base_rank(call_class: CallClass, priority: int) -> int:
    """Give the rank of the first sends of a class and priority, lowest first."""
    return RANKS[call_class] * RANKS_OF_CLASS + 2 * min(priority, PRIORITIES - 1)


class WaitingQueue:
    """Tickets in order; the least important one gives way when it is full.

    Within a rank the tenants who wait have fair shares; calls without a tenant go by
    deadline.
    """

    def __init__(self, weight_of: WeightOf = equal_weight) -> None:
        """Start empty; ``weight_of`` gives a tenant's share against those of others."""
        self._weight_of = weight_of
        self._lines: dict[int, FairQueue[Ticket]] = {}
        self._length = 0
        self._taken = 0

    def __len__(self) -> int:
        """Tickets that wait."""
        return self._length

    def ahead_of(self, ticket: Ticket) -> int:
        """Give how many waiting tickets a new one would stand behind."""
        own_rank = ticket.rank
        ahead = 0
        for rank, line in self._lines.items():
            if rank < own_rank:
                ahead += line.waiting
            elif rank == own_rank:
                ahead += line.ahead_of(ticket.tenant, ticket.deadline)
        return ahead

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        ticket.waiting = True
        self._length += 1
        line = self._lines.get(ticket.rank)
        if line is None:
            line = self._lines[ticket.rank] = FairQueue[Ticket](self._weight_of)
        line.push(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, wherever it stands."""
        if ticket.waiting:
            ticket.waiting = False
            self._length -= 1
            self._lines[ticket.rank].left(ticket)

    def peek(self, with_bulk: bool = True) -> Ticket | None:
        """Give the next ticket; without ``with_bulk`` those of that class stay."""
        for rank in sorted(self._lines, reverse=self._lowest_first()):
            if rank >= BULK_RANK and not with_bulk:
                continue
            first = self._lines[rank].first()
            if first is not None:
                return first
        return None

    def remove_matching(self, matches: Callable[[Ticket], bool]) -> list[Ticket]:
        """Take out the waiting tickets for which ``is_out`` holds."""
        out = [
            ticket for line in self._lines.values() for ticket in line if matches(ticket)
        ]
        for ticket in out:
            self.remove(ticket)
        return out

    def taken(self, ticket: Ticket) -> None:
        """A ticket got its slot."""
        self._taken += 1
        if ticket.waiting:
            self._lines[ticket.rank].served(ticket)
        self.remove(ticket)

    def displaced_by(self, ticket: Ticket) -> Ticket | None:
        """Give the ticket that leaves its place to a new one; None if none does.

        That is one of the last rank, and there of the tenant that holds most.
        """
        for rank in sorted(self._lines, reverse=True):
            line = self._lines[rank]
            if not line.waiting:
                continue
            last = line.last()
            if ticket.rank < rank:
                return last
            is_less = ticket.rank == rank and line.would_hold_less(
                ticket.tenant, last.tenant
            )
            return last if is_less else None
        return None

    def _lowest_first(self) -> bool:
        return self._taken % FAIRNESS_INTERVAL == FAIRNESS_INTERVAL - 1
