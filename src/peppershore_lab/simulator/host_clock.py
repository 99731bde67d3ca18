"""The monotonic clock of one simulated machine: it drifts and can jump ahead."""

from __future__ import annotations

from peppershore_lab.simulator.scheduler import Scheduler


class HostClock:
    """Reads ``offset + rate * virtual time``; never goes back."""

    counts_suspension = True
    """As the processes' clock does; the usual steady clock of a machine does not."""

    def __init__(self, scheduler: Scheduler, offset: float, rate: float) -> None:
        """``offset`` in seconds; ``rate`` 1.0 means no drift."""
        self._suspended_at: float | None = None
        self._scheduler = scheduler
        self._offset = offset
        self._rate = rate

    @property
    def now(self) -> float:
        """Seconds on this machine's clock."""
        if self._suspended_at is not None:
            return self._suspended_at
        return self._offset + self._rate * self._scheduler.now

    def suspend(self) -> None:
        """The machine is suspended; a clock that does not count that stands still."""
        if not self.counts_suspension and self._suspended_at is None:
            self._suspended_at = self.now

    def resume(self) -> None:
        """The machine goes on."""
        if self._suspended_at is not None:
            running = self._offset + self._rate * self._scheduler.now
            self._offset -= running - self._suspended_at
            self._suspended_at = None

    def virtual_delay(self, local_seconds: float) -> float:
        """Give the virtual seconds that pass while this clock counts so many."""
        return max(0.0, local_seconds) / self._rate

    def jump(self, seconds: float) -> None:
        """Go ahead at once, as after a machine was suspended."""
        assert seconds >= 0.0, "a monotonic clock never goes back"
        self._offset += seconds
