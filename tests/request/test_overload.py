"""Overload and retry storms on the admission core, in virtual time."""

from __future__ import annotations

import pytest
from benchmarks.call_model import Model, Resends, Site, Traits
from benchmarks.overload import (
    CALLERS,
    OVERLOAD,
    SMALL_SITE,
    TIGHT_SITE,
    run_overload,
    run_storm,
)

from peppershore.request.outcome import NotRun
from peppershore.version.model import ServiceSettings

SITES = {"1 s deadline": SMALL_SITE, "200 ms deadline": TIGHT_SITE}
NO_EJECTION = ServiceSettings(slow_start_milliseconds=0, ejection_failures=0)
RESERVED_RETRIES = 2 * 50
"""Retries that two nodes may have saved up before a retry storm."""


@pytest.mark.parametrize("callers", CALLERS)
@pytest.mark.parametrize("site", SITES)
def test_three_times_the_capacity_keeps_goodput_and_has_no_lasting_effect(
    site: str, callers: str
) -> None:
    shown = run_overload(SITES[site], 1, CALLERS[callers])
    assert shown.overloaded >= 0.9 * shown.peak
    assert shown.after >= 0.9 * shown.wanted_after
    assert shown.good_by_class["critical"] > 4 * shown.good_by_class["bulk"] > 0


def test_refusals_carry_retry_advice_and_back_ends_stay_in_use() -> None:
    model = Model(SMALL_SITE, 1)
    model.clock.run(0.0)
    model.arrive(OVERLOAD * SMALL_SITE.capacity, 3.0, ("normal",))
    model.clock.run(5.0)
    refusals = [end.failure for end in model.ends if isinstance(end.failure, NotRun)]
    assert len(refusals) > 1_000
    assert all(refusal.retry_after_milliseconds > 0 for refusal in refusals)
    at_once = [end for end in model.ends if end.failure in refusals and end.seconds == 0.0]
    assert len(at_once) > len(refusals) // 2
    for backend in model.backends:
        assert backend.most_running == backend.traits.slots


def test_retry_storm_stays_within_the_budget_and_ends() -> None:
    shown = run_storm(SMALL_SITE, 1)
    assert shown.calls > 1_000
    assert shown.runs <= shown.calls + shown.budgeted + RESERVED_RETRIES
    assert shown.after >= 0.9 * shown.wanted_after


def test_callers_that_retry_at_once_do_not_affect_others() -> None:
    """Calls that are retried at once after a refusal count as load, and no more."""
    site = Site(backends=SMALL_SITE.backends, nodes=2)
    quiet = run_overload(site, 2, Resends())
    storm = run_overload(site, 2, Resends(5, patient=False))
    assert storm.overloaded >= 0.9 * quiet.overloaded


def test_back_end_that_fails_fast_attracts_no_calls_even_if_never_ejected() -> None:
    failing = Traits(slots=10, failure_share=1.0)
    site = Site(backends=(failing, *(Traits(slots=10),) * 2), settings=NO_EJECTION)
    model = Model(site, 1)
    model.clock.run(0.0)
    model.arrive(0.5 * site.capacity, 4.0, ("normal",))
    model.clock.run(6.0)
    learned = [end for end in model.ends if end.at > 1.0]
    failed = sum(1 for end in learned if end.failure is not None)
    assert failed < len(learned) // 100
    assert model.backends[0].runs < model.backends[1].runs // 4
