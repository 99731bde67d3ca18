"""A retry budget that all nodes of a service share, kept by each node alone.

The bound is on the repeats of all nodes together within a window: a share of the
calls in it, and a slack.  A node knows its own calls and how many nodes there are; it
keeps within its own calls' share and its part of the slack.
"""

from __future__ import annotations

from collections import deque

import msgspec

USED_SHARE = 0.7
"""Part of the bound that is used: nodes know of each other late."""


class RetryBound(msgspec.Struct, frozen=True):
    """Repeats of a service in any ``window_seconds``, over all nodes together.

    At most ``ratio`` times the calls, plus ``slack``.
    """

    ratio: float
    window_seconds: float
    slack: float


class SharedRetryBudget:
    """One node's part of the bound, for one service."""

    def __init__(self, bound: RetryBound) -> None:
        """Begin without calls and without repeats."""
        self._bound = bound
        self._calls: deque[float] = deque()
        self._retries: deque[float] = deque()

    def called(self, now: float) -> None:
        """A call was made for the first time."""
        self._calls.append(now)
        self._forget(now)

    def spend(self, nodes: int, now: float) -> bool:
        """Take one repeat; false if this node's part is used up."""
        self._forget(now)
        if len(self._retries) + 1 > self.allowed(nodes):
            return False
        self._retries.append(now)
        return True

    def allowed(self, nodes: int) -> float:
        """Give the repeats this node may make within a window."""
        slack = self._bound.slack / max(1, nodes)
        return USED_SHARE * (self._bound.ratio * len(self._calls) + slack)

    def _forget(self, now: float) -> None:
        since = now - self._bound.window_seconds
        for moments in (self._calls, self._retries):
            while moments and moments[0] < since:
                moments.popleft()
