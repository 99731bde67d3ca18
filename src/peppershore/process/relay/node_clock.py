"""Conversion of relay times to the clock of a node.

If the relay sent the age of a confirmation, the node could not know how long the
message then waited on a congested link. A time on the node's own clock stays correct
however late the message arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class NodeClock:
    """Last known reading of a node's clock, and when the relay received it.

    ``heard_at`` is monotonic seconds of the relay. The message took some time to
    arrive, so the node's clock is never behind the time computed from this reading.
    """

    shown_milliseconds: int
    heard_at: float

    def at(self, relay_time: float | None) -> int | None:
        """Return a lower bound, in milliseconds, of the node's clock at a relay time."""
        if relay_time is None:
            return None
        passed = (relay_time - self.heard_at) * MILLISECONDS
        return self.shown_milliseconds + math.floor(passed)
