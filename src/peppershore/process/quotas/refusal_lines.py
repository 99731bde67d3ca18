"""Rate limit for the log lines about calls refused by a tenant's limit."""

from __future__ import annotations

import math

LINE_SECONDS = 5.0
"""Period in which a node writes at most one log line for a tenant. The line shows the
reason of a refusal; the metrics show how many there were."""

MOST_LINES = 20
"""Maximum number of log lines that one node writes in ``LINE_SECONDS`` for all tenants,
which bounds the log when many tenants are refused at once."""


class RefusalLines:
    """Limits how often one node logs that calls were refused by a tenant's limit.

    At most one log line per tenant and ``MOST_LINES`` in all are written in
    ``LINE_SECONDS``. Times are seconds of the node's boot clock.
    """

    def __init__(self) -> None:
        """Start with no refusal logged."""
        self._last: dict[str, float] = {}
        self._left_out: dict[str, int] = {}
        self._period_at = -math.inf
        self._written = 0

    def refused(self, tenant: str, now: float) -> int | None:
        """Decide whether this refusal is logged.

        Return the number of the tenant's refusals omitted since its last log line, or
        None if this one is omitted too.
        """
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
        """Drop the counts of all other tenants: they have no limit any more."""
        for tenant in (self._last.keys() | self._left_out.keys()) - tenants:
            self._last.pop(tenant, None)
            self._left_out.pop(tenant, None)
