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
"""Limit for each reason of a refusal; all reasons together have less than a third of the
log lines that calls may have."""

BURST = 10.0


class RefusalLines:
    """Limits the log lines of refused calls for each reason in ``KEY_REASONS``."""

    def __init__(self) -> None:
        """Start with a budget of ``BURST`` log lines for each reason of a refusal."""
        self._budgets = {
            reason: LineBudget(LINES_PER_SECOND, BURST) for reason in KEY_REASONS
        }
        self._left_out = dict.fromkeys(KEY_REASONS, 0)

    def take(self, reason: str, now: float) -> int | None:
        """Decide whether a refusal for this reason is logged now.

        Return how many log lines were left out for this reason since the last one written,
        or None if this one is left out too. Other reasons have no limit here: return 0.
        """
        budget = self._budgets.get(reason)
        if budget is None:
            return 0
        if not budget.take(now):
            self._left_out[reason] += 1
            return None
        left_out = self._left_out[reason]
        self._left_out[reason] = 0
        return left_out
