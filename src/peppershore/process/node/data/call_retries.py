"""Limits on the retries of a node, and pacing of its callers' retries."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable

import msgspec

from peppershore.process.commands import Notice
from peppershore.process.node.data import notices
from peppershore.request.classification import CallPlan
from peppershore.request.client_retries import ClientRetryPace
from peppershore.request.outcome import ROOM_REASONS, NotRun
from peppershore.request.picker import RandomSource
from peppershore.request.retry_budget import RetryBudget, retry_delay
from peppershore.request.send_kind import SendKind
from peppershore.request.shared_retries import RetryBound, SharedRetryBudget

MILLISECONDS = 1_000


class CallRetries:
    """Retry budgets and the rate of callers' retries, by target service."""

    def __init__(
        self,
        bound: RetryBound | None,
        notice_sink: Callable[[Notice], None],
        random: RandomSource,
        now: float,
    ) -> None:
        """Start with unused budgets at ``now``, when the process starts.

        ``bound`` is the retry bound shared by all nodes; without it each node has its own
        budgets.
        """
        self.count = 0
        """Number of retries since the start of the process."""
        self._bound = bound
        self._started_at = now
        self._nodes = 0
        self._notice_sink = notice_sink
        self._random = random
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)
        self._shared_budgets: dict[str, SharedRetryBudget] = {}
        self._retry_paces: defaultdict[str, ClientRetryPace] = defaultdict(ClientRetryPace)

    def delay(
        self, plan: CallPlan, offers: int, now: float, costs_budget: bool
    ) -> float | None:
        """Return the seconds to wait before a retry, or None if a retry is not allowed.

        It is not allowed if it would start at or after the deadline, or if the budget is
        spent. ``offers`` is the number of back ends that may have seen the call. A call
        that no back end has seen is retried without ``costs_budget``, at once. Of a budget
        that all nodes share, nothing is spent here: where the repeat is sent, it is granted
        or refused.
        """
        delay = retry_delay(offers, self._random) if costs_budget else 0.0
        if now + delay >= plan.deadline:
            return None
        if costs_budget and self._bound is None and not self._budgets[plan.target].spend():
            self.budget_spent(plan)
            return None
        self.count += 1
        return delay

    def first_attempt(self, plan: CallPlan) -> None:
        """Credit this node's own retry budget for the first attempt of a call."""
        if self._bound is None:
            self._budgets[plan.target].earn(plan.settings.retry_budget_percent)

    def budget_spent(self, plan: CallPlan) -> None:
        """Log that a call fails without a retry for want of budget."""
        self._notice_sink(notices.RetryBudgetSpent(plan.target))

    def use_nodes(self, nodes: int, now: float) -> None:
        """Use the number of nodes with a back end, which share the bound."""
        self._nodes = nodes
        for budget in self._shared_budgets.values():
            budget.share_among(nodes, now)

    def grants_unowned(self, service: str, kind: SendKind, now: float) -> bool:
        """Report whether a send may go to a back end that has no node of its own.

        No other node sees what arrives there, so this node keeps its part of the bound.
        """
        if self._bound is None:
            return True
        budget = self._shared_budget(service, self._bound, now)
        if kind == "first":
            budget.first_arrived(now)
            return True
        return budget.spend(now)

    def with_paced_retry_after(self, plan: CallPlan, refusal: NotRun, now: float) -> NotRun:
        """Return the refusal with a retry time that paces the callers' retries.

        It applies to a retrying caller that is refused again because slots or link
        capacity are short; other refusals are returned unchanged.
        """
        if not plan.is_client_retry or refusal.reason not in ROOM_REASONS:
            return refusal
        wait = refusal.retry_after_milliseconds / MILLISECONDS
        seconds = self._retry_paces[plan.target].book(wait, now)
        advice = math.ceil(seconds * MILLISECONDS)
        return msgspec.structs.replace(refusal, retry_after_milliseconds=advice)

    def answered(self, plan: CallPlan, now: float) -> None:
        """Count an answered call; callers may retry at the rate of answers."""
        self._retry_paces[plan.target].answered(now)

    # --- internal

    def _shared_budget(
        self, service: str, bound: RetryBound, now: float
    ) -> SharedRetryBudget:
        budget = self._shared_budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(bound, self._started_at)
            budget.share_among(self._nodes, now)
            self._shared_budgets[service] = budget
        return budget
