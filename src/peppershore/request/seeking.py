"""Whether it is of use to ask back ends for a free slot before a call waits for one.

Where a few asks in a row were refused, the service is short of slots, and to ask costs
two nodes more than it gives: the next calls wait in line at once.  Now and then one asks
again, since the end of a shortage shows by an ask that is granted.
"""

from __future__ import annotations

ASKS_IN_VAIN = 4
"""So many refusals in a row show a shortage: with a tenth of all slots free, four asks
fail by chance two times in three, with half of them free one time in sixteen."""

PAUSE_SECONDS = 0.25
"""For so long calls wait in line at once; then the next one asks again."""


class FreeSlotProbing:
    """What the last asks at the back ends of one service came to."""

    __slots__ = ("_refusals_in_a_row", "_pause_until")

    def __init__(self) -> None:
        """Begin with asking."""
        self._refusals_in_a_row = 0
        self._pause_until = 0.0

    def is_in_vain(self, now: float) -> bool:
        """Whether a call should wait in line at once."""
        return now < self._pause_until

    def refused(self, now: float) -> None:
        """A back end had no slot free for a call that asked."""
        self._refusals_in_a_row += 1
        if self._refusals_in_a_row >= ASKS_IN_VAIN:
            self._pause_until = now + PAUSE_SECONDS

    def granted(self) -> None:
        """A call that asked was given a slot."""
        self._refusals_in_a_row = 0
        self._pause_until = 0.0
