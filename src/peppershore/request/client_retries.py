"""Which calls are retries of refused ones, and when their callers should retry.

Under load a call that comes for the first time goes before one that was refused
before: the first can still be answered within its target latency.  Served oldest first,
a service at its limit answers every call late and none in time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

SAMPLES = 64
"""Calls of a route by which its callers' usual time is known."""

RELEARN_EVERY = 16
"""Calls of a route after which its callers' usual time is worked out again."""

USUAL_QUANTILE = 0.85
"""The usual time is longer than that of most retries, of which there may be more than
first calls, and shorter than that of the few callers with more patience than others."""

FIRST_SEND_SHARE = 0.98
"""A call with less than this part of the usual time left came before."""


class UsualDeadline:
    """The time that callers of one route give a call at first, in seconds."""

    __slots__ = ("_samples", "_seen", "_usual")

    def __init__(self) -> None:
        """Begin without calls."""
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._seen = 0
        self._usual = 0.0

    def is_client_retry(self, remaining: float) -> bool:
        """Take the time that a call has left; tell whether it came before."""
        self._samples.append(remaining)
        if self._seen % RELEARN_EVERY == 0:
            self._usual = self._estimate()
        self._seen += 1
        return remaining < FIRST_SEND_SHARE * self._usual

    def _estimate(self) -> float:
        ordered = sorted(self._samples)
        return ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]


class UsualDeadlines:
    """The usual time of each route's callers, by the names of service and route."""

    def __init__(self) -> None:
        """Begin without routes."""
        self._routes: dict[tuple[str, str], UsualDeadline] = {}

    def is_client_retry(self, service: str, route: str, remaining: float | None) -> bool:
        """Take one call; without a deadline nothing is known of it."""
        if remaining is None:
            return False
        usual = self._routes.setdefault((service, route), UsualDeadline())
        return usual.is_client_retry(remaining)

    def keep_only(self, is_there: Callable[[str, str], bool]) -> None:
        """Forget routes that are there no more, by the names of service and route."""
        for name in [name for name in self._routes if not is_there(*name)]:
            del self._routes[name]


RATE_DECAY_SECONDS = 2.0
RETRY_RATE_SHARE = 0.5
"""Callers are told to retry at this part of the rate of answers."""

MIN_ADVICE_SECONDS = 0.8
"""A call that was refused twice is late in any case: let the overload pass."""

MAX_ADVICE_SECONDS = 2.0


class ClientRetryPace:
    """Spreads over time the calls of one service that were refused more than once.

    All told the same, they would come back together and be refused again.
    """

    __slots__ = ("_answers", "_next", "_seen_at")

    def __init__(self) -> None:
        """Begin without answers, so without a rate."""
        self._answers = 0.0
        self._seen_at = 0.0
        self._next = 0.0

    def answered(self, now: float) -> None:
        """A call was answered."""
        self._fade(now)
        self._answers += 1.0

    def book(self, wait: float, now: float) -> float:
        """Give the seconds after which a call should come back once more.

        ``wait``: seconds until a slot may be free for it, as far as is known.
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
