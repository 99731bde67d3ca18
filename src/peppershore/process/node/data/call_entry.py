"""The way in: what a request is, who may make it, and what goes on to a back end."""

from __future__ import annotations

import math
import time

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import HeaderList, RequestHead
from peppershore.process.settings import NodeSettings
from peppershore.request.audience import (
    REFUSAL_FRESHNESS_SECONDS,
    AudienceCheck,
    Caller,
)
from peppershore.request.caller_rate import CallerRates
from peppershore.request.classification import CallPlan, classify, first_in_line
from peppershore.request.client_retries import UsualDeadlines
from peppershore.request.confirmation import RefusalBound
from peppershore.request.outcome import (
    AUTHORIZATION_HEADER,
    STATUS_TOO_MANY_REQUESTS,
    NotRun,
)
from peppershore.request.picker import RandomSource
from peppershore.request.running_calls import RunningCalls, may_be_child
from peppershore.request.tenants.callers import (
    NO_PARENT,
    NOBODY,
    KeyTerms,
    OnBehalf,
    Parentage,
    TenantCallers,
)
from peppershore.request.vouching import Voucher
from peppershore.request.wire_names import WireNames
from peppershore.version.active import ActiveConfiguration

MILLISECONDS = 1_000


class Freshness:
    """How long ago the configuration in use was confirmed; the shell keeps it so."""

    def __init__(self) -> None:
        """A node without control plane, as in tests, counts as confirmed."""
        self._confirmed_at = math.inf

    def confirmed(self, at: float) -> None:
        """A quorum confirmed the configuration at this monotonic time."""
        self._confirmed_at = at

    def age_seconds(self, now: float) -> float:
        """Give the seconds since the newest confirmation."""
        return now - self._confirmed_at


class EntryPlan(msgspec.Struct, frozen=True):
    """What a call is, who calls, and on whose behalf."""

    plan: CallPlan
    caller: Caller
    whose: OnBehalf = NOBODY

    @property
    def caller_name(self) -> str:
        """Who calls: a token's subject or a tenant; empty for the public."""
        return self.caller.name or self.whose.tenant


