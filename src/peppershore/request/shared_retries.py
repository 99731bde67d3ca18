"""A retry budget shared by all nodes, without coordination between them.

The bound covers the repeats that arrive at all back ends of a service within a time window:
a share of the requests in it, plus a slack. Each back end's node grants repeats of its own
part, out of what it sees arrive: a share of the first sends there, plus its part of the
slack. A send counts when it goes to the back end, so the sum over all nodes is what the
back ends see, whoever sent it and however long it took.

What a node does not know errs to fewer repeats: one that has just started has forgotten
what it granted, and one that is cut off may know few of the others.
"""

from __future__ import annotations

from collections import deque

import msgspec

RATIO_SHARE = 0.85
"""Share of ``RetryBound.ratio`` that a node grants, once it has run for a window."""

RESTARTED_RATIO_SHARE = 1.0 - RATIO_SHARE
"""Share of ``RetryBound.ratio`` that a node grants in the first window after its start,
without any slack. An earlier process may have granted its whole part just before: however
often the node restarts, the two shares add up to the ratio."""

SLACK_SHARE = 0.5
"""Share of the slack that all nodes together grant. The rest covers nodes that divide it by
too few: back ends that joined are not known yet, or a cut hides others."""

PEAK_WINDOWS = 6
"""Number of windows for which a node remembers the largest number of back ends: those that
are gone from its view may still be called."""


class RetryBound(msgspec.Struct, frozen=True):
    """Bound on the repeats at a service in any ``window_seconds``, over all nodes together.

    It is ``ratio`` times the number of requests, plus ``slack``.
    """

    ratio: float
    window_seconds: float
    slack: float


class RecentPeak:
    """The largest value of a number in a period up to now."""

    def __init__(self, seconds: float) -> None:
        """Start at 0; ``seconds`` is the length of the period."""
        self._seconds = seconds
        self._current = 0
        self._replaced: deque[tuple[float, int]] = deque()

    def set(self, value: int, now: float) -> None:
        """Set the current value."""
        if value != self._current:
            self._replaced.append((now, self._current))
            self._current = value
            self._forget(now)

    def peak(self, now: float) -> int:
        """Return the largest value that held at some time in the period."""
        self._forget(now)
        return max(self._current, *(value for _, value in self._replaced), 0)

    def _forget(self, now: float) -> None:
        while self._replaced and self._replaced[0][0] < now - self._seconds:
            self._replaced.popleft()


class SharedRetryBudget:
    """The part of the bound that one node grants."""

    def __init__(self, bound: RetryBound, now: float) -> None:
        """Start without arrivals at ``now``, when the process starts."""
        self._bound = bound
        self._started_at = now
        self._first: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._sharers = RecentPeak(PEAK_WINDOWS * bound.window_seconds)

    def share_among(self, nodes: int, now: float) -> None:
        """Use the number of nodes that this one knows to divide the slack among."""
        self._sharers.set(nodes, now)

    def sharers(self, now: float) -> int:
        """Return the number of nodes by which the slack is divided; 0 if none is known."""
        return self._sharers.peak(now)

    def first_arrived(self, now: float) -> None:
        """Record that a first send arrived."""
        self._first.append(now)
        self._forget(now)

    def has_room(self, now: float) -> bool:
        """Report whether a repeat would be granted now."""
        self._forget(now)
        return len(self._repeats) + 1 <= self.allowed(now)

    def spend(self, now: float) -> bool:
        """Grant a repeat and return True, or return False if the part is used up."""
        if not self.has_room(now):
            return False
        self._repeats.append(now)
        return True

    def allowed(self, now: float) -> float:
        """Return the number of repeats that may arrive in the window that ends now."""
        earned = self._bound.ratio * len(self._first)
        if now - self._started_at < self._bound.window_seconds:
            return RESTARTED_RATIO_SHARE * earned
        sharers = self.sharers(now)
        slack = self._bound.slack / sharers if sharers else 0.0
        return RATIO_SHARE * earned + SLACK_SHARE * slack

    def _forget(self, now: float) -> None:
        since = now - self._bound.window_seconds
        for moments in (self._first, self._repeats):
            while moments and moments[0] < since:
                moments.popleft()
