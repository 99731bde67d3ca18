"""The bucket of one tenant at the leader."""

from __future__ import annotations

from peppershore.process.quotas.terms import BucketTerms

ROUNDING = 1e-9
LONGEST_WAIT_SECONDS = 10.0


class Bucket:
    """Begins empty, fills with time, gives whole calls; never holds less than nothing."""

    __slots__ = ("_filled_at", "_level", "began_at", "terms")

    def __init__(self, terms: BucketTerms, now: float) -> None:
        """Begin empty: what another leader granted just before isn't granted again."""
        self.terms = terms
        self.began_at = now
        self._level = 0.0
        self._filled_at = now

    def use(self, terms: BucketTerms, now: float) -> None:
        """Go by other terms from now on; a lower limit binds at once."""
        self._fill(now)
        self.terms = terms
        self._level = min(self._level, terms.capacity)

    def take(self, calls: int, now: float) -> int:
        """Give as many of these calls as there are."""
        self._fill(now)
        given = min(calls, int(self._level + ROUNDING))
        self._level -= given
        return given

    def wait_seconds(self) -> float:
        """Give the time until the limit gives one more, as of the last take."""
        if self.terms.rate <= 0.0:
            return LONGEST_WAIT_SECONDS
        missing = max(0.0, 1.0 - self._level)
        return min(LONGEST_WAIT_SECONDS, missing / self.terms.rate)

    def _fill(self, now: float) -> None:
        gained = max(0.0, now - self._filled_at) * self.terms.rate
        self._level = min(self.terms.capacity, self._level + gained)
        self._filled_at = max(self._filled_at, now)
