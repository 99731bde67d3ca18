"""Processor time of the line of waiting calls: one call in, one out, and its place told.

Run: ``python -m benchmarks.queue_cost``.
"""

from __future__ import annotations

import itertools
import random
import time

from peppershore.request.tenants.weights import ConfiguredWeights, ShareWeights
from peppershore.request.waiting import Ticket, WaitingQueue

OPERATIONS = 20_000
MICROSECONDS = 1e6
WAITING = (10, 50, 100)
TENANTS = (0, 1, 10, 82)


def cost_microseconds(waiting: int, tenants: int, seed: int) -> float:
    """Give the time of one call that comes, is told its place, waits and is served."""
    chance = random.Random(seed)
    shares = ShareWeights(ConfiguredWeights())
    queue = WaitingQueue(shares.weight)
    names = [f"t{number}" for number in range(tenants)] or [""]
    numbers = itertools.count()

    def ticket() -> Ticket:
        number = next(numbers)
        return Ticket(
            number, "normal", number + chance.random(), tenant=chance.choice(names)
        )

    for _ in range(waiting):
        queue.push(ticket())
    tickets = [ticket() for _ in range(OPERATIONS)]
    began = time.process_time()
    for number, each in enumerate(tickets):
        if each.tenant:
            shares.asked(each.tenant, number / 1_000)
        queue.ahead_of(each)
        queue.push(each)
        first = queue.peek()
        assert first is not None
        queue.taken(first)
    return (time.process_time() - began) / OPERATIONS * MICROSECONDS


def main() -> None:
    """Print the least of three runs for each length and number of tenants."""
    for waiting in WAITING:
        for tenants in TENANTS:
            least = min(cost_microseconds(waiting, tenants, seed) for seed in range(3))
            print(f"{waiting} wait, {tenants} tenants: {least:.1f} us a call")


if __name__ == "__main__":
    main()
