"""What a node sees of its back end while its service is under roll-out.

The node beside a back end sees every call there, also those of other nodes, and with
which version of the software it ran: nothing is sampled, and no call counts twice.
"""

from __future__ import annotations

import math

from peppershore.connection.messages.rollouts import RouteEvidence
from peppershore.request.endpoint_state import Verdict
from peppershore.version.model import ServiceSettings
from peppershore.version.rollout import RUNNING

MIN_SECONDS = 0.001
GROWTH = 1.25
BUCKETS = 64
"""Buckets of times: the first up to a millisecond, each a quarter wider than the one
before, the last from 20 minutes on.  Times twice as long lie three buckets apart."""

MAX_ROUTES = 200
"""Routes that are told apart; calls of further ones count as of one without a name."""

_LOG_GROWTH = math.log(GROWTH)


def bucket_of(seconds: float) -> int:
    """Give the bucket that a time falls into."""
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
    """Counts since the roll-out began; nothing without one."""

    def __init__(self) -> None:
        """Begin without a roll-out."""
        self.began_milliseconds = 0
        self._routes: dict[str, _RouteCounts] = {}
        self._has_changed = False

    def use_settings(self, settings: ServiceSettings) -> None:
        """Take the settings of the own service: another roll-out begins at nothing."""
        is_running = settings.rollout_state == RUNNING
        began = settings.rollout_began_milliseconds if is_running else 0
        if began != self.began_milliseconds:
            self.begin(began)

    def begin(self, began_milliseconds: int) -> None:
        """Count from now on: of another roll-out, or of another life of the back end."""
        self.began_milliseconds = began_milliseconds
        self._routes.clear()
        self._has_changed = began_milliseconds > 0

    def note(
        self, route: str, seconds: float, verdict: Verdict | None, is_warm: bool
    ) -> None:
        """Take one call that the back end began.

        What it refused for load says nothing of its version, nor does the time of one
        that is still warming up.
        """
        if not self.began_milliseconds or verdict in (None, "shed"):
            return
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = ""
        counts = self._routes.setdefault(route, _RouteCounts())
        counts.calls += 1
        counts.failed += verdict == "failed"
        if is_warm:
            bucket = bucket_of(seconds)
            counts.times[bucket] = counts.times.get(bucket, 0) + 1
        self._has_changed = True

    def take_news(self) -> tuple[RouteEvidence, ...] | None:
        """Give all counts if they grew since the last time, else None."""
        if not self._has_changed:
            return None
        self._has_changed = False
        return tuple(
            RouteEvidence(route, counts.calls, counts.failed, _flat(counts.times))
            for route, counts in sorted(self._routes.items())
        )


def _flat(times: dict[int, int]) -> tuple[int, ...]:
    return tuple(number for pair in sorted(times.items()) for number in pair)
