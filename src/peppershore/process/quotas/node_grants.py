"""What a node knows of granted calls: it takes one for each counted call.

Decides only; ``node.data.quota_gate`` has the timers and the calls.
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
from peppershore.process.quotas.lots import Lots, OpenAsks
from peppershore.process.quotas.terms import lease_seconds
from peppershore.process.settings import QuotaSettings

MILLISECONDS = 1_000

GAP_SECONDS = 0.002
"""Between two asks: calls that come meanwhile share the next."""

OVERDUE_SECONDS = 0.1
"""An ask without an answer is made again, of another relay if there is one by then."""

FORECAST_SECONDS = 0.02
"""Asked for besides what waits: only where so many calls come that they will be used."""


FAR_OVER_CALLS = 3
"""A tenant of whose calls so many a second are denied here sends more than its limit
gives.  Repeats then ask for nothing: what the limit gives goes to first sends, which can
still be answered in time.  One denied call now and then is a clump of a small tenant."""


class Granted(msgspec.Struct, frozen=True):
    """The call may run."""


class Denied(msgspec.Struct, frozen=True):
    """The limit is used up; it gives one more after so long."""

    wait_seconds: float


class Unanswered(msgspec.Struct, frozen=True):
    """Nobody who may grant answered while the call could wait."""


Decision = Granted | Denied | Unanswered


class Waiter(msgspec.Struct, eq=False):
    """A call that waits, until then at the most; ``call`` is whatever knows it.

    ``is_repeat``: its caller was refused before.
    """

    call: Any
    until: float
    is_repeat: bool = False


class _Line:
    """One tenant at a node."""

    __slots__ = (
        "demand",
        "denials",
        "denied_until",
        "heard_at",
        "lots",
        "refused",
        "waiting",
    )

    def __init__(self) -> None:
        self.lots = Lots()
        self.waiting: deque[Waiter] = deque()
        self.demand = Demand()
        self.denials = Demand()
        self.denied_until = 0.0
        self.heard_at = -math.inf
        self.refused = 0

    def tell_refused(self) -> int:
        """Give the calls refused since this was last told."""
        told, self.refused = self.refused, 0
        return told


class NodeGrants:
    """Lots, waiting calls and asks of one node; times in seconds of its boot clock."""

    def __init__(self, quotas: QuotaSettings) -> None:
        """Begin without grants."""
        self._asks = OpenAsks(OVERDUE_SECONDS, lease_seconds(quotas))
        self._lines: dict[str, _Line] = {}
        self._due: set[str] = set()
        self._asked_at = -math.inf

    def take(self, tenant: str, waiter: Waiter, now: float) -> Decision | None:
        """Decide on a call, or let it wait: None."""
        line = self._lines.setdefault(tenant, _Line())
        line.demand.add(1, now)
        if waiter.is_repeat and line.denials.expected(1.0, now) >= FAR_OVER_CALLS:
            line.refused += 1
            return Denied(max(0.0, line.denied_until - now))
        if not line.waiting and line.lots.take(1, now)[0]:
            return Granted()
        if line.denied_until > now:
            line.refused += 1
            line.denials.add(1, now)
            return Denied(line.denied_until - now)
        line.waiting.append(waiter)
        self._due.add(tenant)
        return None

    def answered(
        self, message: QuotaGranted, now: float
    ) -> list[tuple[Waiter, Decision, str]]:
        """Take an answer; give the calls that are decided by it, and their tenants."""
        if not message.is_known:
            self._due.update(self._asks.refused(message.number))
            return []
        decided: list[tuple[Waiter, Decision, str]] = []
        for grant in message.grants:
            found = self._asks.answered(message.number, grant.tenant)
            line = self._lines.get(grant.tenant)
            if found is None or line is None:
                continue
            ends_at = found[0] + message.lease_milliseconds / MILLISECONDS
            if ends_at > now:
                line.lots.add(grant.calls, ends_at)
            decided += self._decide(line, grant, found[1], now)
        return decided

    def put_back(self, tenant: str) -> list[tuple[Waiter, Decision, str]]:
        """A call that was granted is over: the next one that waits may run instead."""
        line = self._lines[tenant]
        if not line.waiting:
            return []
        return [(line.waiting.popleft(), Granted(), tenant)]

    def expired(self, now: float) -> list[tuple[Waiter, Decision, str]]:
        """Give the calls that can wait no longer."""
        decided: list[tuple[Waiter, Decision, str]] = []
        for tenant in list(self._lines):
            line = self._lines[tenant]
            late = [each for each in line.waiting if each.until <= now]
            if late:
                kept = [each for each in line.waiting if each.until > now]
                line.waiting = deque(kept)
                decided += [(each, Unanswered(), tenant) for each in late]
        return decided

    def due_ask(self, now: float) -> QuotaAsked | None:
        """Give the ask that is due by now, if there is one."""
        self._due.update(self._asks.overdue(now))
        if now < self._asked_at + GAP_SECONDS:
            return None
        wanted: dict[str, int] = {}
        for tenant in sorted(self._due & self._lines.keys()):
            line = self._lines[tenant]
            soon = line.demand.expected(FORECAST_SECONDS, now)
            calls = len(line.waiting) + soon - line.lots.calls
            calls -= self._asks.under_way(tenant)
            if line.waiting and calls > 0:
                wanted[tenant] = calls
        self._due.clear()
        if not wanted:
            return None
        self._asked_at = now
        number = self._asks.open(wanted, now)
        asks = tuple(
            TenantAsk(tenant, calls, self._lines[tenant].tell_refused())
            for tenant, calls in wanted.items()
        )
        return QuotaAsked(number, asks)

    def next_due(self, now: float) -> float | None:
        """Give when ``due_ask`` or ``expired`` has something to do."""
        times = [each.until for line in self._lines.values() for each in line.waiting]
        overdue = self._asks.next_overdue()
        if overdue is not None:
            times.append(overdue)
        if self._due:
            times.append(max(now, self._asked_at + GAP_SECONDS))
        return min(times, default=None)

    def age_seconds(self, tenant: str, now: float) -> float:
        """Give how long ago the last answer for a tenant came; infinity for never."""
        line = self._lines.get(tenant)
        return math.inf if line is None else now - line.heard_at

    def keep_only(self, tenants: frozenset[str]) -> None:
        """Forget tenants that are none any more, unless their calls still wait."""
        for tenant in self._lines.keys() - tenants:
            if not self._lines[tenant].waiting:
                del self._lines[tenant]
                self._due.discard(tenant)

    def _decide(
        self, line: _Line, grant: TenantGrant, asked: int, now: float
    ) -> list[tuple[Waiter, Decision, str]]:
        line.heard_at = now
        decided: list[tuple[Waiter, Decision, str]] = []
        while line.waiting and line.lots.take(1, now)[0]:
            decided.append((line.waiting.popleft(), Granted(), grant.tenant))
        if grant.calls < asked and grant.wait_milliseconds:
            line.denied_until = now + grant.wait_milliseconds / MILLISECONDS
            denied = Denied(line.denied_until - now)
            decided += [(each, denied, grant.tenant) for each in line.waiting]
            line.denials.add(len(line.waiting), now)
            line.refused += len(line.waiting)
            line.waiting.clear()
        if line.waiting:
            self._due.add(grant.tenant)
        return decided
