"""Request entry: classification, authorization and the headers sent to back ends."""

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
from peppershore.request.classification import CallPlan, classify, prioritize_nested
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
from peppershore.request.token_signing import TokenSigner
from peppershore.request.wire_names import WireNames
from peppershore.version.active import ActiveConfiguration

MILLISECONDS = 1_000


class Freshness:
    """When a quorum last confirmed that the configuration in use is the latest."""

    def __init__(self) -> None:
        """Start as confirmed; a node without control plane, as in tests, stays so."""
        self._confirmed_at = math.inf

    def confirmed(self, at: float) -> None:
        """Record that a quorum confirmed the configuration at this monotonic time."""
        self._confirmed_at = at

    def age_seconds(self, now: float) -> float:
        """Return the seconds since the latest confirmation."""
        return now - self._confirmed_at


class EntryPlan(msgspec.Struct, frozen=True):
    """An accepted request: its plan, its caller, and the tenant it is made for."""

    plan: CallPlan
    caller: Caller
    whose: OnBehalf = NOBODY

    @property
    def caller_name(self) -> str:
        """Subject of the caller's token, else its tenant; empty for the public."""
        return self.caller.name or self.whose.tenant


class CallEntry:
    """Checks requests against the configuration; caches tokens and callers' rates."""

    def __init__(
        self,
        settings: NodeSettings,
        freshness: Freshness,
        random: RandomSource,
        names: WireNames,
    ) -> None:
        """Start without a configuration.

        ``settings`` name the local back end, for whose calls this node signs tokens.
        ``freshness`` tells how long ago the configuration was last confirmed.
        """
        self._random = random
        self._names = names
        self._service = settings.service.encode("latin-1")
        self._replaced_names = frozenset(
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
        self._refusal_bound = RefusalBound(min(apply_seconds, REFUSAL_FRESHNESS_SECONDS))
        self._tenants = TenantCallers(
            KeyTerms(
                apply_seconds,
                settings.revocation_milliseconds / MILLISECONDS,
                settings.fail_closed,
            )
        )
        self._backend_host = settings.backend.rpartition(":")[0]
        self._audience = AudienceCheck()
        self._token_signer = TokenSigner(settings.service)
        self._rates = CallerRates()
        self._usual_deadlines = UsualDeadlines()

    def use_configuration(self, configuration: ActiveConfiguration) -> None:
        """Apply the configuration's tenants; drop the state of routes that it lacks."""
        self._tenants.keys.use(configuration.tenants)
        self._usual_deadlines.keep_only(configuration.holds_route)

    def plan(
        self,
        configuration: ActiveConfiguration | None,
        head: RequestHead,
        now: float,
        running: RunningCalls,
    ) -> Result[EntryPlan, NotRun]:
        """Classify and authorize a request; return its plan or the refusal.

        ``running`` are the calls that the local back end runs now. Calls that the back end
        makes while running one of them take precedence.
        """
        judged = self._judge(configuration, head, now, running)
        return judged.alt(lambda refusal: self.confirmed(refusal, now))

    def confirmed(self, refusal: NotRun, now: float) -> NotRun:
        """Return the refusal, or a temporary one if the configuration is too old.

        A refusal that callers take as final needs a recently confirmed configuration.
        """
        return self._refusal_bound.judged(refusal, self._freshness.age_seconds(now))

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
        plan = self._with_client_retry_mark(classified.unwrap())
        parentage = self._parentage(head, running)
        age = self._freshness.age_seconds(now)
        judged = self._tenants.judge(plan.settings, head.headers, parentage, age)
        if isinstance(judged, Failure):
            return Failure(judged.failure())
        whose = judged.unwrap()
        plan = self._with_tenant(plan, whose)
        if parentage.tenant is not None:
            plan = prioritize_nested(plan, now, is_in_repeat=parentage.is_repeat)
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
        """Whether tenants are configured, so that their calls need a key."""
        return self._tenants.keys.in_force

    def refusal_of_key(self, whose: OnBehalf, now: float) -> NotRun | None:
        """Return a refusal if a call's tenant key is no longer accepted, else None.

        Used for calls that waited: the tenants may have changed meanwhile, or the
        configuration may have become too old to accept keys.
        """
        refusal = self._tenants.refusal(whose, self._freshness.age_seconds(now))
        return None if refusal is None else self.confirmed(refusal, now)

    def start_by(self, plan: CallPlan, whose: OnBehalf, now: float) -> float:
        """Return until when a call may wait at a node that cannot check its tenant's key.

        The result is in monotonic seconds.
        """
        wait = self._tenants.longest_wait(whose, self._freshness.age_seconds(now))
        return min(plan.start_by, now + wait)

    def forwarded_trailers(self, trailers: HeaderList) -> HeaderList:
        """Return the trailer fields for the back end, without tenant or key fields.

        A caller's tenant name or key is not forwarded from the head either.
        """
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
        """Return the header fields to send to the back end."""
        headers = [field for field in head.headers if field[0] not in self._replaced_names]
        headers = self._tenants.without_keys(plan.settings, headers)
        if self._names.tenant and plan.tenant:
            headers.append((self._names.tenant, plan.tenant.encode()))
        headers.append((self._names.request_id, request_id))
        if self._names.caller:
            headers.append((self._names.caller, self._service))
        if self._from_own_backend(head) and not head.header(AUTHORIZATION_HEADER):
            self._add_token(configuration, headers)
        return headers

    def _with_client_retry_mark(self, plan: CallPlan) -> CallPlan:
        """Mark a call as a caller's retry, as seen by the time that the caller left it.

        It is one if that time is shorter than usual for first sends on its route.
        """
        is_client_retry = self._usual_deadlines.is_client_retry(
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
            authorization = self._token_signer.authorization(configuration, time.time())
        return self._audience.check(
            plan.settings,
            configuration.secrets,
            authorization,
            time.time(),
            is_confirmed=self._refusal_bound.allows(self._freshness.age_seconds(now)),
        )

    def _add_token(
        self, configuration: ActiveConfiguration | None, headers: HeaderList
    ) -> None:
        if configuration is not None:
            token = self._token_signer.authorization(configuration, time.time())
            if token:
                headers.append((AUTHORIZATION_HEADER, token))

    def _with_tenant(self, plan: CallPlan, whose: OnBehalf) -> CallPlan:
        """Return the plan with the tenant's name and priority.

        If tenants are configured, every call goes through the owner of its back end: the
        owner must know for which tenant the back end makes further calls.
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
        """Return for which running call the local back end made this request, if for any.

        Callers on the same host share the back end's address, so the parent is found by
        the request id. A request with a key, where tenants are configured, has no parent:
        a back end sends none.
        """
        if not self._from_own_backend(head):
            return NO_PARENT
        if self._tenants.keys.in_force and head.header(AUTHORIZATION_HEADER):
            return NO_PARENT
        request_id = head.header(self._names.request_id)
        return Parentage(
            running.tenant_of_parent(request_id),
            may_be_child(request_id),
            running.parent_is_repeat(request_id),
        )

    def _from_own_backend(self, head: RequestHead) -> bool:
        return bool(self._backend_host) and head.peer_address == self._backend_host
