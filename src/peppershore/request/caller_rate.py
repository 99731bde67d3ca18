"""Rate limit per caller and route, with bounded memory."""

from __future__ import annotations

from collections import OrderedDict

MAX_CALLERS = 20_000
BURST_SECONDS = 1.0


class CallerRates:
    """Rate limits of callers, with a token bucket for each route and caller."""

    def __init__(self, max_callers: int = MAX_CALLERS) -> None:
        """Start without callers.

        Above ``max_callers`` buckets, the least recently used one is evicted.
        """
        self._max_callers = max_callers
        self._buckets: OrderedDict[tuple[str, str], tuple[float, float]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of buckets, one for each route and caller."""
        return len(self._buckets)

    def wait_seconds(self, route: str, caller: str, rate: int, now: float) -> float:
        """Count one call of ``caller`` on ``route``, limited to ``rate`` calls per second.

        Return 0 if the call is allowed, else the seconds until it would be. A ``rate`` of 0
        means no limit.
        """
        if rate <= 0:
            return 0.0
        name = (route, caller)
        capacity = max(1.0, rate * BURST_SECONDS)
        tokens, seen = self._buckets.get(name, (capacity, now))
        tokens = min(capacity, tokens + (now - seen) * rate)
        allowed = tokens >= 1.0
        self._buckets[name] = (tokens - 1.0 if allowed else tokens, now)
        self._buckets.move_to_end(name)
        if len(self._buckets) > self._max_callers:
            self._buckets.popitem(last=False)
        return 0.0 if allowed else (1.0 - tokens) / rate
