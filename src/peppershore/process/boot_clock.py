"""The clock of all decisions, which also counts the time a machine was suspended.

Leases, slot loans, ages and silence time-outs are agreed between machines. The usual
monotonic clock stops while a machine is suspended, so that a resumed leader would still
rely on a lease that the other replicas have already granted to another leader.
The alternatives are unsuitable: the time of day can be set back, and a timer that detects
suspensions fires only after the first decisions.
"""

from __future__ import annotations

import asyncio
import time


def boot_seconds() -> float:
    """Return the seconds since boot, including suspensions; the value never decreases."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop that schedules its timers by ``boot_seconds``.

    Timers that fell due during a suspension run at the first event after it, at the latest
    when the interrupted wait of the loop ends. In every role such a wait is at most 0.5 s.
    """

    def time(self) -> float:
        """Return the seconds since boot."""
        return boot_seconds()
