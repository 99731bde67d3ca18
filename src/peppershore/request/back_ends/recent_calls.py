"""Counts of the calls sent to a back end in the last seconds, by when they were sent.

All times are in monotonic seconds of this process.
"""

from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Sequence

WINDOW_SECONDS = 4.0
"""A call is counted for this long after it was sent."""

SLICE_SECONDS = 0.05
"""Resolution of the counts."""

AGE_SECONDS = 0.5
"""Resolution at which another process is told of the counts, as their age."""


class RecentCalls:
    """Calls sent within ``WINDOW_SECONDS``, counted in slices of ``SLICE_SECONDS``."""

    def __init__(self) -> None:
        """Start without calls."""
        self._slices: deque[list[int]] = deque()

    def add(self, now: float) -> None:
        """Count a call that is sent now."""
        self._forget_before(now - WINDOW_SECONDS)
        index = _slice_of(now)
        if self._slices and self._slices[-1][0] == index:
            self._slices[-1][1] += 1
        else:
            self._slices.append([index, 1])

    def since(self, at: float) -> int:
        """Return how many calls were sent since ``at``, or in the same slice."""
        first = _slice_of(at)
        return sum(count for index, count in self._slices if index >= first)

    def leaves_window_at(self, calls: int, since: float) -> float:
        """Return when the first ``calls`` of those sent since a time are out of the window.

        Return the end of a whole window after the last slice if there are fewer.
        """
        first = _slice_of(since)
        counted = [each for each in self._slices if each[0] >= first]
        totals = itertools.accumulate(count for _, count in counted)
        for (index, _), total in zip(counted, totals, strict=True):
            if total >= calls:
                return (index + 1) * SLICE_SECONDS + WINDOW_SECONDS
        last = counted[-1][0] if counted else first
        return (last + 1) * SLICE_SECONDS + WINDOW_SECONDS

    def by_age(self, now: float) -> tuple[int, ...]:
        """Return the counts in steps of ``AGE_SECONDS`` before now, the newest first.

        Steps without calls at the end are left out.
        """
        counts = [0] * math.ceil(WINDOW_SECONDS / AGE_SECONDS)
        for index, count in self._slices:
            age = int(max(0.0, now - index * SLICE_SECONDS) / AGE_SECONDS)
            if age < len(counts):
                counts[age] += count
        while counts and counts[-1] == 0:
            counts.pop()
        return tuple(counts)

    def add_earlier(self, by_age: Sequence[int], now: float, before: float) -> None:
        """Count calls of another process as it reported them by age.

        Only those sent before a time count: later ones were counted here.
        """
        for step, count in enumerate(by_age[: math.ceil(WINDOW_SECONDS / AGE_SECONDS)]):
            sent_at = now - step * AGE_SECONDS
            if count > 0 and sent_at - AGE_SECONDS < before:
                self._insert(_slice_of(min(sent_at, before)), count)

    def _insert(self, index: int, count: int) -> None:
        for place, each in enumerate(self._slices):
            if each[0] == index:
                each[1] += count
                return
            if each[0] > index:
                self._slices.insert(place, [index, count])
                return
        self._slices.append([index, count])

    def _forget_before(self, at: float) -> None:
        while self._slices and self._slices[0][0] < _slice_of(at):
            self._slices.popleft()


def _slice_of(at: float) -> int:
    return math.floor(at / SLICE_SECONDS)