class CallEntry:
    """Judges requests by the configuration; remembers tokens and callers' rates."""

    def __init__(
        self,
        settings: NodeSettings,
        freshness: Freshness,
        random: RandomSource,
        names: WireNames,
    ) -> None:
        """``settings`` name the back end that this node vouches for.

        ``freshness`` tells whether the configuration is confirmed.
        """
        self._random = random
        self._names = names
        self._service = settings.service.encode("latin-1")
        self._replaced = frozenset(
            {
                names.deadline,
                names.outcome,
                names.request_id,
                names.caller,
                names.tenant,
                names.expected_instance,
            }
        )
        self._freshness = freshness
        apply_seconds = settings.apply_milliseconds / MILLISECONDS
        self._bound = RefusalBound(min(apply_seconds, REFUSAL_FRESHNESS_SECONDS))
        self._tenants = TenantCallers(
            KeyTerms(
                apply_seconds,
                settings.revocation_milliseconds / MILLISECONDS,
                settings.fail_closed,
            )
        )
        self._backend_host = settings.backend.rpartition(":")[0]
        self._audience = AudienceCheck()
        self._voucher = Voucher(settings.service)
        self._rates = CallerRates()
        self._usual = UsualDeadlines()

    def use_configuration(self, configuration: ActiveConfiguration) -> None:
        """Judge by its tenants; forget what was learned of routes there are no more."""
        self._tenants.keys.use(configuration.tenants)
        self._usual.keep_only(configuration.holds_route)

    def plan(
        self,
        configuration: ActiveConfiguration | None,
        head: RequestHead,
        now: float,
        running: RunningCalls,
    ) -> Result[EntryPlan, NotRun]:
        """Decide what a call is and whether its caller may make it.

        ``running``: what the own back end runs, whose calls go first.
        """
        judged = self._judge(configuration, head, now, running)
        return judged.alt(lambda refusal: self.confirmed(refusal, now))

    def confirmed(self, refusal: NotRun, now: float) -> NotRun:
        """Give a refusal as it may be said by a configuration of this age."""
        return self._bound.judged(refusal, self._freshness.age_seconds(now))

    def _judge(
        self,
        configuration: ActiveConfiguration | None,
        head: RequestHead,
        now: float,
        running: RunningCalls,
    ) -> Result[EntryPlan, NotRun]:
        classified = classify(configuration, head, now, self._random, self._names)
        if isinstance(classified, Failure) or configuration is None:
            return classified.map(lambda plan: EntryPlan(plan, Caller("")))
        plan = self._noting_client_retry(classified.unwrap())
        parentage = self._parentage(head, running)
        age = self._freshness.age_seconds(now)
        judged = self._tenants.judge(plan.settings, head.headers, parentage, age)
        if isinstance(judged, Failure):
            return Failure(judged.failure())
        whose = judged.unwrap()
        plan = self._on_behalf(plan, whose)
        if parentage.tenant is not None:
            plan = first_in_line(plan, now)
        checked = self._check_audience(plan, configuration, head, now)
        if isinstance(checked, Failure):
            return Failure(checked.failure())
        caller = checked.unwrap()
        rate = plan.settings.caller_rate_per_second
        name = caller.name or head.peer_address
        wait = self._rates.wait_seconds(f"{plan.service}/{plan.route}", name, rate, now)
        if wait > 0.0:
            advice = max(1, int(wait * MILLISECONDS))
            return Failure(NotRun(STATUS_TOO_MANY_REQUESTS, "caller-rate", advice))
        return Success(EntryPlan(plan, caller, whose))

    @property
    def asks_for_keys(self) -> bool:
        """Whether there are tenants, whose calls come with a key."""
        return self._tenants.keys.in_force

    def refusal_of_key(self, whose: OnBehalf, now: float) -> NotRun | None:
        """Give why a call that waited may not go on with its key, if it may not."""
        refusal = self._tenants.refusal(whose, self._freshness.age_seconds(now))
        return None if refusal is None else self.confirmed(refusal, now)

    def start_by(self, plan: CallPlan, whose: OnBehalf, now: float) -> float:
        """Give until when a call may wait at a node that does not know its key."""
        wait = self._tenants.longest_wait(whose, self._freshness.age_seconds(now))
        return min(plan.start_by, now + wait)

    def forwarded_trailers(self, trailers: HeaderList) -> HeaderList:
        """Give the trailer fields for the back end: nothing that a head may not say."""
        unwanted = {self._names.tenant}
        if self._tenants.keys.in_force:
            unwanted.add(AUTHORIZATION_HEADER)
        return [field for field in trailers if field[0] not in unwanted]

    def forwarded_headers(
        self,
        configuration: ActiveConfiguration | None,
        head: RequestHead,
        request_id: bytes,
        plan: CallPlan,
    ) -> HeaderList:
        """Give the header fields for the back end."""
        headers = [field for field in head.headers if field[0] not in self._replaced]
        headers = self._tenants.without_keys(plan.settings, headers)
        if self._names.tenant and plan.tenant:
            headers.append((self._names.tenant, plan.tenant.encode()))
        headers.append((self._names.request_id, request_id))
        if self._names.caller:
            headers.append((self._names.caller, self._service))
        if self._from_own_backend(head) and not head.header(AUTHORIZATION_HEADER):
            self._vouch(configuration, headers)
        return headers

    def _noting_client_retry(self, plan: CallPlan) -> CallPlan:
        """Tell a call that was refused before by the time it has left."""
        is_client_retry = self._usual.is_client_retry(
            plan.service, plan.route, plan.remaining
        )
        return (
            msgspec.structs.replace(plan, is_client_retry=True) if is_client_retry else plan
        )

    def _check_audience(
        self,
        plan: CallPlan,
        configuration: ActiveConfiguration,
        head: RequestHead,
        now: float,
    ) -> Result[Caller, NotRun]:
        authorization = head.header(AUTHORIZATION_HEADER)
        if not authorization and self._from_own_backend(head):
            authorization = self._voucher.authorization(configuration, time.time())
        return self._audience.check(
            plan.settings,
            configuration.secrets,
            authorization,
            time.time(),
            is_confirmed=self._bound.allows(self._freshness.age_seconds(now)),
        )

    def _vouch(
        self, configuration: ActiveConfiguration | None, headers: HeaderList
    ) -> None:
        if configuration is not None:
            token = self._voucher.authorization(configuration, time.time())
            if token:
                headers.append((AUTHORIZATION_HEADER, token))

    def _on_behalf(self, plan: CallPlan, whose: OnBehalf) -> CallPlan:
        """Give the plan of a call that is made on behalf of a tenant.

        Where there are tenants, each call goes through the back end's own node: it must
        know on whose behalf the back end then calls on.
        """
        if not self._tenants.keys.in_force:
            return plan
        return msgspec.structs.replace(
            plan,
            tenant=whose.tenant,
            is_counted=bool(whose.digest),
            priority=plan.priority if whose.priority is None else whose.priority,
            hop="owner",
        )

    def _parentage(self, head: RequestHead, running: RunningCalls) -> Parentage:
        """Callers beside the back end share its address: the id tells them apart.

        So does a key, where there are tenants: a back end shows none.
        """
        if not self._from_own_backend(head):
            return NO_PARENT
        if self._tenants.keys.in_force and head.header(AUTHORIZATION_HEADER):
            return NO_PARENT
        request_id = head.header(self._names.request_id)
        return Parentage(running.tenant_of_parent(request_id), may_be_child(request_id))

    def _from_own_backend(self, head: RequestHead) -> bool:
        return bool(self._backend_host) and head.peer_address == self._backend_host
