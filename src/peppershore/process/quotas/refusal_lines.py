"""Which refusals by a tenant's limit get a log line: few, and the rest is counted."""

from __future__ import annotations

import math

LINE_SECONDS = 5.0
"""A tenant has one line in it at a node: it says what decided, metrics say how often."""

MOST_LINES = 20
"""Lines of one node in it over all tenants: a flood of many tenants writes no more."""


class RefusalLines:
    """Bounds the lines of one node; times in seconds of its boot clock."""

    def __init__(self) -> None:
        """Begin without lines."""
        self._last: dict[str, float] = {}
        self._left_out: dict[str, int] = {}
        self._period_at = -math.inf
        self._written = 0

    def refused(self, tenant: str, now: float) -> int | None:
        """Give how many refusals had no line since the last one; None: this has none."""
        if now - self._period_at >= LINE_SECONDS:
            self._period_at = now
            self._written = 0
        is_early = now - self._last.get(tenant, -math.inf) < LINE_SECONDS
        if is_early or self._written >= MOST_LINES:
            self._left_out[tenant] = self._left_out.get(tenant, 0) + 1
            return None
        self._written += 1
        self._last[tenant] = now
        return self._left_out.pop(tenant, 0)

    def keep_only(self, tenants: frozenset[str]) -> None:
        """Forget tenants that have no limit any more."""
        for tenant in (self._last.keys() | self._left_out.keys()) - tenants:
            self._last.pop(tenant, None)
            self._left_out.pop(tenant, None)
