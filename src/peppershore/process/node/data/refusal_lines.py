"""How many lines of calls without a good key are written.

Anybody can send calls without one, as many as a link carries.  Their lines must not
crowd out those of other calls, and all that a line tells is in the next one too.
"""

from __future__ import annotations

from peppershore.process.log_output import LineBudget

KEY_REASONS = frozenset({"no-key", "unknown-key", "configuration-not-confirmed"})
"""Why a call whose key is of no tenant is refused; the last one while that is not sure."""

LINES_A_SECOND = 10.0
"""For each reason; all together less than a third of the lines that calls may have."""

BURST = 10.0


class RefusalLines:
    """Counts, for each reason, the lines left out since the last one written."""

    def __init__(self) -> None:
        """Begin with a second's lines."""
        self._budgets = {
            reason: LineBudget(LINES_A_SECOND, BURST) for reason in KEY_REASONS
        }
        self._left_out = dict.fromkeys(KEY_REASONS, 0)

    def take(self, reason: str, now: float) -> int | None:
        """Give how many lines were left out before this one; None: leave it out too."""
        budget = self._budgets.get(reason)
        if budget is None:
            return 0
        if not budget.take(now):
            self._left_out[reason] += 1
            return None
        left_out = self._left_out[reason]
        self._left_out[reason] = 0
        return left_out
