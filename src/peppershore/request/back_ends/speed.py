"""How quick one back end is, as callers' nodes know it: learned, and told of now.

Its own node tells what its work takes as a mean over all callers, with the pace of the
machine taken out, and beside that the pace as it was told last.
"""

from __future__ import annotations

from peppershore.request.back_ends.pace import USUAL_PERCENT, pace_after, slow_seconds

LEARNED_WEIGHT = 0.3
"""Weight of what the back end's own node told last of its work.  That is a mean over many
calls already; it is smoothed since routes differ in which back ends take them."""

MILLISECONDS = 1_000


class Speed:
    """Times that work takes at one back end, as multiples of the usual."""

    __slots__ = ("_work_ratio", "_percent", "_pace_measured_at")

    def __init__(self) -> None:
        """Begin as usual."""
        self._work_ratio = 1.0
        self._percent: int = USUAL_PERCENT
        self._pace_measured_at = 0.0

    @property
    def pace_percent(self) -> int:
        """The pace as it was told last, 100 as usual."""
        return self._percent

    def learn(self, multiple: float) -> None:
        """Take the work of a call as a multiple of the usual for its route."""
        self._work_ratio += (multiple - self._work_ratio) * LEARNED_WEIGHT

    def update_pace(self, percent: int, age_milliseconds: int, now: float) -> None:
        """Take the pace that the machine had so long ago; a negative age: never told."""
        if age_milliseconds < 0:
            return
        self._percent = percent
        self._pace_measured_at = now - age_milliseconds / MILLISECONDS

    def pace_age_milliseconds(self, now: float) -> int:
        """Give how long ago the pace was; -1 if it was never told."""
        return (
            round((now - self._pace_measured_at) * MILLISECONDS)
            if self._pace_measured_at
            else -1
        )

    def slow_seconds(self, now: float) -> float:
        """Give for how much longer its machine is taken to be slow; 0 if it is not."""
        return slow_seconds(self._percent, now - self._pace_measured_at)

    def expected(self, now: float, trust: float) -> float:
        """Give the multiple of the usual that one more call is likely to take.

        ``trust``: how much of what was learned still counts, 0 to 1.
        """
        learned = 1.0 + (self._work_ratio - 1.0) * trust
        if self._percent == USUAL_PERCENT:
            return learned
        return (
            learned
            * pace_after(self._percent, now - self._pace_measured_at)
            / USUAL_PERCENT
        )
