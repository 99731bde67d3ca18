"""Token bucket: limits events to a rate and a small burst, against reconnect storms."""

from __future__ import annotations

BURST_SECONDS = 0.25
MAX_RETRY_SECONDS = 10.0


class TokenBucket:
    """Admits ``rate`` events per second, such as hellos, and a burst of ``capacity``.

    The sender of a hello that is not admitted gets a delay after which it may retry. The
    delay covers the time that the bucket needs for the hellos deferred before this one, so
    that retries are spread out.
    """

    def __init__(self, rate: float, capacity: float = 0.0) -> None:
        """Start with a full bucket.

        ``rate`` is in events per second and ``capacity`` in events; a ``capacity`` of 0
        means as many as the rate admits in 0.25 s, but at least 1.
        """
        self._rate = rate
        self._capacity = capacity or max(1.0, rate * BURST_SECONDS)
        self._tokens = self._capacity
        self._refilled_at: float | None = None
        self._deferred = 0.0

    def admit(self, now: float) -> bool:
        """Return whether an event is admitted at ``now`` (seconds); if so, count it."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def retry_after_seconds(self) -> float:
        """Count one more deferred hello and return the upper bound of its retry delay.

        The bound grows with the number of deferred hellos, up to ``MAX_RETRY_SECONDS``.
        """
        self._deferred += 1.0
        return min(MAX_RETRY_SECONDS, BURST_SECONDS + 2.0 * self._deferred / self._rate)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = max(0.0, now - self._refilled_at) * self._rate
            self._tokens = min(self._capacity, self._tokens + gained)
            self._deferred = max(0.0, self._deferred - gained)
        self._refilled_at = now
