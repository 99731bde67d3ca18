"""Limit on the calls sent to one incarnation of a back end, which names the rate itself.

The back end's local node, through which every call passes, enforces the limit for all nodes
together. Two bounds hold: a token bucket spaces the calls by the rate, and a window bounds
how many were sent in any ``WINDOW_SECONDS``. The window also counts the calls sent before
the limit was named, since the back end still works on their backlog.

A first limit meets a back end that got more until then. The window that ends
``apply_seconds`` after it was named is the first that must comply, and what it still allows
is spread evenly over that time. A stop followed by a burst would serve callers worse.
"""

from __future__ import annotations

import math
import sys

from peppershore.request.back_ends.recent_calls import WINDOW_SECONDS, RecentCalls

MAX_WINDOW_SHARE = 1.4
MAX_WINDOW_SLACK_CALLS = 3
"""A window holds at most this share of the rate's calls, and this many more. Back ends
tolerate half more than the rate and five calls; the rest is kept for calls that are on
their way."""

BURST_SECONDS = 0.5
"""Unused calls of this time may be sent at once: callers don't come evenly spaced."""

MIN_CALLS_PER_SECOND = 0.5
"""Rate of calls to a back end that takes fewer or none: only an answer tells its node that
the limit has ended."""

READ_LATE_SECONDS = 0.1
"""A limit was named somewhat before its node reads the first answer that has it; this much
of the time to comply is not used."""

UNLIMITED_CALLS = sys.maxsize


class RateLimit:
    """Calls sent to a back end, and how many more its limit allows now.

    All times are in monotonic seconds.
    """

    def __init__(self, apply_seconds: float) -> None:
        """Start without a limit.

        The windows that end ``apply_seconds`` after a limit was first named, or later,
        comply with it.
        """
        self._apply_seconds = apply_seconds
        self._rate: float | None = None
        self.calls = RecentCalls()
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._binds_from = 0.0
        self._named_at = -math.inf
        self._ended_at = -math.inf

    @property
    def rate(self) -> float | None:
        """Calls a second that the back end takes; None without a limit."""
        return self._rate

    def named(self, rate: float, now: float, *, is_new: bool = True) -> None:
        """Record that the back end named its limit, in calls a second.

        Without ``is_new`` it may have named one long before, so it gets no time to comply.
        """
        if self._rate is None:
            self._begin(now, is_new)
        else:
            self._refill(now)
        self._rate = rate
        self._named_at = now

    def not_named(self, sent_at: float) -> bool:
        """Record an answer without a limit, to a call sent at ``sent_at``.

        The limit ends if that call was sent after the back end last named one: answers to
        earlier calls may be read late. Return whether it ended.
        """
        if self._rate is None or sent_at <= self._named_at:
            return False
        self._rate = None
        self._ended_at = sent_at
        return True

    def sent(self, now: float) -> None:
        """Record that a call is sent now."""
        self.calls.add(now)
        if self._rate is not None:
            self._refill(now)
            self._tokens -= 1.0

    def room(self, now: float) -> int:
        """Return how many calls may be sent now."""
        if self._rate is None:
            return UNLIMITED_CALLS
        self._refill(now)
        left = math.floor(self._most_in_window) - self._in_window(now)
        return max(0, min(math.floor(self._tokens), left))

    def wait(self, calls: int, now: float) -> float:
        """Return the seconds until so many more calls may have been sent; 0 if now."""
        if self._rate is None:
            return 0.0
        self._refill(now)
        return max(self._wait_for_tokens(calls, now), self._wait_for_window(calls, now))

    def _begin(self, now: float, is_new: bool) -> None:
        """Begin a period with a limit; one that follows closely continues the last."""
        self._tokens = 0.0
        self._refilled_at = now
        if not is_new:
            self._binds_from = now
        elif now - self._ended_at > WINDOW_SECONDS:
            self._binds_from = now + max(0.0, self._apply_seconds - READ_LATE_SECONDS)

    @property
    def _effective_rate(self) -> float:
        return max(self._rate or 0.0, MIN_CALLS_PER_SECOND)

    @property
    def _most_in_window(self) -> float:
        calls = (self._rate or 0.0) * WINDOW_SECONDS
        return calls * MAX_WINDOW_SHARE + MAX_WINDOW_SLACK_CALLS

    def _pace(self, now: float) -> float:
        """Return the calls a second that are allowed until the limit binds, and after."""
        remaining = self._binds_from - now
        if remaining <= 0.0:
            return self._effective_rate
        left = self._most_in_window - self._in_window(now)
        return min(self._effective_rate, max(0.0, left) / remaining)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        if elapsed == 0.0:
            return
        burst = max(1.0, self._effective_rate * BURST_SECONDS)
        self._tokens = min(burst, self._tokens + elapsed * self._pace(self._refilled_at))
        self._refilled_at = now

    def _wait_for_tokens(self, calls: int, now: float) -> float:
        missing = calls - self._tokens
        if missing <= 0.0:
            return 0.0
        until_binding = max(0.0, self._binds_from - now)
        pace = self._pace(now)
        if pace * until_binding >= missing:
            return missing / pace
        return until_binding + (missing - pace * until_binding) / self._effective_rate

    def _wait_for_window(self, calls: int, now: float) -> float:
        """Return the seconds until enough sent calls have left the window."""
        excess = self._in_window(now) + calls - math.floor(self._most_in_window)
        if excess <= 0:
            return 0.0
        begin = max(now, self._binds_from) - WINDOW_SECONDS
        return max(0.0, self.calls.leaves_window_at(excess, begin) - now)

    def _in_window(self, now: float) -> int:
        """Return the calls sent so far in the window to now, or the first that binds."""
        return self.calls.since(max(now, self._binds_from) - WINDOW_SECONDS)
