"""Speed of one back end, as nodes of callers know it: learned work and reported pace.

Its local node reports the mean duration of its work over all callers, with the machine's
pace factored out, and separately the last reported pace.
"""

from __future__ import annotations

from peppershore.request.back_ends.pace import USUAL_PERCENT, pace_after, slow_seconds

LEARNED_WEIGHT = 0.3
"""Weight of the last work time that the back end's local node reported. It is a mean over
many calls already; it is smoothed because routes differ in which back ends serve them."""

MILLISECONDS = 1_000


class Speed:
    """Time that work takes at one back end, as multiples of the usual time."""

    __slots__ = ("_work_ratio", "_percent", "_pace_measured_at")

    def __init__(self) -> None:
        """Start with the usual speed."""
        self._work_ratio = 1.0
        self._percent: int = USUAL_PERCENT
        self._pace_measured_at = 0.0

    @property
    def pace_percent(self) -> int:
        """The last reported pace, 100 if as usual."""
        return self._percent

    def learn(self, multiple: float) -> None:
        """Record the work of a call as a multiple of the usual one for its route."""
        self._work_ratio += (multiple - self._work_ratio) * LEARNED_WEIGHT

    def update_pace(self, percent: int, age_milliseconds: int, now: float) -> None:
        """Record the pace that the machine had that long ago; a negative age means none."""
        if age_milliseconds < 0:
            return
        self._percent = percent
        self._pace_measured_at = now - age_milliseconds / MILLISECONDS

    def pace_age_milliseconds(self, now: float) -> int:
        """Return the age of the pace; -1 if none was ever reported."""
        return (
            round((now - self._pace_measured_at) * MILLISECONDS)
            if self._pace_measured_at
            else -1
        )

    def slow_seconds(self, now: float) -> float:
        """Return for how much longer the machine counts as slow; 0 if it does not."""
        return slow_seconds(self._percent, now - self._pace_measured_at)

    def expected(self, now: float, trust: float) -> float:
        """Return the multiple of the usual time that one more call is likely to take.

        ``trust`` is the share of the learned value that still counts, from 0 to 1.
        """
        learned = 1.0 + (self._work_ratio - 1.0) * trust
        if self._percent == USUAL_PERCENT:
            return learned
        return (
            learned
            * pace_after(self._percent, now - self._pace_measured_at)
            / USUAL_PERCENT
        )
