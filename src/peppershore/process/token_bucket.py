"""A token bucket: so many a second and a small burst, so that a storm can't swamp."""

from __future__ import annotations

BURST_SECONDS = 0.25
MAX_RETRY_SECONDS = 10.0


class TokenBucket:
    """Admits ``rate`` a second, such as hellos, and a burst of ``capacity``.

    Hellos that are not admitted are told to come back when the bucket will
    have worked through those told before them, so that the deferred ones
    come back spread out.
    """

    def __init__(self, rate: float, capacity: float = 0.0) -> None:
        """Start full; the capacity is a short time's worth unless it is given."""
        self._rate = rate
        self._capacity = capacity or max(1.0, rate * BURST_SECONDS)
        self._tokens = self._capacity
        self._filled_at: float | None = None
        self._deferred = 0.0

    def admit(self, now: float) -> bool:
        """Take a token if there is one."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def retry_after_seconds(self) -> float:
        """Give the bound of a deferred hello's wait; count it as waiting."""
        self._deferred += 1.0
        return min(MAX_RETRY_SECONDS, BURST_SECONDS + 2.0 * self._deferred / self._rate)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self._rate
            self._tokens = min(self._capacity, self._tokens + gained)
            self._deferred = max(0.0, self._deferred - gained)
        self._filled_at = now
