"""The one clock of all decisions: it also counts the time a machine was suspended.

Leases, slot loans, ages and silences are agreed between machines.  The usual steady clock
stands still while a machine is suspended, so a leader that wakes would go on with a lease
that the others have long given to another.  Weighed: the time of day (it can be set back),
a timer that notices suspensions (it comes after the first decisions).
"""

from __future__ import annotations

import asyncio
import time


def boot_seconds() -> float:
    """Give the seconds since the machine's boot, suspended or not; never goes back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is that clock.

    What fell due during a suspension runs at the first event after it, at the latest when
    the wait ends that the suspension interrupted: no role waits longer than 0.5 s.
    """

    def time(self) -> float:
        """Give the seconds since the boot."""
        return boot_seconds()
