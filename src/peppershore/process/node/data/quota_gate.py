"""Admission of a node's calls whose tenant has a rate limit.

Such a call runs only once a relay has granted it, on behalf of the leader of the control
group. The node requests grants as calls arrive.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted
from peppershore.process.commands import Notice
from peppershore.process.node.data.notices import OverLimit
from peppershore.process.node.data.quota_metrics import GRANTED, QuotaMetrics
from peppershore.process.quotas.node_grants import (
    Decision,
    Denied,
    Granted,
    NodeGrants,
    Waiter,
)
from peppershore.process.quotas.refusal_lines import RefusalLines
from peppershore.process.quotas.turns import Turns
from peppershore.process.settings import QuotaSettings
from peppershore.request.classification import CallPlan
from peppershore.request.outcome import (
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAVAILABLE,
    NotRun,
)
from peppershore.request.picker import RandomSource
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import TenantResource

MILLISECONDS = 1_000

WAIT_SHARE = 0.6
"""Share of its wait time-out for a slot for which a call may wait for a grant."""

LEAST_WAIT_SECONDS = 0.3
"""A call may wait this long in any case, if its deadline allows. A request for grants, of
the node or of a relay, may be lost once or be late; it is retried within this time. The
wait time-out for slots may be much shorter."""

DEADLINE_SHARE = 0.5
"""Part of the time to its deadline that a call may wait for a grant; the rest is for
running."""

LONGEST_WAIT_SECONDS = 1.0
"""No call waits longer for a grant: about the time for which requests go unanswered while a
leader is elected."""

OVER_LIMIT = "over-limit"
"""Reason of a refusal because the tenant's limit is used up."""

LIMIT_NOT_KNOWN = "limit-not-known"
"""Reason of a refusal because no process that may grant calls answered in time."""

USED_UP = "used-up"
NOBODY_ANSWERED = "nobody-answered"
"""Cause of a refusal in its log line: no request for a grant was answered."""

NEVER_ANSWERED = -1

NOT_KNOWN_MILLISECONDS = 300
"""Retry advice of a refusal because the limit is not known: another relay is found or
another leader elected soon."""

LEAST_TIMER_SECONDS = 0.001
"""Shortest timer: a shorter one could, by rounding, fire before its work is due."""

DecisionSink = Callable[[NotRun | None], bool]
"""Receives the refusal, or None if the call may run. Returns False if the call
made no use of it, because it has ended or its key is no longer valid."""


def wait_until(plan: CallPlan, now: float) -> float:
    """Return until when a call may wait for a grant, in loop time as ``now``."""
    wait_seconds = max(LEAST_WAIT_SECONDS, WAIT_SHARE * (plan.start_by - now))
    allowed = min(LONGEST_WAIT_SECONDS, DEADLINE_SHARE * (plan.deadline - now))
    return now + max(0.0, min(wait_seconds, allowed))


