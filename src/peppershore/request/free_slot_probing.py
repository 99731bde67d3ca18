"""Whether to probe back ends for a free slot before a call waits for one.

After a few refused probes in a row, the service is taken to be saturated, and a probe costs
two nodes more than it gains: the next calls wait in the queue at once. From time to time
one call probes again, since a granted probe shows that there is capacity again.
"""

from __future__ import annotations

MAX_REFUSED_PROBES = 4
"""Number of refused probes in a row that shows a shortage. With a tenth of all slots
free, four probes fail by chance two times in three; with half of them free, one time in
sixteen."""

PAUSE_SECONDS = 0.25
"""For this long calls wait in the queue without probing; then the next call probes
again."""


class FreeSlotProbing:
    """Results of the last probes for a free slot at the back ends of one service."""

    __slots__ = ("_refusals_in_a_row", "_pause_until")

    def __init__(self) -> None:
        """Start with probing enabled."""
        self._refusals_in_a_row = 0
        self._pause_until = 0.0

    def is_suspended(self, now: float) -> bool:
        """Report whether a call should wait in the queue without probing."""
        return now < self._pause_until

    def refused(self, now: float) -> None:
        """Record that a probed back end had no free slot."""
        self._refusals_in_a_row += 1
        if self._refusals_in_a_row >= MAX_REFUSED_PROBES:
            self._pause_until = now + PAUSE_SECONDS

    def granted(self) -> None:
        """Record that a probe got a slot."""
        self._refusals_in_a_row = 0
        self._pause_until = 0.0
