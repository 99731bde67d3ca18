"""Statistics of the local back end while its service's software is rolled out.

The node co-located with a back end sees every call there, including those of other nodes,
and knows which version of the software ran it: nothing is sampled, and no call counts
twice.
"""

from __future__ import annotations

import math

from peppershore.connection.messages.rollouts import RouteEvidence
from peppershore.request.endpoint_state import AttemptResult
from peppershore.version.model import ServiceSettings
from peppershore.version.rollout import RUNNING

MIN_SECONDS = 0.001
GROWTH = 1.25
BUCKETS = 64
"""Number of histogram buckets of durations: the first up to one millisecond, each a quarter
wider than the one before, the last from 20 minutes on. Durations that differ by a factor of
two lie three buckets apart."""

MAX_ROUTES = 200
"""Number of routes with separate counts; calls of further ones count under an empty
name."""

_LOG_GROWTH = math.log(GROWTH)


def bucket_of(seconds: float) -> int:
    """Return the index of the histogram bucket that a duration falls into."""
    if seconds <= MIN_SECONDS:
        return 0
    number = math.ceil(math.log(seconds / MIN_SECONDS) / _LOG_GROWTH)
    return min(BUCKETS - 1, number)


class _RouteCounts:
    __slots__ = ("calls", "failed", "times")

    def __init__(self) -> None:
        self.calls = 0
        self.failed = 0
        self.times: dict[int, int] = {}


class VersionEvidence:
    """Counts of the local back end's calls by route since the roll-out began.

    Without a roll-out they are empty.
    """

    def __init__(self) -> None:
        """Start without a roll-out, so without counts."""
        self.began_milliseconds = 0
        self._routes: dict[str, _RouteCounts] = {}
        self._has_changed = False

    def use_settings(self, settings: ServiceSettings) -> None:
        """Apply the settings of the local service; another roll-out resets the counts."""
        is_running = settings.rollout_state == RUNNING
        began = settings.rollout_began_milliseconds if is_running else 0
        if began != self.began_milliseconds:
            self.begin(began)

    def begin(self, began_milliseconds: int) -> None:
        """Reset the counts, for another roll-out or another incarnation of the back end.

        ``began_milliseconds`` is when the roll-out began; 0 means that there is none.
        """
        self.began_milliseconds = began_milliseconds
        self._routes.clear()
        self._has_changed = began_milliseconds > 0

    def note(
        self, route: str, seconds: float, result: AttemptResult | None, is_warm: bool
    ) -> None:
        """Count one call that the back end began, and its duration in seconds.

        A refusal for load says nothing about the version, nor does the duration of a call
        at a back end that is still warming up.
        """
        if not self.began_milliseconds or result in (None, "shed"):
            return
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = ""
        counts = self._routes.setdefault(route, _RouteCounts())
        counts.calls += 1
        counts.failed += result == "failed"
        if is_warm:
            bucket = bucket_of(seconds)
            counts.times[bucket] = counts.times.get(bucket, 0) + 1
        self._has_changed = True

    def take_changes(self) -> tuple[RouteEvidence, ...] | None:
        """Return all counts if they changed since this was last called, else None."""
        if not self._has_changed:
            return None
        self._has_changed = False
        return tuple(
            RouteEvidence(route, counts.calls, counts.failed, _flat(counts.times))
            for route, counts in sorted(self._routes.items())
        )


def _flat(times: dict[int, int]) -> tuple[int, ...]:
    return tuple(number for pair in sorted(times.items()) for number in pair)
