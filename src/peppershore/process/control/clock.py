"""Wall-clock time for people to read; nothing is ordered by it."""

from __future__ import annotations

from peppershore.process.events import Event

MILLISECONDS_PER_SECOND = 1_000


class ClockObserved(Event, frozen=True):
    """The shell read the wall clock: milliseconds since the Unix epoch."""

    unix_milliseconds: int


class WallClock:
    """Wall-clock time at a monotonic time, from the newest observation."""

    def __init__(self) -> None:
        """Nothing observed: times are 0."""
        self._observed: ClockObserved | None = None
        self._observed_at = 0.0

    def observe(self, observed: ClockObserved, now: float) -> None:
        """Take an observation made at monotonic ``now``."""
        self._observed = observed
        self._observed_at = now

    def unix_milliseconds(self, now: float) -> int:
        """Milliseconds since the Unix epoch at monotonic ``now``."""
        if self._observed is None:
            return 0
        passed = round((now - self._observed_at) * MILLISECONDS_PER_SECOND)
        return self._observed.unix_milliseconds + passed
