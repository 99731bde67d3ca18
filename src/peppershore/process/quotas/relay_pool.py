"""How a relay answers its nodes' asks for calls, and asks the group for them.

Whole calls are granted by the leader and kept in lots that end by themselves.  For a
tenant it was told so of, a relay gives a few calls before it asks for them, and settles
them a moment later: most nodes are answered at once, and the leader is asked for many
calls with one message.
"""

from __future__ import annotations

import math

from peppershore.connection.messages.quotas import (
    QuotaAsked,
    QuotaGranted,
    TenantAsk,
    TenantGrant,
)
from peppershore.process.commands import Command, SendMessage, SetTimer
from peppershore.process.events import LinkId
from peppershore.process.quotas.decider import AHEAD_SECONDS
from peppershore.process.quotas.lots import OpenAsks
from peppershore.process.quotas.relay_line import NodeAsk, RelayLine
from peppershore.process.quotas.terms import lease_seconds
from peppershore.process.settings import QuotaSettings

QUOTA_TIMER = "relay.quotas"
MILLISECONDS = 1_000

GAP_SECONDS = 0.01
"""Between two asks: what waits meanwhile goes along with the next."""

SETTLE_SECONDS = 0.1
"""Calls given ahead wait so long at the most until they are asked for."""

OVERDUE_SECONDS = 0.2
"""An ask without an answer is made again: longer than an answer usually takes from a
leader that waits for its turn on a processor that is slow or shared."""

NOBODY_SECONDS = 0.05
"""After the word that nobody can grant, the next ask waits so long."""

LEAST_DENIED_SECONDS = 0.05
"""A tenant at its limit is asked for no more often: the bucket keeps what fills it."""

LEAST_TIMER_SECONDS = 0.001
"""A shorter one could fire, by rounding, before what it is set for is due."""

NODE_WAIT_SECONDS = 0.15
"""A node asks anew by then; an ask that waited longer is forgotten here."""


