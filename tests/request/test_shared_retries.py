"""A retry budget that many nodes keep together without coordination."""

from __future__ import annotations

import random

from peppershore.request.shared_retries import RetryBound, SharedRetryBudget

BOUND = RetryBound(ratio=0.2, window_seconds=10.0, slack=60.0)


def test_all_nodes_together_stay_within_the_bound_in_every_window() -> None:
    nodes = 12
    budgets = [SharedRetryBudget(BOUND) for _ in range(nodes)]
    calls: list[float] = []
    retries: list[float] = []
    chosen = random.Random(5)
    for tick in range(3_000):
        now = tick * 0.01
        budget = budgets[chosen.randrange(nodes)]
        budget.called(now)
        calls.append(now)
        if budget.spend(nodes, now):
            retries.append(now)
    for end in range(10, 31):
        within = [each for each in retries if end - 10.0 < each <= end]
        asked = [each for each in calls if end - 10.0 < each <= end]
        assert len(within) <= 0.2 * len(asked) + 60.0
    assert len(retries) > 100


def test_spent_retries_are_available_again_after_the_window() -> None:
    budget = SharedRetryBudget(BOUND)
    spent = sum(budget.spend(6, 0.0) for _ in range(100))
    assert spent == 7
    assert not budget.spend(6, 9.9)
    assert budget.spend(6, 10.1)


def test_a_single_node_may_use_the_slack_except_a_margin() -> None:
    assert SharedRetryBudget(BOUND).allowed(1) == 42.0
    assert SharedRetryBudget(BOUND).allowed(0) == 42.0
