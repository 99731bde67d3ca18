"""Detection of retries by callers, and the pacing of those retries.

Under load, a call sent for the first time takes precedence over one that was refused
before, because the first can still be answered within its target latency. If calls were
served oldest first, a service at its limit would answer every call late and none in time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

SAMPLES = 64
"""Number of recent calls of a route from which its callers' usual time-out is estimated."""

RELEARN_EVERY = 16
"""Number of calls of a route after which its callers' usual time-out is estimated again."""

USUAL_QUANTILE = 0.85
"""Quantile of the remaining times of recent calls that counts as the usual time-out. It is
high enough to exceed the remaining time of most retries, of which there may be more than
first sends, and low enough to exclude the few callers with unusually long time-outs."""

FIRST_SEND_SHARE = 0.98
"""A call with less than this share of the usual time-out left is a retry."""


class UsualDeadline:
    """The time-out, in seconds, that callers of one route set on a first send."""

    __slots__ = ("_samples", "_seen", "_usual")

    def __init__(self) -> None:
        """Start without observed calls."""
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._seen = 0
        self._usual = 0.0

    def is_client_retry(self, remaining: float) -> bool:
        """Record the seconds that a call has left and report whether it is a retry."""
        self._samples.append(remaining)
        if self._seen % RELEARN_EVERY == 0:
            self._usual = self._estimate()
        self._seen += 1
        return remaining < FIRST_SEND_SHARE * self._usual

    def _estimate(self) -> float:
        ordered = sorted(self._samples)
        return ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]


class UsualDeadlines:
    """The usual time-out of each route's callers, by the names of service and route."""

    def __init__(self) -> None:
        """Start without observed calls of any route."""
        self._routes: dict[tuple[str, str], UsualDeadline] = {}

    def is_client_retry(self, service: str, route: str, remaining: float | None) -> bool:
        """Record one call and report whether it is a retry.

        ``remaining`` is its time left in seconds. Without it, return False.
        """
        if remaining is None:
            return False
        usual = self._routes.setdefault((service, route), UsualDeadline())
        return usual.is_client_retry(remaining)

    def keep_only(self, is_there: Callable[[str, str], bool]) -> None:
        """Drop the routes for which ``is_there(service, route)`` is false."""
        for name in [name for name in self._routes if not is_there(*name)]:
            del self._routes[name]


RATE_DECAY_SECONDS = 2.0
RETRY_RATE_SHARE = 0.5
"""Callers are advised to retry at this share of the rate of answers."""

MIN_ADVICE_SECONDS = 0.8
"""A call that was refused twice is late in any case, so it can wait until the overload has
passed."""

MAX_ADVICE_SECONDS = 2.0


class ClientRetryPace:
    """Spreads over time the retries of one service's calls that were refused repeatedly.

    If all got the same advice, they would return together and be refused again.
    """

    __slots__ = ("_answers", "_next", "_seen_at")

    def __init__(self) -> None:
        """Start before the first answered call."""
        self._answers = 0.0
        self._seen_at = 0.0
        self._next = 0.0

    def answered(self, now: float) -> None:
        """Record that a call was answered."""
        self._fade(now)
        self._answers += 1.0

    def book(self, wait: float, now: float) -> float:
        """Reserve a time for a retry and return the seconds until then.

        ``wait`` is the expected number of seconds until a slot is free for the call.
        """
        self._fade(now)
        self._next = max(self._next, now + max(wait, MIN_ADVICE_SECONDS))
        advice = self._next - now
        if advice < MAX_ADVICE_SECONDS:
            self._next += self._spacing_seconds
        return min(advice, MAX_ADVICE_SECONDS)

    @property
    def _spacing_seconds(self) -> float:
        rate = self._answers / RATE_DECAY_SECONDS
        return 1.0 / (RETRY_RATE_SHARE * rate) if rate > 0.0 else 0.0

    def _fade(self, now: float) -> None:
        self._answers *= math.exp((self._seen_at - now) / RATE_DECAY_SECONDS)
        self._seen_at = now
