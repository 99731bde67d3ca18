"""Mean durations of observed calls, by route.

Routes to one service can differ tenfold in their work. With one mean for all, quick calls
would be refused because of the slow ones.
"""

from __future__ import annotations

import msgspec

FIRST_SECONDS = 0.005
"""Assumed duration before any observation."""

MIN_WEIGHT = 0.05
MAX_ROUTES = 1_000


class MeanTime(msgspec.Struct):
    """A moving mean of seconds, in which the newest value has a weight of at least 5 %."""

    seconds: float = FIRST_SECONDS
    count: int = 0

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self.count += 1
        self.seconds += (seconds - self.seconds) * max(MIN_WEIGHT, 1.0 / self.count)


class WorkTimes:
    """Mean durations of the calls to one service, by route and over all."""

    def __init__(self) -> None:
        """Start without observations."""
        self._all = MeanTime()
        self._routes: dict[str, MeanTime] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Add the duration of one answered call."""
        self._all.observe(seconds)
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            self._routes.clear()
        self._routes.setdefault(route, MeanTime()).observe(seconds)

    def known(self, route: str) -> float:
        """Return the mean duration of a route's calls in seconds; 0 if none was seen."""
        seen = self._routes.get(route)
        return 0.0 if seen is None else seen.seconds

    def of(self, route: str) -> float:
        """Return the mean duration of a route's calls in seconds; of all if unknown."""
        return self._routes.get(route, self._all).seconds

    @property
    def of_all(self) -> float:
        """Mean duration of a call in seconds, over all routes."""
        return self._all.seconds
