"""How long a reported pace of a machine remains valid, and when a machine is slow.

The pace is the time that work takes relative to the usual one: 100 % is as usual, 200 %
means twice as long.
"""

from __future__ import annotations

from typing import Final

USUAL_PERCENT: Final = 100

PACE_SECONDS = 0.6
"""A reported pace counts for this long, and less as it ages: other load on a machine comes
and goes many times a second, and an answer reports the pace as it was at its end."""

SLOW_PERCENT = 150
"""A machine is slow from this pace on, relative to its own usual one. Back ends of one
service differ in speed by as much all the time, and redirecting a call costs a network
round trip."""

PACE_SAMPLES = 64
"""Number of reported values whose median is a machine's usual pace: a few seconds of
answers. A slow moment then makes up less than half of them, and a machine that stays slow
soon counts as usual."""


def pace_after(percent: int, age: float) -> float:
    """Return the expected pace now of one reported ``age`` seconds ago: it fades to 100."""
    share = max(0.0, 1.0 - max(0.0, age) / PACE_SECONDS)
    return USUAL_PERCENT + (percent - USUAL_PERCENT) * share


def slow_seconds(percent: int, age: float) -> float:
    """Return for how much longer a machine counts as slow; 0 if it does not."""
    above = percent - USUAL_PERCENT
    if percent < SLOW_PERCENT:
        return 0.0
    believed = PACE_SECONDS * (1.0 - (SLOW_PERCENT - USUAL_PERCENT) / above)
    return max(0.0, believed - max(0.0, age))
