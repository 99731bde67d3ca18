"""What a relay knows of one tenant's calls."""

from __future__ import annotations

from collections import deque

import msgspec

from peppershore.process.events import LinkId
from peppershore.process.quotas.demand import Demand
from peppershore.process.quotas.lots import Lots

FORECAST_SECONDS = 0.02
"""Asked for besides: what nodes will want until the answer is there, and little more, as
what is not used within the lease is lost."""


class NodeAsk(msgspec.Struct):
    """A node's ask that waits at its relay."""

    link: LinkId
    number: int
    calls: int
    came_at: float


class RelayLine:
    """One tenant at a relay.

    ``debts`` are the moments at which calls were given ahead of asking for them; the
    next grants pay for them.
    """

    __slots__ = ("ahead", "debts", "demand", "denied_until", "lots", "refused", "waiting")

    def __init__(self) -> None:
        """Begin with nothing granted."""
        self.lots = Lots()
        self.waiting: deque[NodeAsk] = deque()
        self.debts: deque[float] = deque()
        self.demand = Demand()
        self.denied_until = 0.0
        self.ahead = 0
        self.refused = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is held, owed or waited for."""
        return not (self.lots.calls or self.waiting or self.debts)

    def wanted(self, now: float) -> int:
        """Count the calls to be granted: owed, waited for, and soon wanted."""
        waited = sum(each.calls for each in self.waiting)
        soon = self.demand.expected(FORECAST_SECONDS, now)
        return len(self.debts) + waited + soon - self.lots.calls

    def tell_refused(self) -> int:
        """Give the refused calls that nodes told of since this was last told."""
        told, self.refused = self.refused, 0
        return told

    def pay(self, granted: int, sent_at: float) -> int:
        """Pay with grants for what was given before their ask; give what is left.

        What was given later stays owed: a grant must not be older than the call that it
        pays for, or a window could hold more calls than were granted in it.
        """
        while granted > 0 and self.debts and self.debts[0] <= sent_at:
            self.debts.popleft()
            granted -= 1
        return granted

    def give(self, most: int, is_ahead_valid: bool, now: float) -> tuple[int, float]:
        """Give calls that are there, at most so many; tell when the first lot ends.

        What is given ahead ends by the lease alone, told as infinity.
        """
        given, ends_at = self.lots.take(most, now)
        room = self.ahead - len(self.debts) if is_ahead_valid else 0
        ahead = max(0, min(most - given, room))
        self.debts.extend([now] * ahead)
        return given + ahead, ends_at
