"""Processor time of choosing a back end, by how many there are and how busy they are.

    python -m benchmarks.choice_cost

One JSON line a case: microseconds of this process for one call that is offered and
finished, for one that is refused since all are full, and for a load told by an owner.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.request.admission import Admission, Dispatch
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

BACK_ENDS = (7, 41, 74)
ZONES = ("north", "south", "west", "east", "centre", "harbour")
SLOTS = 12
CALLS = 3_000
REPEATS = 5


class Randomness:
    """A seeded source, as a core is given."""

    def __init__(self) -> None:
        """Start the sequence."""
        self._source = random.Random(7)

    def below(self, limit: float) -> float:
        """Give a number in [0, limit)."""
        return self._source.random() * limit


def endpoint(number: int) -> Endpoint:
    """Give one back end behind a node of its own."""
    address = f"10.1.0.{number}"
    return Endpoint(
        node=f"node-{number}",
        service="desk",
        zone=ZONES[number % len(ZONES)],
        incarnation=1,
        sequence=1,
        state="ready",
        address=f"{address}:8301",
        owner_address=f"{address}:7620",
        slots=SLOTS,
        connections=100,
        warming_milliseconds=0,
    )


def make(back_ends: int) -> Admission:
    """Give an admission that knows so many back ends."""
    admission = Admission("desk", ServiceSettings(), ZONES[0], Randomness())
    admission.use_endpoints(tuple(endpoint(each) for each in range(back_ends)), 0.0)
    return admission


def ticket(number: int, now: float) -> Ticket:
    """Give a call that waits for nothing."""
    return Ticket(
        number,
        "normal",
        now + 5.0,
        may_wait=False,
        start_by=now + 1.0,
        route="read",
        crossing_seconds=0.1,
    )


def idle(admission: Admission) -> None:
    """Offer and finish calls, each answer with its owner's load."""
    for number in range(CALLS):
        now = number / 100
        decision = admission.offer(ticket(number, now), now)
        assert isinstance(decision, Dispatch)
        admission.finished(decision, 0.2, "good", now)
        load = OwnerLoad(number % SLOTS, 0, SLOTS, 0.2)
        admission.note_load(decision.endpoint.node, load, "read", now)


def full(admission: Admission) -> None:
    """Offer calls while every owner said a moment ago that it is full."""
    for number in range(CALLS):
        now = number / 100_000
        if number % 100 == 0:
            for each in range(SLOTS):
                load = OwnerLoad(SLOTS, 20, SLOTS, 0.2)
                admission.note_load(f"node-{each}", load, "read", now)
        admission.all_refuse_for_load(now)
        admission.has_besides(frozenset(), now, for_free_slot=True)
        decision = admission.offer(ticket(number, now), now)
        if isinstance(decision, Dispatch):
            admission.finished(decision, 0.2, "shed", now)


def microseconds(work: Callable[[Admission], None], back_ends: int) -> float:
    """Give the least time of one call over some repeats."""
    times: list[float] = []
    for _ in range(REPEATS):
        admission = make(back_ends)
        started = time.process_time()
        work(admission)
        times.append(time.process_time() - started)
    return min(times) / CALLS * 1e6


def main() -> None:
    """Measure every case."""
    for back_ends in BACK_ENDS:
        for work in (idle, full):
            cost = round(microseconds(work, back_ends), 1)
            print(json.dumps({"case": work.__name__, "back_ends": back_ends, "us": cost}))


if __name__ == "__main__":
    main()
