"""Limits the log lines of calls without a valid key.

Anybody can send such calls, as many as a link carries. Their log lines must not displace
those of other calls, and the next log line of the same reason says as much as one left out.
"""

from __future__ import annotations

from peppershore.process.log_output import LineBudget

KEY_REASONS = frozenset({"no-key", "unknown-key", "configuration-not-confirmed"})
"""Reasons for refusing a call whose key belongs to no known tenant. The reason
"configuration-not-confirmed" is used while that is uncertain."""

LINES_PER_SECOND = 10.0
"""Limit for each reason; all reasons together have less than a third of the log lines that
calls may have."""

BURST = 10.0


class RefusalLines:
    """Counts, for each reason, the log lines left out since the last one written."""

    def __init__(self) -> None:
        """Start with a full budget of ``BURST`` lines for each reason."""
        self._budgets = {
            reason: LineBudget(LINES_PER_SECOND, BURST) for reason in KEY_REASONS
        }
        self._left_out = dict.fromkeys(KEY_REASONS, 0)

    def take(self, reason: str, now: float) -> int | None:
        """Return how many lines were left out before this one; None to leave it out too."""
        budget = self._budgets.get(reason)
        if budget is None:
            return 0
        if not budget.take(now):
            self._left_out[reason] += 1
            return None
        left_out = self._left_out[reason]
        self._left_out[reason] = 0
        return left_out
