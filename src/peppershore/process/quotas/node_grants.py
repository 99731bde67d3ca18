"""Granted calls at a node, which uses one for each call that counts against a limit.

This module only decides; ``node.data.quota_gate`` owns the timers and the calls.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

import msgspec

from peppershore.connection.messages.quotas import (
    QuotaAsked,
    QuotaGranted,
    TenantAsk,
    TenantGrant,
)
from peppershore.process.quotas.demand import Demand
from peppershore.process.quotas.leased_calls import LeasedCalls, OpenRequests
from peppershore.process.quotas.terms import lease_seconds
from peppershore.process.settings import QuotaSettings

MILLISECONDS = 1_000

MIN_REQUEST_INTERVAL_SECONDS = 0.002
"""Minimum time between two requests. Calls that arrive in between share the next one."""

REQUEST_TIMEOUT_SECONDS = 0.1
"""A request without an answer is sent again after this time, to another relay if the node
has switched to one."""

FORECAST_SECONDS = 0.02
"""A request also covers the calls expected in this time. The forecast rounds down, so it
adds calls only for a tenant with enough load to use them."""


FAR_OVER_DENIALS_PER_SECOND = 3
"""Denied calls per second at this node from which a tenant counts as far over its limit.
Its retries are then refused without a request, which leaves the limit to first attempts:
these can still be answered in time. An occasional denied call is normal for a small
tenant whose calls arrive in clumps."""


class Granted(msgspec.Struct, frozen=True):
    """The call may run."""


class Denied(msgspec.Struct, frozen=True):
    """The limit is used up; one more call is available after ``wait_seconds``."""

    wait_seconds: float


class Unanswered(msgspec.Struct, frozen=True):
    """No answer to the request for a grant arrived while the call could wait."""


Decision = Granted | Denied | Unanswered


class Waiter(msgspec.Struct, eq=False):
    """A call that waits for a grant until ``until`` at the latest.

    ``call`` is opaque here and identifies the call to the owner. ``is_repeat`` marks a
    retry by a caller that was refused before.
    """

    call: Any
    until: float
    is_repeat: bool = False


class _TenantState:
    """State of one tenant at a node."""

    __slots__ = (
        "demand",
        "denials",
        "denied_until",
        "last_answer_at",
        "leased",
        "refused",
        "waiting",
    )

    def __init__(self) -> None:
        self.leased = LeasedCalls()
        self.waiting: deque[Waiter] = deque()
        self.demand = Demand()
        self.denials = Demand()
        self.denied_until = 0.0
        self.last_answer_at = -math.inf
        self.refused = 0

    def take_refused(self) -> int:
        """Return the calls refused since the last report, and reset the count."""
        reported, self.refused = self.refused, 0
        return reported


class NodeGrants:
    """Granted calls, waiting calls and requests of one node.

    Times are seconds of the node's boot clock.
    """

    def __init__(self, quotas: QuotaSettings) -> None:
        """Start without grants; ``quotas`` sets the lease of a grant."""
        self._requests = OpenRequests(REQUEST_TIMEOUT_SECONDS, lease_seconds(quotas))
        self._tenants: dict[str, _TenantState] = {}
        self._due: set[str] = set()
        self._asked_at = -math.inf

    def take(self, tenant: str, waiter: Waiter, now: float) -> Decision | None:
        """Decide on a call; return None if it has to wait for a grant."""
        state = self._tenants.setdefault(tenant, _TenantState())
        state.demand.add(1, now)
        if (
            waiter.is_repeat
            and state.denials.expected(1.0, now) >= FAR_OVER_DENIALS_PER_SECOND
        ):
            state.refused += 1
            return Denied(max(0.0, state.denied_until - now))
        if not state.waiting and state.leased.take(1, now)[0]:
            return Granted()
        if state.denied_until > now:
            state.refused += 1
            state.denials.add(1, now)
            return Denied(state.denied_until - now)
        state.waiting.append(waiter)
        self._due.add(tenant)
        return None

    def answered(
        self, message: QuotaGranted, now: float
    ) -> list[tuple[Waiter, Decision, str]]:
        """Handle an answer to a request.

        Return the waiting calls that it decides, each with its decision and tenant.
        """
        if not message.is_known:
            self._due.update(self._requests.refused(message.number))
            return []
        decided: list[tuple[Waiter, Decision, str]] = []
        for grant in message.grants:
            found = self._requests.answered(message.number, grant.tenant)
            state = self._tenants.get(grant.tenant)
            if found is None or state is None:
                continue
            expires_at = found[0] + message.lease_milliseconds / MILLISECONDS
            if expires_at > now:
                state.leased.add(grant.calls, expires_at)
            decided += self._decide(state, grant, found[1], now)
        return decided

    def put_back(self, tenant: str) -> list[tuple[Waiter, Decision, str]]:
        """Reuse the grant of a call that has ended without using it.

        Return the tenant's next waiting call as granted, or nothing if none waits.
        """
        state = self._tenants[tenant]
        if not state.waiting:
            return []
        return [(state.waiting.popleft(), Granted(), tenant)]

    def expired(self, now: float) -> list[tuple[Waiter, Decision, str]]:
        """Remove and return the waiting calls whose wait time-out has passed."""
        decided: list[tuple[Waiter, Decision, str]] = []
        for tenant in list(self._tenants):
            state = self._tenants[tenant]
            late = [each for each in state.waiting if each.until <= now]
            if late:
                kept = [each for each in state.waiting if each.until > now]
                state.waiting = deque(kept)
                decided += [(each, Unanswered(), tenant) for each in late]
        return decided

    def due_ask(self, now: float) -> QuotaAsked | None:
        """Return the request to send now, or None if none is due."""
        self._due.update(self._requests.overdue(now))
        if now < self._asked_at + MIN_REQUEST_INTERVAL_SECONDS:
            return None
        wanted: dict[str, int] = {}
        for tenant in sorted(self._due & self._tenants.keys()):
            state = self._tenants[tenant]
            soon = state.demand.expected(FORECAST_SECONDS, now)
            calls = len(state.waiting) + soon - state.leased.calls
            calls -= self._requests.outstanding(tenant)
            if state.waiting and calls > 0:
                wanted[tenant] = calls
        self._due.clear()
        if not wanted:
            return None
        self._asked_at = now
        number = self._requests.open(wanted, now)
        asks = tuple(
            TenantAsk(tenant, calls, self._tenants[tenant].take_refused())
            for tenant, calls in wanted.items()
        )
        return QuotaAsked(number, asks)

    def next_due(self, now: float) -> float | None:
        """Return the next time at which to call ``due_ask`` and ``expired``, if any."""
        times = [each.until for state in self._tenants.values() for each in state.waiting]
        overdue = self._requests.next_overdue_at()
        if overdue is not None:
            times.append(overdue)
        if self._due:
            times.append(max(now, self._asked_at + MIN_REQUEST_INTERVAL_SECONDS))
        return min(times, default=None)

    def age_seconds(self, tenant: str, now: float) -> float:
        """Return the seconds since the last answer for a tenant; infinity if none came."""
        state = self._tenants.get(tenant)
        return math.inf if state is None else now - state.last_answer_at

    def keep_only(self, tenants: frozenset[str]) -> None:
        """Drop the state of all other tenants, except of those with waiting calls."""
        for tenant in self._tenants.keys() - tenants:
            if not self._tenants[tenant].waiting:
                del self._tenants[tenant]
                self._due.discard(tenant)

    def _decide(
        self, state: _TenantState, grant: TenantGrant, asked: int, now: float
    ) -> list[tuple[Waiter, Decision, str]]:
        state.last_answer_at = now
        decided: list[tuple[Waiter, Decision, str]] = []
        while state.waiting and state.leased.take(1, now)[0]:
            decided.append((state.waiting.popleft(), Granted(), grant.tenant))
        if grant.calls < asked and grant.wait_milliseconds:
            state.denied_until = now + grant.wait_milliseconds / MILLISECONDS
            denied = Denied(state.denied_until - now)
            decided += [(each, denied, grant.tenant) for each in state.waiting]
            state.denials.add(len(state.waiting), now)
            state.refused += len(state.waiting)
            state.waiting.clear()
        if state.waiting:
            self._due.add(grant.tenant)
        return decided
