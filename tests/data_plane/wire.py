"""A machine's link in virtual time, with the scheduler of its large answers."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.call_model import Clock
from benchmarks.link_model import Pipe

from peppershore.process.node.data.large_answers import LargeAnswers

SMALL_BYTES = 100


class _Cancelled:
    def __init__(self) -> None:
        self.is_set = False

    def cancel(self) -> None:
        self.is_set = True


class Wire:
    """A machine's link, its clock, and the scheduler of its large answers.

    It also stands in for the event loop of that scheduler.
    """

    def __init__(self, megabits: float, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.link = Pipe(self.clock, megabits)
        self.waits: list[float] = []
        self.scheduler = LargeAnswers(megabits, lambda: self.link.octets, self)

    def time(self) -> float:
        return self.clock.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> _Cancelled:
        timer = _Cancelled()
        self.clock.after(delay, lambda: None if timer.is_set else callback())
        return timer

    def send_small(self, every: float, until: float) -> None:
        """Send small messages at intervals until a time; record how long each waits."""
        self.waits.append(self.link.backlog_seconds)
        self.link.carry(SMALL_BYTES, lambda: None)
        if self.clock.now + every < until:
            self.clock.after(every, lambda: self.send_small(every, until))