class QuotaGate:
    """Requests grants, and admits or refuses the calls that wait for one."""

    def __init__(
        self,
        quotas: QuotaSettings | None,
        loop: asyncio.AbstractEventLoop,
        random: RandomSource,
        notice_sink: Callable[[Notice], None],
    ) -> None:
        """Start without grants. Without ``quotas`` all calls pass and none are requested.

        ``loop`` provides the time and the timers, ``random`` the spread of retry times, and
        ``notice_sink`` receives the log lines of refusals.
        """
        self.figures = QuotaMetrics()
        self._notice_sink = notice_sink
        self._log_limits = RefusalLines()
        self.on_request: Callable[[QuotaAsked], None] = lambda request: None
        """Sends a request for grants to the relay in use, if there is one."""
        self._loop = loop
        self._random = random
        self._grants = None if quotas is None else NodeGrants(quotas)
        self._limited: dict[str, TenantResource] = {}
        self._turns: dict[str, Turns] = {}
        self._timer: asyncio.TimerHandle | None = None

    def use_configuration(self, active: ActiveConfiguration) -> None:
        """Apply the rate limits of the tenants in a new configuration."""
        if self._grants is None:
            return
        tenants = active.tenants.items()
        self._limited = {name: each for name, each in tenants if each.rate_per_second > 0.0}
        limited = frozenset(self._limited)
        self._grants.keep_only(limited)
        self._log_limits.keep_only(limited)
        for tenant in self._turns.keys() - limited:
            del self._turns[tenant]

    def take(self, plan: CallPlan, decided: DecisionSink) -> None:
        """Admit or refuse a call by calling ``decided``, at once or as soon as it is known.

        Called once for each call, before its first attempt: its retries are the same call.
        """
        if self._grants is None or not plan.is_counted or plan.tenant not in self._limited:
            decided(None)
            return
        now = self._loop.time()
        waiter = Waiter(decided, wait_until(plan, now), plan.is_client_retry)
        decision = self._grants.take(plan.tenant, waiter, now)
        if decision is None:
            self._request_grants(now)
        else:
            self._apply([(waiter, decision, plan.tenant)], now)

    def answered(self, message: QuotaGranted) -> None:
        """Process the relay's answer to a request for grants."""
        if self._grants is None:
            return
        now = self._loop.time()
        self._apply(self._grants.answered(message, now), now)
        self._request_grants(now)

    def close(self) -> None:
        """Request no more grants."""
        if self._timer is not None:
            self._timer.cancel()

    # --- internal

    def _request_grants(self, now: float) -> None:
        assert self._grants is not None
        request = self._grants.due_ask(now)
        if request is not None:
            self.on_request(request)
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        assert self._grants is not None
        due_at = self._grants.next_due(now)
        if self._timer is not None:
            if due_at is not None and self._timer.when() <= due_at:
                return
            self._timer.cancel()
            self._timer = None
        if due_at is not None:
            at = max(due_at, now + LEAST_TIMER_SECONDS)
            self._timer = self._loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        assert self._grants is not None
        self._timer = None
        now = self._loop.time()
        self._apply(self._grants.expired(now), now)
        self._request_grants(now)

    def _apply(self, decisions: list[tuple[Waiter, Decision, str]], now: float) -> None:
        """Pass decisions to calls; a grant that a call no longer needs goes to the next."""
        assert self._grants is not None
        while decisions:
            waiter, decision, tenant = decisions.pop(0)
            turns = self._turns.setdefault(tenant, Turns())
            if isinstance(decision, Granted):
                if waiter.call(None):
                    turns.granted(now)
                    self.figures.decided(tenant, GRANTED)
                else:
                    decisions += self._grants.put_back(tenant)
            elif isinstance(decision, Denied):
                seconds = turns.book(decision.wait_seconds, self._random.below(1.0), now)
                self._refuse(waiter, tenant, _over_limit(seconds), now)
            else:
                self._refuse(waiter, tenant, _not_known(), now)

    def _refuse(self, waiter: Waiter, tenant: str, refusal: NotRun, now: float) -> None:
        """Refuse a call, count it, and log the cause if a log line is due."""
        if not waiter.call(refusal):
            return
        self.figures.decided(tenant, refusal.reason)
        limit = self._limited.get(tenant)
        left_out = None if limit is None else self._log_limits.refused(tenant, now)
        if limit is None or left_out is None:
            return
        assert self._grants is not None
        age = self._grants.age_seconds(tenant, now)
        notice = OverLimit(
            tenant,
            refusal.reason,
            limit.rate_per_second,
            limit.burst,
            USED_UP if refusal.reason == OVER_LIMIT else NOBODY_ANSWERED,
            NEVER_ANSWERED if math.isinf(age) else int(age * MILLISECONDS),
            refusal.retry_after_milliseconds,
            left_out,
        )
        self._notice_sink(notice)


def _over_limit(seconds: float) -> NotRun:
    advice = math.ceil(seconds * MILLISECONDS)
    return NotRun(STATUS_TOO_MANY_REQUESTS, OVER_LIMIT, advice)


def _not_known() -> NotRun:
    advice = NOT_KNOWN_MILLISECONDS
    return NotRun(STATUS_UNAVAILABLE, LIMIT_NOT_KNOWN, advice, retryable=True)
