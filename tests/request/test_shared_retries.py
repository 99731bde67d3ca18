"""A retry budget that the nodes of many back ends keep together without coordination."""

from __future__ import annotations

import random

import pytest

from peppershore.request.shared_retries import (
    PEAK_WINDOWS,
    RecentPeak,
    RetryBound,
    SharedRetryBudget,
)

BOUND = RetryBound(ratio=0.2, window_seconds=10.0, slack=60.0)
WINDOW = BOUND.window_seconds


def started(nodes: int = 1, now: float = 0.0) -> SharedRetryBudget:
    budget = SharedRetryBudget(BOUND, now)
    budget.share_among(nodes, now)
    return budget


def play(seed: int, nodes: int, rate: float, restarts: int) -> list[str]:
    """Ask for repeats without end while nodes restart; name the windows over the bound."""
    chosen = random.Random(seed)
    budgets = [started(nodes) for _ in range(nodes)]
    restarts_at = sorted(chosen.uniform(15.0, 28.0) for _ in range(restarts))
    first: list[float] = []
    repeats: list[float] = []
    for tick in range(round(40.0 * rate)):
        now = tick / rate
        while restarts_at and restarts_at[0] <= now:
            restarts_at.pop(0)
            budgets = [started(nodes, now) for _ in range(nodes)]
        budget = budgets[chosen.randrange(nodes)]
        budget.first_arrived(now)
        first.append(now)
        for each in chosen.sample(budgets, min(nodes, 6)):
            if each.spend(now):
                repeats.append(now)
    assert len(repeats) > 0
    found = []
    for end in repeats:
        within = sum(end - WINDOW < at <= end for at in repeats)
        asked = max(
            sum(end - before - WINDOW < at <= end - before for at in first)
            for before in (0.0, WINDOW / 2, WINDOW)
        )
        if within > BOUND.ratio * asked + BOUND.slack:
            found.append(f"{within} to {end:.2f} s of {asked} requests")
    return found


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate", [4.0, 20.0, 80.0])
@pytest.mark.parametrize("restarts", [0, 1, 2, 8])
def test_all_nodes_together_stay_within_the_bound_in_every_window(
    restarts: int, rate: float, seed: int
) -> None:
    """Each process that started again had its whole part of the bound once more."""
    assert play(seed, 12, rate, restarts) == []


def test_spent_retries_are_available_again_after_the_window() -> None:
    budget = started(6)
    assert sum(budget.spend(20.0) for _ in range(100)) == 5
    assert not budget.spend(29.9)
    assert budget.spend(30.1)


def test_a_single_node_may_use_half_of_the_slack() -> None:
    assert started(1).allowed(20.0) == 30.0


def test_a_node_that_knows_no_other_takes_no_slack() -> None:
    """Without any known back end it divided the slack by one."""
    assert started(0).allowed(20.0) == 0.0


def test_a_node_that_has_just_started_grants_a_share_of_what_arrives_alone() -> None:
    budget = started(1)
    assert not budget.spend(0.1)
    for _ in range(100):
        budget.first_arrived(0.2)
    assert budget.allowed(0.2) == pytest.approx(0.15 * 0.2 * 100)
    assert sum(budget.spend(0.3) for _ in range(100)) == 3


def test_nodes_that_vanish_from_the_view_count_on_for_some_windows() -> None:
    """Back ends that were cut off were still called, and divided by as before."""
    budget = started(10)
    budget.share_among(2, 20.0)
    assert budget.allowed(21.0) == 3.0
    assert budget.allowed(20.0 + PEAK_WINDOWS * WINDOW + 0.1) == 15.0


def test_the_peak_is_that_of_the_period() -> None:
    peak = RecentPeak(5.0)
    assert peak.peak(0.0) == 0
    for now, value in ((1.0, 3), (2.0, 7), (3.0, 4)):
        peak.set(value, now)
    assert [peak.peak(now) for now in (3.0, 8.0, 8.1)] == [7, 7, 4]
