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
from peppershore.request.running_calls import RunningCalls
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
    """What a call is, and whose."""

    plan: CallPlan
    caller: Caller


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
                names.expected_instance,
            }
        )
        self._freshness = freshness
        apply_seconds = settings.apply_milliseconds / MILLISECONDS
        self._bound = RefusalBound(min(apply_seconds, REFUSAL_FRESHNESS_SECONDS))
        self._backend_host = settings.backend.rpartition(":")[0]
        self._audience = AudienceCheck()
        self._voucher = Voucher(settings.service)
        self._rates = CallerRates()
        self._usual = UsualDeadlines()

    def use_configuration(self, configuration: ActiveConfiguration) -> None:
        """Forget what was learned of routes that are there no more."""
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
        if self._is_made_for_a_running_call(head, running):
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
        return Success(EntryPlan(plan, caller))

    def forwarded_headers(
        self,
        configuration: ActiveConfiguration | None,
        head: RequestHead,
        request_id: bytes,
    ) -> HeaderList:
        """Give the header fields for the back end."""
        headers = [field for field in head.headers if field[0] not in self._replaced]
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

    def _is_made_for_a_running_call(self, head: RequestHead, running: RunningCalls) -> bool:
        """Callers beside the back end share its address: the id tells them apart."""
        request_id = head.header(self._names.request_id)
        return self._from_own_backend(head) and running.includes_parent_of(request_id)

    def _from_own_backend(self, head: RequestHead) -> bool:
        return bool(self._backend_host) and head.peer_address == self._backend_host
