"""Whether and where a call is retried after a failed attempt, and at what cost.

After an attempt that a back end may have seen, the next one costs retry budget and counts
against the route's maximum number of attempts. Where all nodes share a budget, the node of
the back end that is tried grants it or refuses the repeat. A refusal by a back end's local
node costs nothing, since the back end never saw the call. A call that is not safe to retry
continues only after a refusal.
"""

from __future__ import annotations

import msgspec

from peppershore.request.outcome import (
    BACK_END_ENDED,
    LOAD_REASONS,
    NO_SLOT_IN_TIME,
    PROBE_NEXT_REASONS,
    RETRY_BUDGET_SPENT,
    STATUS_GATEWAY_TIMEOUT,
    Failed,
    NotRun,
)

MAX_TRIES = 8
"""Maximum number of attempts of one call, including those that no back end saw."""

NEAR_PROBES = 2
"""Number of back ends in the local zone that a call probes for a free slot first. If two
that seemed free were full, the information about the other near ones is equally
outdated."""

MAX_PROBES = NEAR_PROBES + 1
"""Number of back ends that a call probes before it waits. The last one is in another zone,
where slots may be free. With 41 back ends, of which each node sees little traffic, calls
without this bound visited eight of them and were refused without a wait."""

MAX_WAITS = 3
"""Maximum number of attempts of one call that may wait for a slot. If each is refused for
load, the next one would be too, and the request would only cross zones once more."""

MAX_UNPAID = 2
"""Number of nodes that may refuse a repeat of one call for want of retry budget. Each
grants its own part of it, but all parts are used up by the same failures."""

MAX_CRASHES = 2
"""Number of back ends that may crash under one request, including crashes reported by
others, before its node stops retrying it. A third back end is put at risk only by a run in
isolation from other suspects."""


class CallProgress(msgspec.Struct, frozen=True):
    """Counts of what has been tried for a call so far.

    ``offers`` counts the back ends that may have seen it, ``tries`` all attempts, and
    ``waits`` the attempts that were allowed to wait for a slot; ``may_wait`` says whether
    the last one was. ``ends`` counts the back ends whose process ended while running it,
    ``unpaid`` the refusals for want of retry budget.
    """

    offers: int = 0
    tries: int = 0
    waits: int = 0
    may_wait: bool = False
    ends: int = 0
    unpaid: int = 0

    @property
    def tries_another_zone(self) -> bool:
        """Whether the next attempt should go to another zone."""
        return self.tries == NEAR_PROBES and not self.may_wait


class AttemptTerms(msgspec.Struct, frozen=True):
    """Conditions, besides the failure itself, that decide about a retry.

    - ``most_offers``: maximum number of back ends that may see the call.
    - ``has_other``: a ready back end has not been tried.
    - ``replayable``: the complete request can be sent again.
    - ``known_ends``: back ends that ended under other runs of it, as far as is known.
    - ``may_wait_on``: after a wait without success, it may wait at another back end.
    """

    repeatable: bool
    most_offers: int
    has_other: bool
    replayable: bool
    known_ends: int = 0
    may_wait_on: bool = False


class TryAgain(msgspec.Struct, frozen=True):
    """Make another attempt.

    ``elsewhere``: at a back end not tried so far. ``costs_budget``: take it from the retry
    budget first, and give up if the budget is used up.
    """

    elsewhere: bool
    may_wait: bool = False
    costs_budget: bool = False


class GiveUp(msgspec.Struct, frozen=True):
    """Report the failure to the caller."""


NextStep = TryAgain | GiveUp
GIVE_UP = GiveUp()


def counted(progress: CallProgress, failed: Failed) -> CallProgress:
    """Return the progress after a failed attempt.

    It counts the back end, which may have seen the call, and its crash if it crashed. Of
    attempts that no back end can have seen, only those without retry budget count.
    """
    if isinstance(failed, NotRun) and not failed.offered:
        is_unpaid = failed.reason == RETRY_BUDGET_SPENT
        return msgspec.structs.replace(progress, unpaid=progress.unpaid + is_unpaid)
    has_ended = failed.reason == BACK_END_ENDED
    return msgspec.structs.replace(
        progress, offers=progress.offers + 1, ends=progress.ends + has_ended
    )


def next_step(progress: CallProgress, failed: Failed, terms: AttemptTerms) -> NextStep:
    """Decide what follows a failed attempt, which ``progress`` includes already."""
    if not terms.replayable or progress.tries >= MAX_TRIES:
        return GIVE_UP
    if isinstance(failed, NotRun) and not failed.offered:
        return _after_refusal(progress, failed, terms)
    if progress.offers >= terms.most_offers:
        return GIVE_UP
    if failed.reason == BACK_END_ENDED and progress.ends + terms.known_ends >= MAX_CRASHES:
        return GIVE_UP
    if isinstance(failed, NotRun):
        may_retry = failed.retryable and terms.has_other
    else:
        may_retry = terms.repeatable and failed.status != STATUS_GATEWAY_TIMEOUT
    if not may_retry:
        return GIVE_UP
    return TryAgain(terms.has_other, progress.may_wait, costs_budget=True)


def _after_refusal(progress: CallProgress, failed: NotRun, terms: AttemptTerms) -> NextStep:
    """Decide after a refusal by a local node, so that no back end has seen the call.

    The call first probes for a free slot, then waits where the wait should be shortest.
    """
    if failed.reason == RETRY_BUDGET_SPENT:
        may_retry = terms.has_other and progress.unpaid < MAX_UNPAID
        return (
            TryAgain(elsewhere=True, may_wait=progress.may_wait) if may_retry else GIVE_UP
        )
    if _may_wait_elsewhere(progress, failed, terms):
        return TryAgain(elsewhere=True, may_wait=True)
    if not failed.retryable or _waits_are_used_up(progress, failed):
        return GIVE_UP
    is_probing = failed.reason in PROBE_NEXT_REASONS and not progress.may_wait
    if terms.has_other:
        may_wait = progress.may_wait or (is_probing and progress.tries >= MAX_PROBES)
        return TryAgain(elsewhere=True, may_wait=may_wait)
    if is_probing:
        return TryAgain(elsewhere=False, may_wait=True)
    return GIVE_UP


def _may_wait_elsewhere(
    progress: CallProgress, failed: NotRun, terms: AttemptTerms
) -> bool:
    """Report whether a call whose wait here timed out may wait at another back end."""
    is_over = progress.may_wait and failed.reason == NO_SLOT_IN_TIME
    return is_over and terms.may_wait_on and terms.has_other


def _waits_are_used_up(progress: CallProgress, failed: NotRun) -> bool:
    """Report whether the maximum number of waits ended in a refusal for load."""
    is_load = progress.may_wait and failed.reason in LOAD_REASONS
    return is_load and progress.waits >= MAX_WAITS
