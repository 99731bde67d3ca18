"""The bounded queue of calls that wait for a slot: by class, then deadline."""

from __future__ import annotations

import heapq

import msgspec

from peppershore.version.model import CallClass

RANKS: dict[CallClass, int] = {"critical": 0, "normal": 1, "bulk": 2}
FAIRNESS_INTERVAL = 16
"""Every so many calls the lowest waiting class goes first, so that it moves."""


class Ticket(msgspec.Struct, eq=False):
    """One call's place in the queue; ``excluded``: nodes that failed it before."""

    number: int
    call_class: CallClass
    deadline: float
    excluded: frozenset[str] = frozenset()
    waiting: bool = False


class WaitingQueue:
    """Tickets in order; the least important one gives way when it is full."""

    def __init__(self) -> None:
        """Start empty."""
        self._heaps: tuple[list[tuple[float, int, Ticket]], ...] = ([], [], [])
        self._length = 0
        self._taken = 0

    def __len__(self) -> int:
        """Tickets that wait."""
        return self._length

    def ahead_of(self, call_class: CallClass, deadline: float) -> int:
        """Give how many waiting tickets a new one would stand behind."""
        rank = RANKS[call_class]
        ahead = 0
        for heap_rank, heap in enumerate(self._heaps[: rank + 1]):
            for due, _, ticket in heap:
                if ticket.waiting and (heap_rank < rank or due <= deadline):
                    ahead += 1
        return ahead

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        ticket.waiting = True
        self._length += 1
        heap = self._heaps[RANKS[ticket.call_class]]
        heapq.heappush(heap, (ticket.deadline, ticket.number, ticket))

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, wherever it stands."""
        if ticket.waiting:
            ticket.waiting = False
            self._length -= 1
            self._compact(self._heaps[RANKS[ticket.call_class]])

    def peek(self, allowed_ranks: int) -> Ticket | None:
        """Give the next ticket among the ``allowed_ranks`` highest classes."""
        order = range(min(allowed_ranks, len(self._heaps)))
        ranks = reversed(order) if self._lowest_first() else order
        for rank in ranks:
            heap = self._heaps[rank]
            while heap and not heap[0][2].waiting:
                heapq.heappop(heap)
            if heap:
                return heap[0][2]
        return None

    def due_by(self, moment: float) -> list[Ticket]:
        """Take out the tickets whose deadlines are not after ``moment``."""
        due: list[Ticket] = []
        for heap in self._heaps:
            while heap and (not heap[0][2].waiting or heap[0][0] <= moment):
                ticket = heapq.heappop(heap)[2]
                if ticket.waiting:
                    ticket.waiting = False
                    self._length -= 1
                    due.append(ticket)
        return due

    def taken(self, ticket: Ticket) -> None:
        """A ticket got its slot."""
        self._taken += 1
        self.remove(ticket)

    def least_important(self) -> Ticket | None:
        """Give the ticket that gives way first: lowest class, latest deadline."""
        for heap in reversed(self._heaps):
            waiting = [entry for entry in heap if entry[2].waiting]
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
