"""How long the calls of each route run, as means of what was seen.

Routes to one service can differ tenfold in their work; one time for all would refuse
the quick calls for the sake of the slow ones.
"""

from __future__ import annotations

import msgspec

FIRST_SECONDS = 0.005
"""Assumed before anything was seen."""

MIN_WEIGHT = 0.05
MAX_ROUTES = 1_000


class MeanTime(msgspec.Struct):
    """A mean of seconds that follows changes: the newest counts at least 5 %."""

    seconds: float = FIRST_SECONDS
    count: int = 0

    def observe(self, seconds: float) -> None:
        """Take one time."""
        self.count += 1
        self.seconds += (seconds - self.seconds) * max(MIN_WEIGHT, 1.0 / self.count)


class WorkTimes:
    """Mean times of the calls to one service, by route and over all."""

    def __init__(self) -> None:
        """Begin without observations."""
        self._all = MeanTime()
        self._routes: dict[str, MeanTime] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Take the time of one answered call."""
        self._all.observe(seconds)
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            self._routes.clear()
        self._routes.setdefault(route, MeanTime()).observe(seconds)

    def known(self, route: str) -> float:
        """Give the mean seconds of a route's calls; 0 where none was seen."""
        seen = self._routes.get(route)
        return 0.0 if seen is None else seen.seconds

    def of(self, route: str) -> float:
        """Give the mean seconds of a route's calls; of all where it is unknown."""
        return self._routes.get(route, self._all).seconds

    @property
    def of_all(self) -> float:
        """Mean seconds of a call, whatever its route."""
        return self._all.seconds
