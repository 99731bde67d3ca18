"""What the result of an attempt says about the health of its back end."""

from __future__ import annotations

from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.outcome import (
    FIRST_SERVER_ERROR,
    LINK_FULL,
    PROBE_NEXT_REASONS,
    QUARANTINED,
    RETRY_BUDGET_SPENT,
    RUNS_ALONE,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
)

SHED_OUTCOME = Unknown(STATUS_UNAVAILABLE, "back-end-shed")
FAILED_OUTCOME = Unknown(STATUS_BAD_GATEWAY, "back-end-failed")
"""Outcomes that stand for a back end's own error answer while a retry elsewhere is tried:
``SHED_OUTCOME`` for a load-shedding answer, ``FAILED_OUTCOME`` for other server errors."""


def result_of_status(status: int) -> AttemptResult:
    """Return the result of an attempt that got a complete answer with this status."""
    if status == STATUS_UNAVAILABLE:
        return "shed"
    return "failed" if status >= FIRST_SERVER_ERROR else "good"


def result_of_failure(failed: Failed) -> AttemptResult | None:
    """Return the result of a failed attempt, or None if it says nothing about the back end.

    A refusal because of load or a drain counts as "shed", not as a fault of the back end.
    A momentary lack of a free slot or of link capacity says nothing about the next moment.
    A request held in quarantine and a repeat without budget say nothing about the back end.
    """
    if failed.reason in INCONCLUSIVE_REASONS:
        return None
    if not isinstance(failed, NotRun):
        return "late" if failed.status == STATUS_GATEWAY_TIMEOUT else "failed"
    return "failed" if failed.reason in UNREACHABLE_REASONS else "shed"


INCONCLUSIVE_REASONS = PROBE_NEXT_REASONS | {
    LINK_FULL,
    QUARANTINED,
    RUNS_ALONE,
    RETRY_BUDGET_SPENT,
}
UNREACHABLE_REASONS = frozenset({"back-end-unreachable", "owner-unreachable"})
