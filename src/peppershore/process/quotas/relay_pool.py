"""How a relay answers its nodes' requests for calls, and requests them from the leader.

The leader grants whole calls, which the relay holds until their lease expires. For a
tenant for which the leader allows it, a relay grants a few calls in advance and requests
them from the leader a moment later. So most nodes are answered at once, and one message to
the leader requests many calls.
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
from peppershore.process.quotas.leased_calls import OpenRequests
from peppershore.process.quotas.relay_tenant import NodeRequest, RelayTenant
from peppershore.process.quotas.terms import lease_seconds
from peppershore.process.settings import QuotaSettings

QUOTA_TIMER = "relay.quotas"
MILLISECONDS = 1_000

MIN_REQUEST_INTERVAL_SECONDS = 0.01
"""Minimum time between two requests to the leader. Calls that nodes request in between go
with the next one."""

MAX_DEBT_AGE_SECONDS = 0.1
"""Maximum time until a call granted in advance is requested from the leader."""

REQUEST_TIMEOUT_SECONDS = 0.2
"""A request without an answer is sent again after this time. It is longer than an answer
usually takes from a leader that waits for a slow or shared processor."""

NO_LEADER_WAIT_SECONDS = 0.05
"""Wait before the next request while no replica is linked, or after an answer that no
replica can grant calls."""

MIN_DENIAL_SECONDS = 0.05
"""Minimum time between requests for a tenant at its limit. Meanwhile its bucket at the
leader fills."""

MIN_TIMER_SECONDS = 0.001
"""Minimum delay of a timer. A shorter one could fire, by rounding, before its work is
due."""

NODE_WAIT_SECONDS = 0.15
"""A node's request that waited longer is dropped, as the node sends a new one by then."""


