"""The bounded queue of calls that wait for a slot.

By class, priority, whether they come for the first time, deadline.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

import msgspec

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
        priority = min(self.priority, PRIORITIES - 1)
        return RANKS[self.call_class] * RANKS_OF_CLASS + 2 * priority + self.is_client_retry


class WaitingQueue:
    """Tickets in order; the least important one gives way when it is full."""

    def __init__(self) -> None:
        """Start empty."""
        self._heaps: dict[int, list[tuple[float, int, Ticket]]] = {}
        self._length = 0
        self._taken = 0

    def __len__(self) -> int:
        """Tickets that wait."""
        return self._length

    def ahead_of(self, rank: int, deadline: float) -> int:
        """Give how many waiting tickets a new one would stand behind."""
        return sum(
            1
            for heap_rank, heap in self._heaps.items()
            if heap_rank <= rank
            for due, _, ticket in heap
            if ticket.waiting and (heap_rank < rank or due <= deadline)
        )

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        ticket.waiting = True
        self._length += 1
        heap = self._heaps.setdefault(ticket.rank, [])
        heapq.heappush(heap, (ticket.deadline, ticket.number, ticket))

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, wherever it stands."""
        if ticket.waiting:
            ticket.waiting = False
            self._length -= 1
            self._compact(self._heaps[ticket.rank])

    def peek(self, with_bulk: bool = True) -> Ticket | None:
        """Give the next ticket; without ``with_bulk`` those of that class stay."""
        ranks = sorted(self._heaps, reverse=self._lowest_first())
        for rank in ranks:
            if rank >= BULK_RANK and not with_bulk:
                continue
            heap = self._heaps[rank]
            while heap and not heap[0][2].waiting:
                heapq.heappop(heap)
            if heap:
                return heap[0][2]
        return None

    def take_out(self, is_out: Callable[[Ticket], bool]) -> list[Ticket]:
        """Take out the waiting tickets for which ``is_out`` holds."""
        out = [
            ticket
            for heap in self._heaps.values()
            for _, _, ticket in heap
            if ticket.waiting and is_out(ticket)
        ]
        for ticket in out:
            self.remove(ticket)
        return out

    def taken(self, ticket: Ticket) -> None:
        """A ticket got its slot."""
        self._taken += 1
        self.remove(ticket)

    def least_important(self) -> Ticket | None:
        """Give the ticket that gives way first: last rank, latest deadline."""
        for rank in sorted(self._heaps, reverse=True):
            waiting = [entry for entry in self._heaps[rank] if entry[2].waiting]
            if waiting:
                return max(waiting, key=lambda entry: entry[:2])[2]
        return None

    def _lowest_first(self) -> bool:
        return self._taken % FAIRNESS_INTERVAL == FAIRNESS_INTERVAL - 1

    @staticmethod
    def _compact(heap: list[tuple[float, int, Ticket]]) -> None:
        """Drop withdrawn tickets once they are the larger part."""
        gone = sum(1 for entry in heap if not entry[2].waiting)
        if gone > 16 and gone * 2 > len(heap):
            heap[:] = [entry for entry in heap if entry[2].waiting]
            heapq.heapify(heap)
