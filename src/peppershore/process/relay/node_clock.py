"""A node's own clock as its relay knows it: times are told to the node by it.

An age told by the relay would be as of the sending, and the node could not tell how
long the message then waited on a full link.  A time of the node's own clock says the
same whenever it arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MILLISECONDS = 1_000


@dataclass(frozen=True, slots=True)
class NodeClock:
    """What a node's clock showed when it spoke last, and when that was heard.

    ``heard_at`` is monotonic seconds of the relay.  The node's word was under way for a
    while, so its clock has gone on further than this by now, never less.
    """

    shown_milliseconds: int
    heard_at: float

    def at(self, relay_time: float | None) -> int | None:
        """Give what the node's clock showed at least at a time of the relay."""
        if relay_time is None:
            return None
        passed = (relay_time - self.heard_at) * MILLISECONDS
        return self.shown_milliseconds + math.floor(passed)
