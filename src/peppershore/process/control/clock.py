"""Wall-clock time for display; nothing is ordered by it."""

from __future__ import annotations

from peppershore.process.events import Event

MILLISECONDS_PER_SECOND = 1_000


class ClockObserved(Event, frozen=True):
    """Milliseconds since the Unix epoch, as the shell read them from the wall clock."""

    unix_milliseconds: int


class WallClock:
    """Converts monotonic time to wall-clock time by the newest observation."""

    def __init__(self) -> None:
        """Start without an observation: until the first one all times are 0."""
        self._observed: ClockObserved | None = None
        self._observed_at = 0.0

    def observe(self, observed: ClockObserved, now: float) -> None:
        """Store an observation made at monotonic time ``now`` (seconds)."""
        self._observed = observed
        self._observed_at = now

    def unix_milliseconds(self, now: float) -> int:
        """Return the milliseconds since the Unix epoch at monotonic time ``now``."""
        if self._observed is None:
            return 0
        passed = round((now - self._observed_at) * MILLISECONDS_PER_SECOND)
        return self._observed.unix_milliseconds + passed
