"""Whether a call is tried again after an attempt failed, where, and at whose cost.

What a back end may have seen costs the retry budget and counts against the route's
attempts; a refusal by a back end's own node costs nothing, since no back end saw the
call.  What may run once goes on only after a refusal.
"""

from __future__ import annotations

import msgspec

from peppershore.request.outcome import (
    BACK_END_ENDED,
    LOAD_REASONS,
    NO_SLOT_IN_TIME,
    SEEK_ON,
    STATUS_GATEWAY_TIMEOUT,
    Failed,
    NotRun,
)

MAX_TRIES = 8
"""Attempts of one call in all, those that no back end saw included."""

NEAR_PROBES = 2
"""Back ends that a call asks for a free slot, the near ones first.  Where two that seemed
free were full, what is known of the others near by is as old."""

MAX_SEEKS = NEAR_PROBES + 1
"""Back ends that a call asks before it waits: the last one is of another zone, where slots
may be free all the while.  With 41 back ends of which each node sees little, calls went
round eight of them and were refused without a wait."""

MAX_WAITS = 3
"""Attempts of one call that may wait for a slot.  Where each is refused for load, the
next would be as well; the request would only cross the zones once more."""


MAX_CRASHES = 2
"""Back ends that may end under one request before its node sends it to no other, those
known from elsewhere among them: the third is left to a try that runs alone."""


class CallProgress(msgspec.Struct, frozen=True):
    """How far a call is.

    ``offers`` counts the back ends that may have seen it, ``tries`` all attempts,
    ``waits`` those that were allowed to wait for a slot; ``may_wait``: the last was.
    ``ends`` counts the back ends whose process ended under it.
    """

    offers: int = 0
    tries: int = 0
    waits: int = 0
    may_wait: bool = False
    ends: int = 0

    @property
    def tries_another_zone(self) -> bool:
        """Whether the next one to be asked should be of another zone."""
        return self.tries == NEAR_PROBES and not self.may_wait


class AttemptTerms(msgspec.Struct, frozen=True):
    """What decides besides the failure itself.

    ``most_offers``: back ends that may see the call; ``has_other``: a ready back end
    has not been tried; ``replayable``: the request can be sent again whole.
    ``known_ends``: back ends that ended under it in other tries, as far as is known.
    ``may_wait_on``: one that waited in vain has time and leave to wait elsewhere.
    """

    repeatable: bool
    most_offers: int
    has_other: bool
    replayable: bool
    known_ends: int = 0
    may_wait_on: bool = False


class TryAgain(msgspec.Struct, frozen=True):
    """Make another attempt.

    ``elsewhere``: at a back end not tried so far.  ``costs_budget``: take it from the
    retry budget first, and give up if that is spent.
    """

    elsewhere: bool
    may_wait: bool = False
    costs_budget: bool = False


class GiveUp(msgspec.Struct, frozen=True):
    """Tell the caller of the failure."""


NextStep = TryAgain | GiveUp
GIVE_UP = GiveUp()


def counted(progress: CallProgress, failed: Failed) -> CallProgress:
    """Count an attempt that a back end may have seen, and one that it ended under."""
    if isinstance(failed, NotRun) and not failed.offered:
        return progress
    has_ended = failed.reason == BACK_END_ENDED
    return msgspec.structs.replace(
        progress, offers=progress.offers + 1, ends=progress.ends + has_ended
    )


def next_step(progress: CallProgress, failed: Failed, terms: AttemptTerms) -> NextStep:
    """Decide after a failed attempt, which ``progress`` counts already."""
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
    """No back end saw the call: look for a free slot, then wait where it is shortest."""
    if _may_wait_elsewhere(progress, failed, terms):
        return TryAgain(elsewhere=True, may_wait=True)
    if not failed.retryable or _waits_are_used_up(progress, failed):
        return GIVE_UP
    is_probing = failed.reason in SEEK_ON and not progress.may_wait
    if terms.has_other:
        may_wait = progress.may_wait or (is_probing and progress.tries >= MAX_SEEKS)
        return TryAgain(elsewhere=True, may_wait=may_wait)
    if is_probing:
        return TryAgain(elsewhere=False, may_wait=True)
    return GIVE_UP


def _may_wait_elsewhere(
    progress: CallProgress, failed: NotRun, terms: AttemptTerms
) -> bool:
    """Whether a call whose part of its patience is over waits at another back end."""
    is_over = progress.may_wait and failed.reason == NO_SLOT_IN_TIME
    return is_over and terms.may_wait_on and terms.has_other


def _waits_are_used_up(progress: CallProgress, failed: NotRun) -> bool:
    """Whether enough back ends had no slot in time."""
    is_load = progress.may_wait and failed.reason in LOAD_REASONS
    return is_load and progress.waits >= MAX_WAITS
