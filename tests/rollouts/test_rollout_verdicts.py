"""Decisions on new versions: error rates over many seeds, and each rule by itself."""

from __future__ import annotations

import pytest
from benchmarks.rollout_verdicts import VERSIONS, run_rollout

from peppershore.connection.messages.rollouts import BackEndEvidence, RouteEvidence
from peppershore.process.control.rollout_rules import (
    HALF,
    Complete,
    Move,
    RollBack,
    RolloutView,
    Wait,
    decide,
)
from peppershore.process.control.version_comparison import Comparison, compare
from peppershore.request.version_evidence import (
    BUCKETS,
    VersionEvidence,
    bucket_of,
)
from peppershore.version.model import ServiceSettings
from peppershore.version.rollout import ALL_CALLS, Rollout

SEEDS = range(30)
CLEARLY_BAD = (
    "fails 20 in 100",
    "fails 50 in 100",
    "5 times slower",
    "fails 50 in 100 after 5 s",
    "5 times slower after 5 s",
    "fails 50 in 100 on one route",
    "5 times slower on one route",
)


@pytest.mark.parametrize("name", CLEARLY_BAD)
def test_a_version_that_is_clearly_bad_is_never_completed(name: str) -> None:
    ends = [run_rollout(VERSIONS[name], seed).end for seed in SEEDS]
    assert ends == ["rolled back"] * len(SEEDS)


def test_a_good_version_is_completed_in_time_despite_faulty_machines() -> None:
    runs = [run_rollout(VERSIONS["good"], seed) for seed in SEEDS]
    completed = [run for run in runs if run.end == "completed"]
    assert len(completed) >= len(SEEDS) - 1
    assert all(run.seconds <= 15.0 for run in completed)


@pytest.mark.parametrize("name", ["fails 50 in 100", "5 times slower"])
def test_a_version_bad_from_the_start_gets_no_more_than_it_may(name: str) -> None:
    assert all(run_rollout(VERSIONS[name], seed).keeps_bound for seed in SEEDS)


def _view(share: int, elapsed: float, comparison: Comparison, step: float) -> RolloutView:
    rollout = Rollout("kassa", "v2", "running", share, 1, 12_000)
    return RolloutView(rollout, elapsed, step, -1.0, comparison)


def _evidence(node: str, version: str, calls: int, failed: int) -> BackEndEvidence:
    times = (20, calls)
    route = RouteEvidence("pay", calls, failed, times)
    return BackEndEvidence(node, "kassa", version, 1, 1, 1, (route,))


def _comparison(new_failed: int = 0, calls: int = 60) -> Comparison:
    old = [_evidence(f"o{n}", "v1", 100, 0) for n in range(4)]
    new = [_evidence(f"n{n}", "v2", calls, new_failed) for n in range(4)]
    return compare([*old, *new], "v2")


def test_a_good_version_gets_half_then_all_calls_and_is_completed_after_draining() -> None:
    good = _comparison()
    assert good.is_passed
    assert isinstance(decide(_view(1_000, 3.0, good, 3.0)), Wait)
    assert decide(_view(1_000, 7.0, good, 7.0)) == Move(HALF, _half_reason(good))
    assert isinstance(decide(_view(HALF, 7.5, good, 0.5)), Wait)
    assert isinstance(decide(_view(HALF, 8.0, good, 1.0)), Move)
    assert isinstance(decide(_view(ALL_CALLS, 9.0, good, 1.0)), Wait)
    assert isinstance(decide(_view(ALL_CALLS, 11.0, good, 3.0)), Complete)


def _half_reason(comparison: Comparison) -> str:
    return f"{comparison.calls} calls show nothing against it"


@pytest.mark.parametrize("share", [1_000, HALF, ALL_CALLS])
def test_a_bad_version_is_rolled_back_at_any_step(share: int) -> None:
    assert isinstance(decide(_view(share, 7.0, _comparison(20), 0.1)), RollBack)


def test_a_version_with_too_few_calls_is_rolled_back_in_time() -> None:
    few = _comparison(calls=3)
    assert isinstance(decide(_view(1_000, 8.0, few, 8.0)), Wait)
    assert isinstance(decide(_view(1_000, 8.5, few, 8.5)), RollBack)


def test_one_failing_machine_does_not_reject_a_version() -> None:
    old = [_evidence(f"o{n}", "v1", 100, 0) for n in range(4)]
    new = [_evidence(f"n{n}", "v2", 60, 40 if n == 0 else 0) for n in range(4)]
    assert compare([*old, *new], "v2").reason == ""


def test_faults_that_affect_both_versions_reject_neither() -> None:
    old = [_evidence(f"o{n}", "v1", 100, 30) for n in range(4)]
    new = [_evidence(f"n{n}", "v2", 60, 18) for n in range(4)]
    assert compare([*old, *new], "v2").reason == ""


def test_without_evidence_a_version_neither_passes_nor_is_rejected() -> None:
    nothing = compare((), "v2")
    assert (nothing.reason, nothing.is_passed, nothing.calls) == ("", False, 0)


def test_the_first_call_of_an_idle_service_gives_no_decision() -> None:
    """The first call of an idle service must not crash the leader.

    Of three back ends the one with most failures is left out; without failures that is the
    first. If it alone had a call, and no back end of the old version had any, then no route
    remained among which to look for the busiest one.
    """
    called = _evidence("n0", "v2", 1, 0)
    idle = [BackEndEvidence(f"n{n}", "kassa", "v2", 1, 1, 1, ()) for n in (1, 2)]
    first = compare([called, *idle], "v2")
    assert (first.calls, first.reason, first.is_passed) == (1, "", False)
    assert isinstance(decide(_view(1_000, 7.0, first, 7.0)), Wait)


# --- what a node counts


def _running(began: int = 5) -> ServiceSettings:
    return ServiceSettings(
        rollout_version="v2", rollout_state="running", rollout_began_milliseconds=began
    )


def test_without_a_roll_out_nothing_is_counted() -> None:
    evidence = VersionEvidence()
    evidence.note("pay", 0.1, "good", True)
    assert evidence.take_changes() is None


def test_counts_are_reported_only_when_they_have_grown() -> None:
    evidence = VersionEvidence()
    evidence.use_settings(_running())
    evidence.take_changes()
    evidence.note("pay", 0.1, "good", True)
    evidence.note("pay", 0.1, "failed", True)
    evidence.note("pay", 0.1, "shed", True)
    evidence.note("pay", 0.1, None, True)
    (reported,) = evidence.take_changes() or ()
    assert (reported.route, reported.calls, reported.failed) == ("pay", 2, 1)
    assert reported.times == (bucket_of(0.1), 2)
    assert evidence.take_changes() is None


def test_times_of_a_back_end_that_warms_up_are_not_counted() -> None:
    evidence = VersionEvidence()
    evidence.use_settings(_running())
    evidence.note("pay", 9.0, "good", is_warm=False)
    (reported,) = evidence.take_changes() or ()
    assert (reported.calls, reported.times) == (1, ())


def test_another_roll_out_starts_with_empty_counts() -> None:
    evidence = VersionEvidence()
    evidence.use_settings(_running(5))
    evidence.note("pay", 0.1, "good", True)
    evidence.use_settings(_running(6))
    assert evidence.take_changes() == ()
    assert evidence.began_milliseconds == 6


def test_times_twice_as_long_are_three_or_four_buckets_apart() -> None:
    for seconds in (0.01, 0.1, 1.0):
        assert bucket_of(2 * seconds) - bucket_of(seconds) in (3, 4)
    assert bucket_of(0.0) == 0
    assert bucket_of(1e9) == BUCKETS - 1
