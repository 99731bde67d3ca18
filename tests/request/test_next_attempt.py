"""Whether a failed attempt is followed by another one, and what that costs."""

from __future__ import annotations

import msgspec
import pytest

from peppershore.request.next_attempt import (
    GIVE_UP,
    MAX_PROBES,
    MAX_TRIES,
    MAX_WAITS,
    AttemptTerms,
    CallProgress,
    TryAgain,
    next_step,
)
from peppershore.request.outcome import (
    BUSY,
    NO_SLOT_IN_TIME,
    SLOW_NOW,
    Failed,
    NotRun,
    Unknown,
    unpaid,
)

BUSY_OWNER = NotRun(503, BUSY, 50, retryable=True)
SLOW_OWNER = NotRun(503, SLOW_NOW, 50, retryable=True)
FULL_OWNER = NotRun(503, NO_SLOT_IN_TIME, 100, retryable=True)
LEAVING_OWNER = NotRun(503, "back-end-leaving", 100, retryable=True)
FINAL_REFUSAL = NotRun(400, "malformed-fields")
REFUSED_BY_BACK_END = NotRun(503, "back-end-refused", 100, retryable=True, offered=True)
BROKEN_OFF = Unknown(502, "back-end-broke-off")
TOO_LATE = Unknown(504, "deadline-passed")
FREE = TryAgain(elsewhere=True)
PAID = TryAgain(elsewhere=True, costs_budget=True)


def terms(**changes: object) -> AttemptTerms:
    values = {
        "repeatable": True,
        "most_offers": 2,
        "has_other": True,
        "replayable": True,
    }
    return AttemptTerms(**(values | changes))  # type: ignore[arg-type]


ONCE = CallProgress(offers=1, tries=1)
UNSEEN = CallProgress(offers=0, tries=1)
CASES = {
    "no budget at one owner": (
        CallProgress(offers=1, tries=2, unpaid=1),
        unpaid(),
        terms(),
        FREE,
    ),
    "no budget at one owner, and it may wait": (
        CallProgress(offers=1, tries=2, unpaid=1, may_wait=True),
        unpaid(),
        terms(),
        TryAgain(elsewhere=True, may_wait=True),
    ),
    "no budget at the only owner": (
        CallProgress(offers=1, tries=2, unpaid=1),
        unpaid(),
        terms(has_other=False),
        GIVE_UP,
    ),
    "no budget at two owners": (
        CallProgress(offers=1, tries=3, unpaid=2),
        unpaid(),
        terms(),
        GIVE_UP,
    ),
    "busy owner": (UNSEEN, BUSY_OWNER, terms(repeatable=False), FREE),
    "slow owner": (UNSEEN, SLOW_OWNER, terms(repeatable=False), FREE),
    "the only owner is slow": (
        UNSEEN,
        SLOW_OWNER,
        terms(has_other=False),
        TryAgain(elsewhere=False, may_wait=True),
    ),
    "waited in vain at one, may at another": (
        CallProgress(0, 3, waits=1, may_wait=True),
        msgspec.structs.replace(FULL_OWNER, retryable=False),
        terms(may_wait_on=True, repeatable=False),
        TryAgain(elsewhere=True, may_wait=True),
    ),
    "waited in vain, nobody else": (
        CallProgress(0, 3, waits=1, may_wait=True),
        msgspec.structs.replace(FULL_OWNER, retryable=False),
        terms(may_wait_on=True, has_other=False),
        GIVE_UP,
    ),
    "waited in vain as often as it may": (
        CallProgress(0, 3, waits=1, may_wait=True),
        msgspec.structs.replace(FULL_OWNER, retryable=False),
        terms(),
        GIVE_UP,
    ),
    "leaving owner": (UNSEEN, LEAVING_OWNER, terms(repeatable=False), FREE),
    "no other owner": (UNSEEN, LEAVING_OWNER, terms(has_other=False), GIVE_UP),
    "all busy": (
        UNSEEN,
        BUSY_OWNER,
        terms(has_other=False),
        TryAgain(elsewhere=False, may_wait=True),
    ),
    "two busy, others may be free": (
        CallProgress(0, MAX_PROBES),
        BUSY_OWNER,
        terms(),
        TryAgain(elsewhere=True, may_wait=True),
    ),
    "all busy, waited": (
        CallProgress(0, 3, may_wait=True),
        BUSY_OWNER,
        terms(has_other=False),
        GIVE_UP,
    ),
    "no slot there, time left": (
        CallProgress(0, 1, waits=1, may_wait=True),
        FULL_OWNER,
        terms(),
        TryAgain(elsewhere=True, may_wait=True),
    ),
    "no slot there, nobody else may have one": (
        CallProgress(0, 1, waits=1, may_wait=True),
        FULL_OWNER,
        terms(has_other=False),
        GIVE_UP,
    ),
    "no slot anywhere": (
        CallProgress(0, 2, waits=MAX_WAITS, may_wait=True),
        FULL_OWNER,
        terms(),
        GIVE_UP,
    ),
    "left while the call waited": (
        CallProgress(0, 2, waits=MAX_WAITS, may_wait=True),
        LEAVING_OWNER,
        terms(),
        TryAgain(elsewhere=True, may_wait=True),
    ),
    "final refusal": (UNSEEN, FINAL_REFUSAL, terms(), GIVE_UP),
    "too many tries": (CallProgress(0, MAX_TRIES), BUSY_OWNER, terms(), GIVE_UP),
    "refused by back end": (ONCE, REFUSED_BY_BACK_END, terms(repeatable=False), PAID),
    "refused, nobody else": (
        ONCE,
        REFUSED_BY_BACK_END,
        terms(has_other=False),
        GIVE_UP,
    ),
    "broken off": (ONCE, BROKEN_OFF, terms(), PAID),
    "broken off, once only": (ONCE, BROKEN_OFF, terms(repeatable=False), GIVE_UP),
    "broken off, the same": (
        ONCE,
        BROKEN_OFF,
        terms(has_other=False),
        TryAgain(elsewhere=False, costs_budget=True),
    ),
    "attempts used up": (CallProgress(2, 2), BROKEN_OFF, terms(), GIVE_UP),
    "time used up": (ONCE, TOO_LATE, terms(), GIVE_UP),
    "body gone": (ONCE, BROKEN_OFF, terms(replayable=False), GIVE_UP),
}


@pytest.mark.parametrize("name", CASES)
def test_next_step(name: str) -> None:
    progress, failed, given, wanted = CASES[name]
    assert isinstance(failed, Failed)
    assert next_step(progress, failed, given) == wanted


def test_the_last_back_end_to_be_probed_is_of_another_zone() -> None:
    asked = [
        CallProgress(tries=tries).tries_another_zone for tries in range(MAX_PROBES + 1)
    ]
    assert asked == [tries == MAX_PROBES - 1 for tries in range(MAX_PROBES + 1)]
    assert not CallProgress(tries=MAX_PROBES - 1, may_wait=True).tries_another_zone
