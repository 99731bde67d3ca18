"""Which calls are comebacks of refused ones.

Under load a call that comes for the first time goes before one that was refused
before: the first can still be answered within its target latency.  Served oldest first,
a service at its limit answers every call late and none in time.
"""

from __future__ import annotations

from collections import deque

SAMPLES = 64
"""Calls of a route by which its callers' usual time is known."""

RELEARN_EVERY = 16
"""Calls of a route after which its callers' usual time is worked out again."""

USUAL_QUANTILE = 0.85
"""The usual time is longer than that of most comebacks, of which there may be more than
first calls, and shorter than that of the few callers with more patience than others."""

COMEBACK_SHARE = 0.98
"""A call with less than this part of the usual time left came before."""


class UsualTime:
    """The time that callers of one route give a call at first, in seconds."""

    __slots__ = ("_samples", "_seen", "_usual")

    def __init__(self) -> None:
        """Begin without calls."""
        self._samples: deque[float] = deque(maxlen=SAMPLES)
        self._seen = 0
        self._usual = 0.0

    def is_comeback(self, remaining: float) -> bool:
        """Take the time that a call has left; tell whether it came before."""
        self._samples.append(remaining)
        if self._seen % RELEARN_EVERY == 0:
            self._usual = self._learned()
        self._seen += 1
        return remaining < COMEBACK_SHARE * self._usual

    def _learned(self) -> float:
        ordered = sorted(self._samples)
        return ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]


class UsualTimes:
    """The usual time of each route's callers, by the names of service and route."""

    def __init__(self) -> None:
        """Begin without routes."""
        self._routes: dict[tuple[str, str], UsualTime] = {}

    def is_comeback(self, service: str, route: str, remaining: float | None) -> bool:
        """Take one call; without a deadline nothing is known of it."""
        if remaining is None:
            return False
        usual = self._routes.setdefault((service, route), UsualTime())
        return usual.is_comeback(remaining)

    def keep_only(self, routes: frozenset[tuple[str, str]]) -> None:
        """Forget routes that are there no more."""
        for gone in self._routes.keys() - routes:
            del self._routes[gone]
