"""A retry budget shared by all nodes of a service, without coordination.

The bound covers the retries of all nodes together within a time window: a share of the
calls in it, plus a slack. A node knows its own calls and the number of nodes. It stays
within the share of its own calls plus its part of the slack.
"""

from __future__ import annotations

from collections import deque

import msgspec

USED_SHARE = 0.7
"""Share of the bound that is used, since nodes learn of each other with a delay."""


class RetryBound(msgspec.Struct, frozen=True):
    """Bound on the retries of a service in any ``window_seconds``, over all nodes together.

    It is ``ratio`` times the number of calls, plus ``slack``.
    """

    ratio: float
    window_seconds: float
    slack: float


class SharedRetryBudget:
    """One node's part of the bound, for one service."""

    def __init__(self, bound: RetryBound) -> None:
        """Start without calls and retries; ``bound`` is for all nodes together."""
        self._bound = bound
        self._calls: deque[float] = deque()
        self._retries: deque[float] = deque()

    def called(self, now: float) -> None:
        """Record a call's first attempt."""
        self._calls.append(now)
        self._forget(now)

    def spend(self, nodes: int, now: float) -> bool:
        """Spend one retry and return True, or False if this node's part is used up.

        ``nodes`` is the number of nodes that share the bound.
        """
        self._forget(now)
        if len(self._retries) + 1 > self.allowed(nodes):
            return False
        self._retries.append(now)
        return True

    def allowed(self, nodes: int) -> float:
        """Return the number of retries that one of ``nodes`` nodes may make in a window."""
        slack = self._bound.slack / max(1, nodes)
        return USED_SHARE * (self._bound.ratio * len(self._calls) + slack)

    def _forget(self, now: float) -> None:
        since = now - self._bound.window_seconds
        for moments in (self._calls, self._retries):
            while moments and moments[0] < since:
                moments.popleft()
