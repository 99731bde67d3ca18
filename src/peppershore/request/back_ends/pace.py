"""For how long the pace that a machine told says something of now, and when it is slow."""

from __future__ import annotations

from typing import Final

USUAL_PERCENT: Final = 100

PACE_SECONDS = 0.6
"""A pace is believed for so long, less from moment to moment: what shares a machine
comes and goes many times a second, and an answer tells it as it was at its end."""

SLOW_PERCENT = 150
"""A machine is slow from here on.  Back ends of one service differ as much in speed all
the time, and calls are shared out by that; sending one on costs a way there and back."""

LONGEST_SPELL_SECONDS = 3.0
"""A machine that is said to be slow for longer is of that speed, or it is said wrongly:
calls are sent on no more, and what its work takes shows how many it gets."""


def pace_after(percent: int, age: float) -> float:
    """Give what a pace that was told ``age`` seconds ago says of now: it fades to 100."""
    share = max(0.0, 1.0 - max(0.0, age) / PACE_SECONDS)
    return USUAL_PERCENT + (percent - USUAL_PERCENT) * share


def slow_seconds(percent: int, age: float) -> float:
    """Give for how much longer a machine is taken to be slow; 0 if it is not."""
    above = percent - USUAL_PERCENT
    if percent < SLOW_PERCENT:
        return 0.0
    believed = PACE_SECONDS * (1.0 - (SLOW_PERCENT - USUAL_PERCENT) / above)
    return max(0.0, believed - max(0.0, age))
