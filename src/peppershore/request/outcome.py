"""How a call ends, as its caller sees it.

*answered*: the caller has the back end's whole answer.  *not run*: proven, no
back end began it.  *unknown*: it was sent and no whole answer came.
"""

from __future__ import annotations

import msgspec

OUTCOME_HEADER = b"peppershore-outcome"
REASON_HEADER = b"peppershore-reason"
DEADLINE_HEADER = b"peppershore-deadline-milliseconds"
REQUEST_ID_HEADER = b"x-request-id"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
AUTHORIZATION_HEADER = b"authorization"
RETRY_AFTER_HEADER = b"retry-after"

UNREACHABLE_RETRY_AFTER_MILLISECONDS = 250
"""Advice after a refusal because nobody could be reached."""

DEADLINE_RETRY_AFTER_MILLISECONDS = 100
"""Advice after a refusal because the caller's time was over before a start."""

BUSY = "busy"
"""Reason of a refusal because no slot is free at this moment."""

SLOW_NOW = "slow-now"
"""Reason of a refusal because the back end's machine is slow at this moment."""

SEEK_ON = frozenset({BUSY, SLOW_NOW})
"""Reasons of refusals to calls that may not wait: the next back end is asked."""

NO_SLOT_IN_TIME = "no-slot-in-time"
"""Reason of a refusal because no slot comes free while the call may wait."""

BROKE_OFF = "back-end-broke-off"
"""Reason of an outcome that is not known: the connection ended under the call."""

BACK_END_ENDED = "back-end-ended"
"""Reason of an outcome that is not known: the back end's process ended under the call."""

QUARANTINED = "quarantined"
"""Reason of a refusal: back ends end under this request, and it is held for a while."""

RUNS_ALONE = "suspect-waits"
"""Reason of a refusal: another request that is suspected as well runs there."""

LINK_FULL = "link-full"
"""Reason of a refusal because the link carries no more large answers in time."""

QUEUE_FULL = "queue-full"
DISPLACED = "displaced"
DEADLINE_TOO_SHORT = "deadline-too-short"

LOAD_REASONS = SEEK_ON | {NO_SLOT_IN_TIME, QUEUE_FULL, DISPLACED, DEADLINE_TOO_SHORT}
"""Reasons of refusals for want of slots: the caller may come back for one."""

ROOM_REASONS = LOAD_REASONS | {LINK_FULL}
"""Reasons of refusals for want of slots or of room on a link."""

ANSWERED = b"answered"
NOT_RUN = b"not-run"
UNKNOWN = b"unknown"

FIRST_SERVER_ERROR = 500
"""An answer of a back end's with this status or above failed its caller."""

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_BODY_TOO_LARGE = 413
STATUS_MISDIRECTED = 421
STATUS_TOO_MANY_REQUESTS = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


class NotRun(msgspec.Struct, frozen=True):
    """No back end began the call.

    ``reason`` is a stable word; ``retry_after_milliseconds`` 0 means: no advice.
    ``retryable`` says whether another back end may do better at once.  ``offered``:
    a back end was given the call and said that it did not begin it.
    """

    status: int
    reason: str
    retry_after_milliseconds: int = 0
    retryable: bool = False
    offered: bool = False


class Unknown(msgspec.Struct, frozen=True):
    """The call was sent and may have run; ``reason`` is a stable word."""

    status: int
    reason: str


Failed = NotRun | Unknown


def unreachable(reason: str) -> NotRun:
    """Give the refusal of a call that reached nobody; others may be reached."""
    advice = UNREACHABLE_RETRY_AFTER_MILLISECONDS
    return NotRun(STATUS_UNAVAILABLE, reason, advice, retryable=True)


def out_of_time() -> NotRun:
    """Give the refusal of a call whose time was over before it was begun."""
    advice = DEADLINE_RETRY_AFTER_MILLISECONDS
    return NotRun(STATUS_UNAVAILABLE, "deadline-passed", advice)


def worse(earlier: Failed | None, later: Failed) -> Failed:
    """Give what the caller must be told of several attempts: unknown outlives not run."""
    if isinstance(earlier, Unknown) and isinstance(later, NotRun):
        return earlier
    return later
