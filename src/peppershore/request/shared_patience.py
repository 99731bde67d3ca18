"""Until when a call waits at one back end, where it may wait at several one by one.

What a node knows of queues is about a second old, so each wait is a draw: one that is
long somewhere may be short elsewhere.
"""

from __future__ import annotations

import math

LEAST_WAIT_SECONDS = 0.005
"""A wait that is shorter brings no slot: only the way there and back."""


def wait_until(now: float, start_by: float, waits: int, most_waits: int) -> float:
    """Give until when the ``waits``-th wait of a call lasts (monotonic seconds).

    Waits that are left share the time until ``start_by`` alike; the last one has it all.
    """
    left = most_waits - waits + 1
    if start_by == math.inf or left <= 1 or now >= start_by:
        return start_by
    return min(start_by, now + max(LEAST_WAIT_SECONDS, (start_by - now) / left))


def may_wait_on(now: float, start_by: float, waits: int, most_waits: int) -> bool:
    """Whether a call whose wait was in vain has time and leave for another one."""
    has_time = start_by == math.inf or now + LEAST_WAIT_SECONDS <= start_by
    return has_time and waits < most_waits
