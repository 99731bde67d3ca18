"""Lets a node's calls of tenants with a limit run as they are granted."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from peppershore.connection.messages.quotas import QuotaAsked, QuotaGranted
from peppershore.process.commands import Notice
from peppershore.process.node.data.notices import OverLimit
from peppershore.process.node.data.quota_figures import GRANTED, QuotaFigures
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
"""Part of the time in which a call may wait for a slot, that it may wait for a grant."""

LEAST_WAIT_SECONDS = 0.3
"""Waits so long in any case that its deadline allows: a relay's and a node's ask may be
lost once or be late, and are made again within it.  Turns for slots may be much shorter."""

DEADLINE_SHARE = 0.5
"""Part of its time that a call may wait for a grant: the rest is for running."""

LONGEST_WAIT_SECONDS = 1.0
"""Nobody answers for about so long while a leader is elected; no call waits longer."""

OVER_LIMIT = "over-limit"
"""Reason of a refusal because the tenant's limit is used up."""

LIMIT_NOT_KNOWN = "limit-not-known"
"""Reason of a refusal because nobody who may grant calls answered in time."""

USED_UP = "used-up"
NOBODY_ANSWERED = "nobody-answered"
"""What decided a refusal, in its log line."""

NEVER = -1

NOT_KNOWN_MILLISECONDS = 300
"""Advice after that: another relay is found or another leader elected soon."""

LEAST_TIMER_SECONDS = 0.001
"""A shorter one could fire, by rounding, before what it is set for is due."""

Decided = Callable[[NotRun | None], bool]
"""Told of a refusal or, by None, that the call may run; gives whether it does."""


def wait_until(plan: CallPlan, now: float) -> float:
    """Give until when a call may wait for a grant; loop time, as ``now``."""
    patience = max(LEAST_WAIT_SECONDS, WAIT_SHARE * (plan.start_by - now))
    allowed = min(LONGEST_WAIT_SECONDS, DEADLINE_SHARE * (plan.deadline - now))
    return now + max(0.0, min(patience, allowed))


class QuotaGate:
    """Asks for grants, and decides the calls that wait for one."""

    def __init__(
        self,
        quotas: QuotaSettings | None,
        loop: asyncio.AbstractEventLoop,
        random: RandomSource,
        notice_sink: Callable[[Notice], None],
    ) -> None:
        """Without ``quotas`` every call passes and nothing is asked."""
        self.figures = QuotaFigures()
        self._notice_sink = notice_sink
        self._lines = RefusalLines()
        self.on_ask: Callable[[QuotaAsked], None] = lambda ask: None
        """Sends an ask to the relay in use, if there is one."""
        self._loop = loop
        self._random = random
        self._grants = None if quotas is None else NodeGrants(quotas)
        self._limited: dict[str, TenantResource] = {}
        self._turns: dict[str, Turns] = {}
        self._timer: asyncio.TimerHandle | None = None

    def use_configuration(self, active: ActiveConfiguration) -> None:
        """Count the calls of these tenants from now on."""
        if self._grants is None:
            return
        tenants = active.tenants.items()
        self._limited = {name: each for name, each in tenants if each.rate_per_second > 0.0}
        limited = frozenset(self._limited)
        self._grants.keep_only(limited)
        self._lines.keep_only(limited)
        for tenant in self._turns.keys() - limited:
            del self._turns[tenant]

    def take(self, plan: CallPlan, decided: Decided) -> None:
        """Let a call run or refuse it, at once or as soon as that is known.

        Asked for once a call, before it is first sent: its repeats are the same call.
        """
        if self._grants is None or not plan.is_counted or plan.tenant not in self._limited:
            decided(None)
            return
        now = self._loop.time()
        waiter = Waiter(decided, wait_until(plan, now), plan.is_client_retry)
        decision = self._grants.take(plan.tenant, waiter, now)
        if decision is None:
            self._ask(now)
        else:
            self._tell([(waiter, decision, plan.tenant)], now)

    def answered(self, message: QuotaGranted) -> None:
        """The relay answered an ask."""
        if self._grants is None:
            return
        now = self._loop.time()
        self._tell(self._grants.answered(message, now), now)
        self._ask(now)

    def close(self) -> None:
        """Ask for nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    # --- inside

    def _ask(self, now: float) -> None:
        assert self._grants is not None
        ask = self._grants.due_ask(now)
        if ask is not None:
            self.on_ask(ask)
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
        self._tell(self._grants.expired(now), now)
        self._ask(now)

    def _tell(self, decisions: list[tuple[Waiter, Decision, str]], now: float) -> None:
        """Tell calls; a grant that a call no longer needs goes to the next one."""
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
        """Tell a call, count it, and write what decided, if a line is due."""
        if not waiter.call(refusal):
            return
        self.figures.decided(tenant, refusal.reason)
        limit = self._limited.get(tenant)
        left_out = None if limit is None else self._lines.refused(tenant, now)
        if limit is None or left_out is None:
            return
        assert self._grants is not None
        age = self._grants.age_seconds(tenant, now)
        line = OverLimit(
            tenant,
            refusal.reason,
            limit.rate_per_second,
            limit.burst,
            USED_UP if refusal.reason == OVER_LIMIT else NOBODY_ANSWERED,
            NEVER if math.isinf(age) else int(age * MILLISECONDS),
            refusal.retry_after_milliseconds,
            left_out,
        )
        self._notice_sink(line)


def _over_limit(seconds: float) -> NotRun:
    advice = math.ceil(seconds * MILLISECONDS)
    return NotRun(STATUS_TOO_MANY_REQUESTS, OVER_LIMIT, advice)


def _not_known() -> NotRun:
    advice = NOT_KNOWN_MILLISECONDS
    return NotRun(STATUS_UNAVAILABLE, LIMIT_NOT_KNOWN, advice, retryable=True)
