"""Quota state of one tenant at a relay."""

from __future__ import annotations

from collections import deque

import msgspec

from peppershore.process.events import LinkId
from peppershore.process.quotas.demand import Demand
from peppershore.process.quotas.leased_calls import LeasedCalls

FORECAST_SECONDS = 0.02
"""A request also covers the calls that nodes are expected to want in this time, which is
little longer than an answer takes: calls not used within their lease are lost."""


class NodeRequest(msgspec.Struct):
    """A node's request for calls that waits at its relay."""

    link: LinkId
    number: int
    calls: int
    came_at: float


class RelayTenant:
    """State of one tenant at a relay.

    ``debts`` holds the times of calls that the relay granted in advance, before it
    requested them from the leader. The next grants are used to cover them.
    """

    __slots__ = ("ahead", "debts", "demand", "denied_until", "leased", "refused", "waiting")

    def __init__(self) -> None:
        """Start without granted calls."""
        self.leased = LeasedCalls()
        self.waiting: deque[NodeRequest] = deque()
        self.debts: deque[float] = deque()
        self.demand = Demand()
        self.denied_until = 0.0
        self.ahead = 0
        self.refused = 0

    @property
    def is_idle(self) -> bool:
        """Whether there are no granted calls, no debts and no waiting requests."""
        return not (self.leased.calls or self.waiting or self.debts)

    def wanted(self, now: float) -> int:
        """Return the calls to request: debts, waiting and expected, less those granted."""
        waited = sum(each.calls for each in self.waiting)
        soon = self.demand.expected(FORECAST_SECONDS, now)
        return len(self.debts) + waited + soon - self.leased.calls

    def take_refused(self) -> int:
        """Return the refused calls that nodes reported, and reset the count."""
        reported, self.refused = self.refused, 0
        return reported

    def cover_debts(self, granted: int, sent_at: float) -> int:
        """Use grants to cover the debts made before their request was sent at ``sent_at``.

        Return the number of grants left over. A later debt is not covered: a grant must
        not be older than the call that it covers, or a window could hold more calls than
        were granted in it.
        """
        while granted > 0 and self.debts and self.debts[0] <= sent_at:
            self.debts.popleft()
            granted -= 1
        return granted

    def grant(self, max_calls: int, is_ahead_valid: bool, now: float) -> tuple[int, float]:
        """Grant a node up to ``max_calls`` calls, from granted calls and then in advance.

        Return the number of calls and when the first of their leases expires: infinity if
        all are advance grants, which last for a whole lease.
        """
        given, expires_at = self.leased.take(max_calls, now)
        available = self.ahead - len(self.debts) if is_ahead_valid else 0
        ahead = max(0, min(max_calls - given, available))
        self.debts.extend([now] * ahead)
        return given + ahead, expires_at
