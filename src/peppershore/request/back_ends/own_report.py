"""What the back end beside this node told last: work the node doesn't know, and its pace.

A figure counts for a while only: answers bring new ones, and a back end that is given
nothing more, for what it said of itself, would never be heard again.
"""

from __future__ import annotations

from peppershore.request.back_ends.told_load import (
    PACE_NOT_TOLD,
    USUAL_PERCENT,
    ToldLoad,
)

COUNT_SECONDS = 0.5
"""Work that the node doesn't know is believed for so long after it was told."""

PACE_SECONDS = 0.6
"""A pace is believed for so long, less from moment to moment: what shares a machine
comes and goes many times a second, and an answer tells it as it was at its end."""

SLOW_PERCENT = 150
"""A machine is slow from here on.  Back ends of one service differ as much in speed all
the time, and calls are shared out by that; sending one on costs a way there and back."""

LONGEST_SPELL_SECONDS = 3.0
"""A machine that is said to be slow for longer is of that speed, or it is said wrongly:
calls are sent on no more, and what its work takes shows how many it gets."""

NEVER_MILLISECONDS = -1
MILLISECONDS = 1_000


class OwnReport:
    """The figures of one life of a back end, with their ages."""

    __slots__ = ("_excess", "_heard_at", "_pace", "_pace_at", "_slow_since", "_unknown")

    def __init__(self) -> None:
        """Begin without figures."""
        self._excess = 0
        self._unknown = 0
        self._heard_at = 0.0
        self._pace = PACE_NOT_TOLD
        self._pace_at = 0.0
        self._slow_since = 0.0

    def heard(self, told: ToldLoad, known: int, now: float) -> None:
        """Take what an answer told while the node knew of ``known`` calls there.

        Answers that end in one moment may be read in another order than they were
        written, so work counts as unknown where two figures in a row hold it.
        """
        excess = max(0, told.running + told.waiting - known)
        self._unknown = min(self._excess, excess)
        self._excess = excess
        self._heard_at = now
        if told.pace_percent != PACE_NOT_TOLD:
            self._take_pace(told.pace_percent, now)

    def unknown(self, now: float) -> int:
        """Give how many calls run or wait there of which the node knows nothing."""
        return self._unknown if now - self._heard_at < COUNT_SECONDS else 0

    def pace_percent(self, now: float) -> int:
        """Give how long work is likely to take now; 100 as usual, or not known."""
        if self._pace == PACE_NOT_TOLD:
            return USUAL_PERCENT
        return pace_after(self._pace, now - self._pace_at)

    def told_pace(self) -> int:
        """Give the pace as it was told last; 100 if it never was."""
        return self._pace or USUAL_PERCENT

    def pace_age_milliseconds(self, now: float) -> int:
        """Give how long ago it was told; -1 if it never was."""
        if self._pace == PACE_NOT_TOLD:
            return NEVER_MILLISECONDS
        return round((now - self._pace_at) * MILLISECONDS)

    def is_slow(self, now: float) -> bool:
        """Whether the machine is slow for a while, and a call is better off elsewhere."""
        if self.pace_percent(now) < SLOW_PERCENT:
            return False
        return now - self._slow_since < LONGEST_SPELL_SECONDS

    def _take_pace(self, percent: int, now: float) -> None:
        was_slow = self._pace >= SLOW_PERCENT
        if percent >= SLOW_PERCENT and not was_slow:
            self._slow_since = now
        self._pace = percent
        self._pace_at = now


def pace_after(percent: int, age: float) -> int:
    """Give what a pace that was told ``age`` seconds ago says of now: it fades to 100."""
    share = max(0.0, 1.0 - max(0.0, age) / PACE_SECONDS)
    return round(USUAL_PERCENT + (percent - USUAL_PERCENT) * share)