class RelayPool:
    """Grants and asks of one relay; every method gives the commands it leads to."""

    def __init__(self, quotas: QuotaSettings | None) -> None:
        """Without ``quotas`` no node asks, and if one does it gets nothing."""
        lease = 0.0 if quotas is None else lease_seconds(quotas)
        self.life = 0
        """Tells this life of the relay from others; set at its start."""
        self._is_on = quotas is not None
        self._source: LinkId | None = None
        self._asks = OpenAsks(OVERDUE_SECONDS, lease)
        self._lines: dict[str, RelayLine] = {}
        self._due: set[str] = set()
        self._epoch = 0
        self._ahead_until = 0.0
        self._nobody_until = 0.0
        self._asked_at = 0.0
        self._timer_at = math.inf
        self._answers: dict[tuple[LinkId, int], _Answer] = {}

    def node_asked(
        self, link: LinkId, message: QuotaAsked, source: LinkId | None, now: float
    ) -> list[Command]:
        """A node asks; ``source`` is the open link to a replica, if there is one."""
        if not self._is_on:
            return [SendMessage(link, QuotaGranted(message.number, (), 0, False))]
        for each in message.asks:
            if each.calls <= 0:
                continue
            line = self._lines.setdefault(each.tenant, RelayLine())
            line.demand.add(each.calls, now)
            line.refused += max(0, each.refused)
            line.waiting.append(NodeAsk(link, message.number, each.calls, now))
            self._serve(each.tenant, line, now)
        return self._done(source, now)

    def granted(
        self, message: QuotaGranted, source: LinkId | None, now: float
    ) -> list[Command]:
        """The group answers."""
        if not message.is_known:
            for tenant in self._asks.refused(message.number):
                self._due.add(tenant)
            self._nobody_until = now + NOBODY_SECONDS
            return self._done(source, now)
        self._asks.lease = message.lease_milliseconds / MILLISECONDS
        if message.epoch != self._epoch:
            self._epoch = message.epoch
            self._ahead_until = 0.0
            for line in self._lines.values():
                line.ahead = 0
        for grant in message.grants:
            self._take(message.number, grant, now)
        return self._done(source, now)

    def timer(self, source: LinkId | None, now: float) -> list[Command]:
        """Ask for what is due by now."""
        self._timer_at = math.inf
        return self._done(source, now)

    def link_closed(self, link: LinkId) -> None:
        """A node left: what it waited for is nobody's."""
        for line in self._lines.values():
            if any(each.link == link for each in line.waiting):
                kept = [each for each in line.waiting if each.link != link]
                line.waiting.clear()
                line.waiting.extend(kept)

    # --- inside

    def _take(self, number: int, grant: TenantGrant, now: float) -> None:
        found = self._asks.answered(number, grant.tenant)
        line = self._lines.get(grant.tenant)
        if found is None or line is None:
            return
        sent_at, asked = found
        line.ahead = grant.ahead
        self._ahead_until = max(self._ahead_until, sent_at + AHEAD_SECONDS)
        left = line.pay(grant.calls, sent_at)
        ends_at = sent_at + self._asks.lease
        if ends_at > now:
            line.lots.add(left, ends_at)
        if grant.calls < asked and grant.wait_milliseconds:
            wait = grant.wait_milliseconds / MILLISECONDS
            line.denied_until = now + max(wait, LEAST_DENIED_SECONDS)
        self._serve(grant.tenant, line, now)

    def _serve(self, tenant: str, line: RelayLine, now: float) -> None:
        """Answer the nodes that wait, as far as there are calls or a denial."""
        line.lots.drop_ended(now)
        while line.waiting:
            first = line.waiting[0]
            if now - first.came_at > NODE_WAIT_SECONDS:
                line.waiting.popleft()
                continue
            given, ends_at = line.give(first.calls, now < self._ahead_until, now)
            denied = line.denied_until - now
            if not given and denied <= 0.0:
                break
            line.waiting.popleft()
            is_denied = given < first.calls and denied > 0.0
            wait = max(1, math.ceil(denied * MILLISECONDS)) if is_denied else 0
            lease = min(self._asks.lease, ends_at - first.came_at)
            self._answer(first, TenantGrant(tenant, given, wait), lease)
        self._due.add(tenant)

    def _answer(self, ask: NodeAsk, grant: TenantGrant, lease: float) -> None:
        answer = self._answers.setdefault((ask.link, ask.number), _Answer())
        answer.grants.append(grant)
        if grant.calls:
            answer.lease = min(answer.lease, lease)

    def _done(self, source: LinkId | None, now: float) -> list[Command]:
        """Give what this event leads to: answers, an ask, and a timer for the next."""
        out: list[Command] = []
        for (link, number), answer in self._answers.items():
            out.append(SendMessage(link, answer.message(number, self._asks.lease)))
        self._answers.clear()
        self._due.update(self._asks.overdue(now))
        due_at, wanted = self._wanted(now)
        if source is None:
            due_at = max(due_at, now + NOBODY_SECONDS)
        elif wanted and due_at <= now:
            out.append(SendMessage(source, self._ask(wanted, now)))
            due_at, wanted = self._wanted(now)
        return out + self._set_timer(due_at, now)

    def _wanted(self, now: float) -> tuple[float, dict[str, int]]:
        """Give when the next ask is due, and what it is for if it is due now."""
        wanted: dict[str, int] = {}
        due_at = math.inf
        self._due &= self._lines.keys()
        for tenant in list(self._due):
            line = self._lines[tenant]
            calls = line.wanted(now) - self._asks.under_way(tenant)
            if calls <= 0 or not (line.waiting or line.debts):
                self._due.discard(tenant)
                if line.is_idle and not line.ahead:
                    self._forget(tenant, line, now)
                continue
            due_at = min(due_at, self._due_at(line))
            if line.denied_until <= now:
                wanted[tenant] = calls
        earliest = max(self._asked_at + GAP_SECONDS, self._nobody_until)
        return max(due_at, earliest), wanted

    def _due_at(self, line: RelayLine) -> float:
        """Who waits is asked for at once, and what is owed after a while."""
        if line.waiting or len(line.debts) > max(1, line.ahead // 2):
            return line.denied_until
        return max(line.denied_until, line.debts[0] + SETTLE_SECONDS)

    def _ask(self, wanted: dict[str, int], now: float) -> QuotaAsked:
        self._asked_at = now
        number = self._asks.open(wanted, now)
        asks = tuple(
            TenantAsk(tenant, calls, self._lines[tenant].tell_refused())
            for tenant, calls in wanted.items()
        )
        return QuotaAsked(number, asks, self.life)

    def _set_timer(self, due_at: float, now: float) -> list[Command]:
        overdue_at = self._asks.next_overdue()
        if overdue_at is not None:
            due_at = min(due_at, overdue_at)
        if due_at == math.inf or self._timer_at <= due_at:
            return []
        self._timer_at = max(due_at, now + LEAST_TIMER_SECONDS)
        return [SetTimer(QUOTA_TIMER, self._timer_at - now)]

    def _forget(self, tenant: str, line: RelayLine, now: float) -> None:
        """Keep no line of a tenant that nobody asks for any more."""
        if not line.demand.expected(AHEAD_SECONDS, now) and line.denied_until <= now:
            del self._lines[tenant]


class _Answer:
    """The answer to one ask of a node, while it is put together."""

    __slots__ = ("grants", "lease")

    def __init__(self) -> None:
        self.grants: list[TenantGrant] = []
        self.lease = math.inf

    def message(self, number: int, longest: float) -> QuotaGranted:
        lease = max(0.0, min(self.lease, longest))
        milliseconds = math.floor(lease * MILLISECONDS)
        return QuotaGranted(number, tuple(self.grants), milliseconds)
