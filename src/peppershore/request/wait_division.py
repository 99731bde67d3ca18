"""Division of a call's wait time-out among the back ends at which it may wait in turn.

What a node knows of queues is about a second old, so the length of each wait is uncertain:
if it is long at one back end, it may be short at another.
"""

from __future__ import annotations

import math

MIN_WAIT_SECONDS = 0.005
"""A shorter wait yields no slot and only costs the network round trip."""


def wait_until(now: float, start_by: float, waits: int, max_queued_owners: int) -> float:
    """Return the monotonic time at which the ``waits``-th wait of a call times out.

    A call may wait at ``max_queued_owners`` back ends in turn. The remaining waits share
    the time until ``start_by`` equally; the last one gets all that is left.
    """
    left = max_queued_owners - waits + 1
    if start_by == math.inf or left <= 1 or now >= start_by:
        return start_by
    return min(start_by, now + max(MIN_WAIT_SECONDS, (start_by - now) / left))


def may_wait_on(now: float, start_by: float, waits: int, max_queued_owners: int) -> bool:
    """Report whether a call whose wait timed out may wait at another back end.

    It must have time left until ``start_by``, and fewer waits than ``max_queued_owners``.
    """
    has_time = start_by == math.inf or now + MIN_WAIT_SECONDS <= start_by
    return has_time and waits < max_queued_owners