class RelayPool:
    """Granted calls of one relay, and its requests for more.

    The methods that handle an event return the commands to run.
    """

    def __init__(self, quotas: QuotaSettings | None) -> None:
        """Start without grants. If ``quotas`` is None, every request is refused."""
        lease = 0.0 if quotas is None else lease_seconds(quotas)
        self.life = 0
        """Identifies this incarnation of the relay; set at its start."""
        self._is_on = quotas is not None
        self._source: LinkId | None = None
        self._requests = OpenRequests(REQUEST_TIMEOUT_SECONDS, lease)
        self._tenants: dict[str, RelayTenant] = {}
        self._due: set[str] = set()
        self._epoch = 0
        self._ahead_until = 0.0
        self._no_leader_until = 0.0
        self._asked_at = 0.0
        self._timer_at = math.inf
        self._answers: dict[tuple[LinkId, int], _Answer] = {}

    def node_asked(
        self, link: LinkId, message: QuotaAsked, source: LinkId | None, now: float
    ) -> list[Command]:
        """Handle a node's request; ``source`` is the open link to a replica, if any."""
        if not self._is_on:
            return [SendMessage(link, QuotaGranted(message.number, (), 0, False))]
        for each in message.asks:
            if each.calls <= 0:
                continue
            state = self._tenants.setdefault(each.tenant, RelayTenant())
            state.demand.add(each.calls, now)
            state.refused += max(0, each.refused)
            state.waiting.append(NodeRequest(link, message.number, each.calls, now))
            self._answer_waiting(each.tenant, state, now)
        return self._commands(source, now)

    def granted(
        self, message: QuotaGranted, source: LinkId | None, now: float
    ) -> list[Command]:
        """Handle an answer of the control group."""
        if not message.is_known:
            for tenant in self._requests.refused(message.number):
                self._due.add(tenant)
            self._no_leader_until = now + NO_LEADER_WAIT_SECONDS
            return self._commands(source, now)
        self._requests.lease = message.lease_milliseconds / MILLISECONDS
        if message.epoch != self._epoch:
            self._epoch = message.epoch
            self._ahead_until = 0.0
            for state in self._tenants.values():
                state.ahead = 0
        for grant in message.grants:
            self._handle_grant(message.number, grant, now)
        return self._commands(source, now)

    def timer(self, source: LinkId | None, now: float) -> list[Command]:
        """Handle the quota timer: request the calls that are due."""
        self._timer_at = math.inf
        return self._commands(source, now)

    def link_closed(self, link: LinkId) -> None:
        """Drop the waiting requests of a node whose link was closed."""
        for state in self._tenants.values():
            if any(each.link == link for each in state.waiting):
                kept = [each for each in state.waiting if each.link != link]
                state.waiting.clear()
                state.waiting.extend(kept)

    # --- internal

    def _handle_grant(self, number: int, grant: TenantGrant, now: float) -> None:
        found = self._requests.answered(number, grant.tenant)
        state = self._tenants.get(grant.tenant)
        if found is None or state is None:
            return
        sent_at, asked = found
        state.ahead = grant.ahead
        self._ahead_until = max(self._ahead_until, sent_at + AHEAD_SECONDS)
        left = state.cover_debts(grant.calls, sent_at)
        expires_at = sent_at + self._requests.lease
        if expires_at > now:
            state.leased.add(left, expires_at)
        if grant.calls < asked and grant.wait_milliseconds:
            wait = grant.wait_milliseconds / MILLISECONDS
            state.denied_until = now + max(wait, MIN_DENIAL_SECONDS)
        self._answer_waiting(grant.tenant, state, now)

    def _answer_waiting(self, tenant: str, state: RelayTenant, now: float) -> None:
        """Answer the waiting requests in order, as far as there are calls to grant.

        While the tenant is known to be at its limit, requests beyond that are denied;
        otherwise they wait on.
        """
        state.leased.drop_expired(now)
        while state.waiting:
            first = state.waiting[0]
            if now - first.came_at > NODE_WAIT_SECONDS:
                state.waiting.popleft()
                continue
            given, expires_at = state.grant(first.calls, now < self._ahead_until, now)
            denied = state.denied_until - now
            if not given and denied <= 0.0:
                break
            state.waiting.popleft()
            is_denied = given < first.calls and denied > 0.0
            wait = max(1, math.ceil(denied * MILLISECONDS)) if is_denied else 0
            lease = min(self._requests.lease, expires_at - first.came_at)
            self._answer(first, TenantGrant(tenant, given, wait), lease)
        self._due.add(tenant)

    def _answer(self, request: NodeRequest, grant: TenantGrant, lease: float) -> None:
        answer = self._answers.setdefault((request.link, request.number), _Answer())
        answer.grants.append(grant)
        if grant.calls:
            answer.lease = min(answer.lease, lease)

    def _commands(self, source: LinkId | None, now: float) -> list[Command]:
        """Return the commands for this event: answers, a request if due, and a timer."""
        out: list[Command] = []
        for (link, number), answer in self._answers.items():
            out.append(SendMessage(link, answer.message(number, self._requests.lease)))
        self._answers.clear()
        self._due.update(self._requests.overdue(now))
        due_at, wanted = self._due_requests(now)
        if source is None:
            due_at = max(due_at, now + NO_LEADER_WAIT_SECONDS)
        elif wanted and due_at <= now:
            out.append(SendMessage(source, self._make_request(wanted, now)))
            due_at, wanted = self._due_requests(now)
        return out + self._set_timer(due_at, now)

    def _due_requests(self, now: float) -> tuple[float, dict[str, int]]:
        """Return when the next request is due, and the calls by tenant if sent now."""
        wanted: dict[str, int] = {}
        due_at = math.inf
        self._due &= self._tenants.keys()
        for tenant in list(self._due):
            state = self._tenants[tenant]
            calls = state.wanted(now) - self._requests.outstanding(tenant)
            if calls <= 0 or not (state.waiting or state.debts):
                self._due.discard(tenant)
                if state.is_idle and not state.ahead:
                    self._drop_if_idle(tenant, state, now)
                continue
            due_at = min(due_at, self._due_at(state))
            if state.denied_until <= now:
                wanted[tenant] = calls
        earliest = max(self._asked_at + MIN_REQUEST_INTERVAL_SECONDS, self._no_leader_until)
        return max(due_at, earliest), wanted

    def _due_at(self, state: RelayTenant) -> float:
        """Return when to request calls for a tenant, not while it is denied calls.

        Calls are requested at once if nodes wait, or if the calls granted in advance and
        not yet requested (debts) exceed half of those allowed. Otherwise they are requested
        when the oldest debt is ``MAX_DEBT_AGE_SECONDS`` old.
        """
        if state.waiting or len(state.debts) > max(1, state.ahead // 2):
            return state.denied_until
        return max(state.denied_until, state.debts[0] + MAX_DEBT_AGE_SECONDS)

    def _make_request(self, wanted: dict[str, int], now: float) -> QuotaAsked:
        self._asked_at = now
        number = self._requests.open(wanted, now)
        asks = tuple(
            TenantAsk(tenant, calls, self._tenants[tenant].take_refused())
            for tenant, calls in wanted.items()
        )
        return QuotaAsked(number, asks, self.life)

    def _set_timer(self, due_at: float, now: float) -> list[Command]:
        overdue_at = self._requests.next_overdue_at()
        if overdue_at is not None:
            due_at = min(due_at, overdue_at)
        if due_at == math.inf or self._timer_at <= due_at:
            return []
        self._timer_at = max(due_at, now + MIN_TIMER_SECONDS)
        return [SetTimer(QUOTA_TIMER, self._timer_at - now)]

    def _drop_if_idle(self, tenant: str, state: RelayTenant, now: float) -> None:
        """Drop the state of a tenant without recent requests that is not denied calls."""
        if not state.demand.expected(AHEAD_SECONDS, now) and state.denied_until <= now:
            del self._tenants[tenant]


class _Answer:
    """The answer to one request of a node, while it is put together."""

    __slots__ = ("grants", "lease")

    def __init__(self) -> None:
        self.grants: list[TenantGrant] = []
        self.lease = math.inf

    def message(self, number: int, max_lease: float) -> QuotaGranted:
        lease = max(0.0, min(self.lease, max_lease))
        milliseconds = math.floor(lease * MILLISECONDS)
        return QuotaGranted(number, tuple(self.grants), milliseconds)
