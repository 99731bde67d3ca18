"""Token bucket of one tenant's rate limit, at the leader of the control group."""

from __future__ import annotations

from peppershore.process.quotas.terms import BucketTerms

ROUNDING = 1e-9
MAX_WAIT_SECONDS = 10.0


class Bucket:
    """Token bucket that starts empty, grants whole calls and never goes below zero."""

    __slots__ = ("_filled_at", "_level", "began_at", "terms")

    def __init__(self, terms: BucketTerms, now: float) -> None:
        """Start empty, as a previous leader may just have granted a full bucket.

        ``terms`` are the bucket's fill rate and capacity.
        """
        self.terms = terms
        self.began_at = now
        self._level = 0.0
        self._filled_at = now

    def use(self, terms: BucketTerms, now: float) -> None:
        """Replace the terms; a lower capacity cuts the current level at once."""
        self._fill(now)
        self.terms = terms
        self._level = min(self._level, terms.capacity)

    def take(self, calls: int, now: float) -> int:
        """Remove up to ``calls`` calls from the bucket; return how many were granted."""
        self._fill(now)
        granted = min(calls, int(self._level + ROUNDING))
        self._level -= granted
        return granted

    def wait_seconds(self) -> float:
        """Return the seconds from the last ``take`` until one more call is available.

        The result is at most ``MAX_WAIT_SECONDS``.
        """
        if self.terms.rate <= 0.0:
            return MAX_WAIT_SECONDS
        missing = max(0.0, 1.0 - self._level)
        return min(MAX_WAIT_SECONDS, missing / self.terms.rate)

    def _fill(self, now: float) -> None:
        added = max(0.0, now - self._filled_at) * self.terms.rate
        self._level = min(self.terms.capacity, self._level + added)
        self._filled_at = max(self._filled_at, now)
