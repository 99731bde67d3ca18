"""What the back end beside this node told last: work the node doesn't know, and its pace.

A figure counts for a while only: answers bring new ones, and a back end that is given
nothing more, for what it said of itself, would never be heard again.
"""

from __future__ import annotations

import statistics
from collections import deque

from peppershore.request.back_ends.pace import PACE_SAMPLES, USUAL_PERCENT, slow_seconds
from peppershore.request.back_ends.told_load import PACE_NOT_REPORTED, ToldLoad
from peppershore.request.work_times import WorkTimes

COUNT_SECONDS = 0.5
"""Work that the node doesn't know is believed for so long after it was told."""

LONG_QUEUE_FACTOR = 2
"""So many times its slots of unknown work mean that as much waits there as runs."""

NEVER_MILLISECONDS = -1
MILLISECONDS = 1_000


class OwnReport:
    """The figures of one life of a back end, with their ages."""

    __slots__ = (
        "_excess",
        "_reported_at",
        "_paces",
        "_reported_paces",
        "_unknown_calls",
        "_work",
    )

    def __init__(self) -> None:
        """Begin without figures."""
        self._excess = 0
        self._unknown_calls = 0
        self._reported_at = 0.0
        self._paces: deque[tuple[float, int]] = deque(maxlen=PACE_SAMPLES)
        self._reported_paces: deque[int] = deque(maxlen=PACE_SAMPLES)
        self._work = WorkTimes()

    def heard(self, told: ToldLoad, known: int, now: float) -> None:
        """Take what an answer told while the node knew of ``known`` calls there.

        Answers that end in one moment may be read in another order than they were
        written, so work counts as unknown where two figures in a row hold it.
        """
        excess = max(0, told.running + told.waiting - known)
        self._unknown_calls = min(self._excess, excess)
        self._excess = excess
        self._reported_at = now
        if told.pace_percent != PACE_NOT_REPORTED:
            self._add_pace(told.pace_percent, now)

    def taken(self, slots: int, now: float) -> int:
        """Give how many slots are taken by work of which the node knows nothing.

        One is left, since a back end that says too much would be given nothing for that;
        none where its queue is long too: what it can't queue it may never answer.
        """
        if now - self._reported_at >= COUNT_SECONDS:
            return 0
        if self._unknown_calls >= LONG_QUEUE_FACTOR * slots:
            return slots
        return min(self._unknown_calls, slots - 1)

    @property
    def pace_percent(self) -> int:
        """How long work takes, as it was told last; 100 as usual for this machine.

        Some tell a figure that holds the machine's fixed speed too.  What it usually
        tells shows in what its work takes, and counts as usual here.
        """
        return self._paces[-1][1] if self._paces else USUAL_PERCENT

    def pace_age_milliseconds(self, now: float) -> int:
        """Give how long ago the pace was told; -1 if it never was."""
        if not self._paces:
            return NEVER_MILLISECONDS
        return round((now - self._paces[-1][0]) * MILLISECONDS)

    def is_slow(self, now: float) -> bool:
        """Whether the machine is slow for a while, and a call is better off elsewhere."""
        if not self._paces:
            return False
        told_at, percent = self._paces[-1]
        return slow_seconds(percent, now - told_at) > 0.0

    def ended(self, route: str, seconds: float, now: float) -> None:
        """Learn from a call that was answered now what its work takes as usual."""
        if self._paces:
            pace = self._mean_pace(now - seconds)
            self._work.observe(route, seconds * USUAL_PERCENT / pace)

    def mean_pace_percent(self, since: float) -> int:
        """Give the mean pace of what ran since then; 0 if it was never told."""
        return round(self._mean_pace(since)) if self._paces else PACE_NOT_REPORTED

    def usual_work(self, route: str) -> float:
        """Give the mean seconds of a route's calls at the usual pace; 0 if not known."""
        return self._work.known(route)

    def _mean_pace(self, since: float) -> float:
        """Give the mean of what was told since then; the last one told if nothing was."""
        told = [percent for at, percent in self._paces if at >= since]
        return sum(told) / len(told) if told else self.pace_percent

    def _add_pace(self, percent: int, now: float) -> None:
        self._reported_paces.append(percent)
        usual = statistics.median_low(self._reported_paces)
        self._paces.append((now, round(USUAL_PERCENT * percent / usual)))
