"""What the end of an attempt says of its back end."""

from __future__ import annotations

from peppershore.request.endpoint_state import Verdict
from peppershore.request.outcome import (
    FIRST_SERVER_ERROR,
    LINK_FULL,
    QUARANTINED,
    RUNS_ALONE,
    SEEK_ON,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    Unknown,
)

SHED = Unknown(STATUS_UNAVAILABLE, "back-end-shed")
FAILED = Unknown(STATUS_BAD_GATEWAY, "back-end-failed")
"""What an answer of the back end's own counts as when another may do better."""


def verdict_of_status(status: int) -> Verdict:
    """Judge by the status of a whole answer."""
    if status == STATUS_UNAVAILABLE:
        return "shed"
    return "failed" if status >= FIRST_SERVER_ERROR else "good"


def verdict_of_failure(failed: Failed) -> Verdict | None:
    """Judge by a failure: a refusal for load or a drain is no fault.

    That no slot or no room was free at one moment says nothing of the next, and what is
    held for its own sake nothing of the back end.
    """
    if failed.reason in SAYS_NOTHING:
        return None
    if not isinstance(failed, NotRun):
        return "late" if failed.status == STATUS_GATEWAY_TIMEOUT else "failed"
    return "failed" if failed.reason in UNREACHABLE_REASONS else "shed"


SAYS_NOTHING = SEEK_ON | {LINK_FULL, QUARANTINED, RUNS_ALONE}
UNREACHABLE_REASONS = frozenset({"back-end-unreachable", "owner-unreachable"})
