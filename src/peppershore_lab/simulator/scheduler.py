"""Virtual time: actions run in the order of their time, then of their planning."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class Planned:
    """One planned action; it can be cancelled until it runs."""

    __slots__ = ("action", "is_cancelled")

    def __init__(self, action: Action) -> None:
        """Keep the action."""
        self.action = action
        self.is_cancelled = False

    def cancel(self) -> None:
        """Never run it."""
        self.is_cancelled = True


class Scheduler:
    """The queue of planned actions and the virtual clock, in seconds."""

    def __init__(self) -> None:
        """Start at zero with nothing planned."""
        self.now = 0.0
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Planned]] = []

    def after(self, delay_seconds: float, action: Action) -> Planned:
        """Run ``action`` once the delay has passed."""
        assert delay_seconds >= 0.0, "an action can't be planned in the past"
        planned = Planned(action)
        entry = (self.now + delay_seconds, next(self._sequence), planned)
        heapq.heappush(self._queue, entry)
        return planned

    def run_until(self, end: float) -> None:
        """Run all that is due up to ``end`` and leave the clock there."""
        while self._queue and self._queue[0][0] <= end:
            self._run_next()
        self.now = max(self.now, end)

    def _run_next(self) -> None:
        when, _, planned = heapq.heappop(self._queue)
        if planned.is_cancelled:
            return
        self.now = when
        planned.action()
