"""For how long the pace that a machine told says something of now, and when it is slow."""

from __future__ import annotations

from typing import Final

USUAL_PERCENT: Final = 100

PACE_SECONDS = 0.6
"""A pace is believed for so long, less from moment to moment: what shares a machine
comes and goes many times a second, and an answer tells it as it was at its end."""

SLOW_PERCENT = 150
"""A machine is slow from here on, against its own usual.  Back ends of one service differ
as much in speed all the time; sending a call on costs a way there and back."""

PACE_SAMPLES = 64
"""Figures by whose median a machine's usual pace is known: a few seconds of answers, so
that a slow moment is less than half of them, and one that stays slow soon is usual."""


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
