"""Last load report of the local back end: work unknown to the node, and its pace.

The pace is the time that work takes now relative to the usual one: 100 % is as usual, 200 %
twice as long. A reported value is used only for a while. New answers bring new values, and
a back end that got no more calls because of its own report would never send another one.
"""

from __future__ import annotations

import statistics
from collections import deque

from peppershore.request.back_ends.pace import PACE_SAMPLES, USUAL_PERCENT, slow_seconds
from peppershore.request.back_ends.reported_load import PACE_NOT_REPORTED, ReportedLoad
from peppershore.request.work_times import WorkTimes

COUNT_SECONDS = 0.5
"""Work that the node doesn't know of counts for this long after it was reported."""

LONG_QUEUE_FACTOR = 2
"""If work that the node doesn't know of amounts to this many times the slots, as much waits
at the back end as runs."""

NEVER_MILLISECONDS = -1
MILLISECONDS = 1_000


class LocalReport:
    """The reported values of one incarnation of a back end, with their ages."""

    __slots__ = (
        "_excess",
        "_reported_at",
        "_paces",
        "_reported_paces",
        "_unknown_calls",
        "_work",
    )

    def __init__(self) -> None:
        """Start without reports."""
        self._excess = 0
        self._unknown_calls = 0
        self._reported_at = 0.0
        self._paces: deque[tuple[float, int]] = deque(maxlen=PACE_SAMPLES)
        self._reported_paces: deque[int] = deque(maxlen=PACE_SAMPLES)
        self._work = WorkTimes()

    def heard(self, reported: ReportedLoad, known: int, now: float) -> None:
        """Record the load that the back end reported in an answer.

        ``known`` is the number of calls there that the node knew of when it read the
        answer.

        Answers that end at about the same time may be read in another order than they were
        written, so work counts as unknown only if two reports in a row include it.
        """
        excess = max(0, reported.running + reported.waiting - known)
        self._unknown_calls = min(self._excess, excess)
        self._excess = excess
        self._reported_at = now
        if reported.pace_percent != PACE_NOT_REPORTED:
            self._add_pace(reported.pace_percent, now)

    def taken(self, slots: int, now: float) -> int:
        """Return how many slots are taken by work that the node doesn't know of.

        One slot is left free, since a back end that reports too much would otherwise get no
        calls. None is left if its queue is long as well, since it might never answer calls
        that it can't queue.
        """
        if now - self._reported_at >= COUNT_SECONDS:
            return 0
        if self._unknown_calls >= LONG_QUEUE_FACTOR * slots:
            return slots
        return min(self._unknown_calls, slots - 1)

    @property
    def pace_percent(self) -> int:
        """Pace by the last report, in percent of the usual one of this machine.

        Some back ends report a value that includes the machine's fixed speed. The value
        that a machine usually reports counts as 100 here, since its fixed speed shows in
        the duration of its work.
        """
        return self._paces[-1][1] if self._paces else USUAL_PERCENT

    def pace_age_milliseconds(self, now: float) -> int:
        """Return the age of the reported pace; -1 if there is none."""
        if not self._paces:
            return NEVER_MILLISECONDS
        return round((now - self._paces[-1][0]) * MILLISECONDS)

    def is_slow(self, now: float) -> bool:
        """Report whether the machine is slow for now, so that calls should go elsewhere."""
        if not self._paces:
            return False
        reported_at, percent = self._paces[-1]
        return slow_seconds(percent, now - reported_at) > 0.0

    def ended(self, route: str, seconds: float, now: float) -> None:
        """Learn from a call that was answered now how long its work usually takes."""
        if self._paces:
            pace = self._mean_pace(now - seconds)
            self._work.observe(route, seconds * USUAL_PERCENT / pace)

    def mean_pace_percent(self, since: float) -> int:
        """Return the mean pace in percent since a monotonic time; 0 if never reported."""
        return round(self._mean_pace(since)) if self._paces else PACE_NOT_REPORTED

    def usual_work(self, route: str) -> float:
        """Return the mean duration of a route's calls at the usual pace; 0 if not known."""
        return self._work.known(route)

    def _mean_pace(self, since: float) -> float:
        """Return the mean of the paces reported since then, else the last one reported."""
        reported = [percent for at, percent in self._paces if at >= since]
        return sum(reported) / len(reported) if reported else self.pace_percent

    def _add_pace(self, percent: int, now: float) -> None:
        self._reported_paces.append(percent)
        usual = statistics.median_low(self._reported_paces)
        self._paces.append((now, round(USUAL_PERCENT * percent / usual)))
