"""Outcomes of a call as reported to its caller.

*answered*: the caller has the back end's complete answer. *not run*: it is proven that no
back end began the call. *unknown*: the call was sent and no complete answer arrived.
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
"""Retry advice in a refusal because no back end could be reached."""

DEADLINE_RETRY_AFTER_MILLISECONDS = 100
"""Retry advice in a refusal because the caller's deadline passed before the call
started."""

BUSY = "busy"
"""Reason of a refusal because no slot is free at the moment."""

SLOW_NOW = "slow-now"
"""Reason of a refusal because the back end's machine is slow at the moment."""

PROBE_NEXT_REASONS = frozenset({BUSY, SLOW_NOW})
"""Reasons for which a call that may not wait is refused; the next back end is then
probed."""

NO_SLOT_IN_TIME = "no-slot-in-time"
"""Reason of a refusal because no slot becomes free within the call's wait time-out."""

BROKE_OFF = "back-end-broke-off"
"""Reason of an unknown outcome: the connection closed while the call was running."""

BACK_END_ENDED = "back-end-ended"
"""Reason of an unknown outcome: the back end's process ended while it ran the call."""

OTHER_BACK_END = "other-back-end"
"""Reason of a refusal: another incarnation than the expected one is at the address."""

QUARANTINED = "quarantined"
"""Reason of a refusal: the request is held for a while because it crashes back ends."""

RUNS_ALONE = "suspect-waits"
"""Reason of a refusal: another suspect request is running at this back end."""

LINK_FULL = "link-full"
"""Reason of a refusal because the link can't carry one more large answer in time."""

RETRY_BUDGET_SPENT = "retry-budget-spent"
"""Reason of a refusal of a repeat, which the retry budget does not cover now."""

UNPAID_RETRY_AFTER_MILLISECONDS = 100
"""Retry advice in such a refusal: what the caller sends again is a new request."""

QUEUE_FULL = "queue-full"
DISPLACED = "displaced"
DEADLINE_TOO_SHORT = "deadline-too-short"

LOAD_REASONS = PROBE_NEXT_REASONS | {
    NO_SLOT_IN_TIME,
    QUEUE_FULL,
    DISPLACED,
    DEADLINE_TOO_SHORT,
}
"""Reasons of refusals for lack of slots; the caller may retry later."""

ROOM_REASONS = LOAD_REASONS | {LINK_FULL}
"""Reasons of refusals for lack of slots or of link capacity."""

ANSWERED = b"answered"
NOT_RUN = b"not-run"
UNKNOWN = b"unknown"

FIRST_SERVER_ERROR = 500
"""An answer of a back end with this status or above counts as a failure."""

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

    ``reason`` is a stable identifier. ``retry_after_milliseconds`` is the retry advice, 0
    if there is none. ``retryable`` says whether another back end might accept the call at
    once. ``offered`` says that a back end received the call and reported that it had not
    begun it.
    """

    status: int
    reason: str
    retry_after_milliseconds: int = 0
    retryable: bool = False
    offered: bool = False


class Unknown(msgspec.Struct, frozen=True):
    """The call was sent and may have run; ``reason`` is a stable identifier."""

    status: int
    reason: str


Failed = NotRun | Unknown


def is_final(failed: Failed) -> bool:
    """Report whether a call failed after a back end may have seen it, or as a repeat.

    Running the request that it was made for once more would then repeat it. A call that no
    back end could take is not repeated by that.
    """
    if isinstance(failed, Unknown):
        return True
    return failed.offered or failed.reason == RETRY_BUDGET_SPENT


def unreachable(reason: str) -> NotRun:
    """Return the refusal of a call that reached no back end; another may be reachable."""
    advice = UNREACHABLE_RETRY_AFTER_MILLISECONDS
    return NotRun(STATUS_UNAVAILABLE, reason, advice, retryable=True)


def out_of_time() -> NotRun:
    """Return the refusal of a call whose deadline passed before it began."""
    advice = DEADLINE_RETRY_AFTER_MILLISECONDS
    return NotRun(STATUS_UNAVAILABLE, "deadline-passed", advice)


def unpaid() -> NotRun:
    """Return the refusal of a repeat that the retry budget does not cover now."""
    advice = UNPAID_RETRY_AFTER_MILLISECONDS
    return NotRun(STATUS_UNAVAILABLE, RETRY_BUDGET_SPENT, advice, retryable=True)


def worse(earlier: Failed | None, later: Failed) -> Failed:
    """Return the outcome to report after two attempts: unknown overrides not run."""
    if isinstance(earlier, Unknown) and isinstance(later, NotRun):
        return earlier
    return later
