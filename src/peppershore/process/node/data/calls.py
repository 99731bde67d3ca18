"""State shared by all calls of one node, and the transport of each attempt."""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import AnswerHead, HeaderList, RequestHead
from peppershore.connection.messages.calls import BackEndNeed, calls_per_1000_seconds
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.commands import Notice
from peppershore.process.node.data.attempt import Attempt, AttemptRequest, AttemptSink
from peppershore.process.node.data.back_end_pools import BackEndPools
from peppershore.process.node.data.call_entry import CallEntry, EntryPlan, Freshness
from peppershore.process.node.data.call_log import CallLog
from peppershore.process.node.data.call_metrics import CallMetrics
from peppershore.process.node.data.call_retries import CallRetries
from peppershore.process.node.data.call_story import (
    CallEnd,
    CallRecorder,
    CallStory,
    failure_end,
)
from peppershore.process.node.data.claim_requests import ClaimRequests
from peppershore.process.node.data.direct_attempt import BackEndTerms, DirectAttempt
from peppershore.process.node.data.large_answers import LargeAnswers
from peppershore.process.node.data.link_attempt import LinkAttempt
from peppershore.process.node.data.local_attempt import LocalAttempt
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.process.node.data.owner_links import OwnerLinks
from peppershore.process.node.data.paced_answer import LargeTerms, PacedAnswer
from peppershore.process.node.data.quarantine_gate import QuarantineGate
from peppershore.process.node.data.quota_gate import QuotaGate
from peppershore.process.node.data.refusal_lines import RefusalLines
from peppershore.process.node.data.service_admissions import ServiceAdmissions
from peppershore.process.node.profile import retry_bound, wire_names
from peppershore.process.settings import NodeSettings
from peppershore.request.admission import Dispatch
from peppershore.request.audience import load_token_library
from peppershore.request.back_ends.reported_need import read_need
from peppershore.request.body_transfers import takes_long
from peppershore.request.classification import CallPlan, route_of
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import (
    FIRST_SERVER_ERROR,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
    is_final,
)
from peppershore.request.picker import RandomSource
from peppershore.request.running_calls import RunningCalls
from peppershore.request.tenants.callers import OnBehalf
from peppershore.request.tenants.weights import ConfiguredWeights
from peppershore.version.active import ActiveConfiguration

MILLISECONDS = 1_000
STOP_MARGIN_SECONDS = 0.2
"""While a node stops, a call is accepted only if its deadline is at least this long before
the end of the planned stop."""

NEVER_CONFIRMED = -1
"""Logged as the age of a configuration that no quorum has confirmed yet."""

NO_RUNNING_CALLS = RunningCalls()
"""Running calls of a node that has no local back end."""


class LiveCall(Protocol):
    """A call in progress."""

    def caller_gone(self) -> None:
        """Abort the call because its caller disconnected."""

    def configuration_changed(self) -> None:
        """Fail the call if it still waits and its tenant's key is no longer accepted."""


class CallCounts(msgspec.Struct):
    """Number of ended calls since the start of the process, by outcome."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    abandoned: int = 0


class Calls:
    """Configuration, limits, connection pools, retry budgets and counters of calls."""

    def __init__(
        self,
        settings: NodeSettings,
        notice_sink: Callable[[Notice], None],
        random: RandomSource,
        links: OwnerLinks,
    ) -> None:
        """Start without configuration and without endpoints."""
        self.loop = asyncio.get_running_loop()
        self.quarantine = QuarantineGate(self.loop.time)
        self.quotas = QuotaGate(settings.quotas, self.loop, random, notice_sink)
        self.configuration: ActiveConfiguration | None = None
        self.claims = ClaimRequests()
        self.own: LocalBackEnd | None = None
        self.large_answers: LargeAnswers | None = None
        if settings.link_megabits > 0.0:
            self.large_answers = LargeAnswers(settings.link_megabits)
        self.counts = CallCounts()
        self.figures = CallMetrics()
        self._settings = settings
        self.log = CallLog(notice_sink, settings.log_answered_every)
        self._refusal_lines = RefusalLines()
        self._links = links
        self.names = wire_names(settings.headers)
        self.freshness = Freshness()
        self._entry = CallEntry(settings, self.freshness, random, self.names)
        self._terms = BackEndTerms(self.names)
        self.weights = ConfiguredWeights()
        self.admissions = ServiceAdmissions(settings, notice_sink, random, self.weights)
        bound = retry_bound(settings.shared_retries)
        self.retries = CallRetries(bound, notice_sink, random, self.loop.time())
        self._pools = BackEndPools()
        links.on_allowance = self._pools.limit_borrowed
        links.on_load = self.admissions.load_reported
        self._stop_at = math.inf
        self._any_call_until = math.inf
        self._live: set[LiveCall] = set()
        self._id_prefix = secrets.token_hex(6).encode()
        self._id_numbers = itertools.count(1)

    @property
    def forwards_unclaimed_keys(self) -> bool:
        """Whether calls with an idempotency key are forwarded without a claim.

        They are if the node has no claims client and the settings allow it.
        """
        return self.claims.client is None and self._settings.forward_unclaimed_keys

    def body_is_costly(self, length: int | None, fingerprint: Fingerprint) -> bool:
        """Return whether a body should be sent only after the owner has accepted the call.

        That is the case if it takes a long time to send on this node's network link. The
        body of a request that is suspected of crashing back ends is always sent with the
        head: the owner needs the complete request to recognise it and run it alone.
        """
        if not takes_long(length, self._settings.link_megabits):
            return False
        return not self.quarantine.concerns(fingerprint)

    @property
    def in_flight(self) -> int:
        """Number of calls in progress."""
        return len(self._live)

    def use_own_back_end(self, own: LocalBackEnd | None) -> None:
        """Set the local back end; ``None`` if this node has none."""
        self.own = own
        self.admissions.own = own

    # --- configuration and endpoints

    def use_configuration(self, active: ActiveConfiguration) -> None:
        """Apply a configuration to new calls; recheck the tenant keys of waiting calls."""
        self.configuration = active
        self._entry.use_configuration(active)
        self.weights.use(active.tenants)
        for call in list(self._live):
            call.configuration_changed()
        if active.secrets:
            load_token_library()
        self.admissions.use_services(active.services)
        self.quotas.use_configuration(active)

    def use_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Replace the live endpoints; drop the connections and links to all others."""
        self.retries.use_nodes(len({each.node for each in endpoints}), self.loop.time())
        if self.own is not None:
            self.own.repeats.use_endpoints(endpoints, self.loop.time())
        self._pools.keep_only(endpoints)
        self._links.keep_only(frozenset(endpoint.owner_address for endpoint in endpoints))
        self.admissions.use_endpoints(endpoints)

    def tick(self, now: float) -> None:
        """Run periodic maintenance, about once per second."""
        self._pools.trim(now)
        self._links.renew(now)
        self.quarantine.tick(now)

    def close(self) -> None:
        """Abort all calls in progress; close connections, cancel timers and claims."""
        for call in list(self._live):
            call.caller_gone()
        self._pools.close()
        self.quotas.close()
        self.admissions.close()
        if self.large_answers is not None:
            self.large_answers.close()
        self.claims.close()

    # --- for the calls in progress

    def add_call(self, call: LiveCall) -> None:
        """Register a new call."""
        self._live.add(call)

    def remove_call(self, call: LiveCall) -> None:
        """Remove a call that has ended."""
        self._live.discard(call)

    def new_request_id(self) -> bytes:
        """Return a unique id for a request that came without one."""
        return self._id_prefix + b"-%x" % next(self._id_numbers)

    def new_attempt_name(self) -> str:
        """Return a name for a claim attempt, unique among all processes."""
        return self.new_request_id().decode("ascii")

    def plan(self, head: RequestHead) -> Result[EntryPlan, NotRun]:
        """Classify and authorize a request; return its plan or the refusal.

        Also refuse a call that a planned stop might cut, and choose the version group.
        """
        running = NO_RUNNING_CALLS if self.own is None else self.own.running
        now = self.loop.time()
        planned = self._entry.plan(self.configuration, head, now, running)
        return planned.bind(lambda entry: self._check_planned_stop(entry, now)).map(
            self._with_version_group
        )

    def checked_refusal(self, refusal: NotRun) -> NotRun:
        """Return the refusal, or a temporary one if the configuration is too old.

        A refusal that callers take as final needs a recently confirmed configuration.
        """
        return self._entry.confirmed(refusal, self.loop.time())

    def refusal_of_key(self, whose: OnBehalf) -> NotRun | None:
        """Return a refusal if a call's tenant key is no longer accepted, else None.

        Used for calls that waited: the tenants may have changed meanwhile, or the
        configuration may have become too old to accept keys.
        """
        return self._entry.refusal_of_key(whose, self.loop.time())

    def start_by(self, plan: CallPlan, whose: OnBehalf) -> float:
        """Return until when a call may wait at a node that cannot check its tenant's key.

        The result is in monotonic seconds.
        """
        return self._entry.start_by(plan, whose, self.loop.time())

    def _with_version_group(self, entry: EntryPlan) -> EntryPlan:
        """Choose a version group at random if the target's software is being rolled out."""
        lane = self.admissions.choose_version_group(entry.plan.target)
        if lane == "any":
            return entry
        plan = msgspec.structs.replace(entry.plan, lane=lane)
        return msgspec.structs.replace(entry, plan=plan)

    def end_at(self, end: float, any_call_until: float) -> None:
        """Prepare a planned stop of this node at ``end``.

        From ``any_call_until`` on, only calls whose deadline is at least
        ``STOP_MARGIN_SECONDS`` before ``end`` are accepted, so that the stop never cuts a
        call that is answered by its deadline.
        Both times are in monotonic seconds.
        """
        self._stop_at = end - STOP_MARGIN_SECONDS
        self._any_call_until = any_call_until

    def _check_planned_stop(
        self, entry: EntryPlan, now: float
    ) -> Result[EntryPlan, NotRun]:
        """Refuse a call whose deadline is too late for the planned stop of this node."""
        if now < self._any_call_until or entry.plan.deadline <= self._stop_at:
            return Success(entry)
        return Failure(NotRun(STATUS_UNAVAILABLE, "node-stopping", MILLISECONDS))

    def is_safe_to_retry(self, head: RequestHead) -> bool:
        """Return whether the route of a request allows it to run more than once."""
        active = self.configuration
        route = None if active is None else route_of(active, head)
        return route is not None and route.settings.repeatable

    def forwarded_headers(
        self, head: RequestHead, request_id: bytes, plan: CallPlan
    ) -> HeaderList:
        """Return the header fields to send to the back end."""
        return self._entry.forwarded_headers(self.configuration, head, request_id, plan)

    def forwarded_trailers(self, trailers: HeaderList) -> HeaderList:
        """Return the trailer fields to send to the back end."""
        return self._entry.forwarded_trailers(trailers) if trailers else trailers

    def grants_unowned(self, endpoint: Endpoint, request: AttemptRequest) -> bool:
        """Report whether the retry budget allows a send, as far as this node decides it.

        The node beside a back end decides for that back end. This one decides for those
        that have none.
        """
        if endpoint.owner_address or endpoint.node == self._settings.node:
            return True
        now = self.loop.time()
        return self.retries.grants_unowned(request.service, request.send_kind, now)

    def new_attempt(
        self, dispatch: Dispatch, plan: CallPlan, request: AttemptRequest, sink: AttemptSink
    ) -> Attempt:
        """Create an attempt: to the local back end, directly, or through the owner.

        A back end that has an owner is called directly only if the route allows it and
        this node holds a slot loan; repeats never are, since the owner counts them. A large
        answer is also paced to the capacity of this
        node's network link.
        """
        capacity = self.large_answers
        if capacity is None or not request.answer_is_large:
            return self._transport_attempt(dispatch, plan, request, sink)
        work = self.admissions.reported_work(plan)
        terms = LargeTerms(plan.route, request.due, work, elsewhere=False)
        return PacedAnswer(
            capacity,
            terms,
            sink,
            lambda paced: self._transport_attempt(dispatch, plan, request, paced),
        )

    def _transport_attempt(
        self, dispatch: Dispatch, plan: CallPlan, request: AttemptRequest, sink: AttemptSink
    ) -> Attempt:
        endpoint = dispatch.endpoint
        request = self._with_known_need(endpoint.node, request)
        if self.own is not None and endpoint.node == self._settings.node:
            return LocalAttempt(self.own, request, sink)
        if not endpoint.owner_address:
            pool = self._pools.pool(endpoint)
            return DirectAttempt(
                pool,
                request,
                sink,
                terms=self._terms,
                on_head=lambda head: self._direct_answer(endpoint, "", head),
            )
        may_borrow = request.known_need is None and request.send_kind == "first"
        if plan.hop == "direct" and may_borrow:
            address = endpoint.owner_address
            if self._links.borrow(address, self.loop.time()):
                pool = self._pools.borrowed(endpoint, self._links.allowance(address))
                life = self._links.lent_life(address)
                self._links.call_sent(address)
                return DirectAttempt(
                    pool,
                    request,
                    sink,
                    lambda: self._links.give_back(address),
                    terms=self._terms,
                    on_head=lambda head: self._direct_answer(endpoint, life, head),
                )
        return LinkAttempt(self._links, endpoint.owner_address, request, sink)

    def _with_known_need(self, node: str, request: AttemptRequest) -> AttemptRequest:
        need, left = self.admissions.needs.need(node), self.admissions.needs.left(node)
        if need is None and not left:
            return request
        return msgspec.structs.replace(request, known_need=need, left=left)

    def _direct_answer(self, endpoint: Endpoint, life: str, head: AnswerHead) -> None:
        """Process a need that an answer to a call sent directly reports.

        The owner, if there is one, has not seen the answer, so it is told. ``life`` names
        the incarnation that was called, "" if it is not known.
        """
        reported = read_need(head.headers, self.names)
        if reported.rate_limit is None and not reported.is_leaving:
            return
        need = BackEndNeed(
            life,
            calls_per_1000_seconds=calls_per_1000_seconds(reported.rate_limit),
            is_leaving=reported.is_leaving,
        )
        self.admissions.need_heard(endpoint.node, need)
        if endpoint.owner_address:
            self._links.send_need(endpoint.owner_address, need)

    def answer_window(self, plan: CallPlan) -> int:
        """Return the receive window in bytes for a large answer; 0 for the default."""
        if self.large_answers is None or not plan.settings.large_answers:
            return 0
        return self.large_answers.window_bytes

    def answered(
        self, plan: CallPlan, status: int, request_id: bytes, recorder: CallRecorder
    ) -> None:
        """Count an answered call, and log it if it is a server error or was sampled.

        One of ``log_answered_every`` other answers is logged; none if it is 0.
        """
        self.counts.answered += 1
        if status >= FIRST_SERVER_ERROR:
            self._call_failed(plan, request_id)
        now = self.loop.time()
        self.retries.answered(plan, now)
        self.figures.ended(plan, "answered", "", now - recorder.began_at)
        if status >= FIRST_SERVER_ERROR or self.log.takes_answered(request_id):
            end = CallEnd("answered", "", status)
            self._log_call(plan, end, request_id, recorder)

    def failed(
        self,
        plan: CallPlan | None,
        failed: Failed,
        request_id: bytes,
        recorder: CallRecorder,
    ) -> None:
        """Count and log a call that got no answer."""
        end = failure_end(failed)
        if isinstance(failed, NotRun):
            self.counts.not_run += 1
        else:
            self.counts.unknown += 1
        if is_final(failed):
            self._call_failed(plan, request_id)
        now = self.loop.time()
        self.figures.ended(plan, end.outcome, end.reason, now - recorder.began_at)
        self._log_call(plan, end, request_id, recorder)

    def abandoned(
        self, plan: CallPlan | None, request_id: bytes, recorder: CallRecorder
    ) -> None:
        """Count and log a call whose caller disconnected."""
        self.counts.abandoned += 1
        self.figures.ended(plan, "abandoned", "", self.loop.time() - recorder.began_at)
        end = CallEnd("abandoned", "caller-left", 0)
        self._log_call(plan, end, request_id, recorder)

    # --- internal

    def _call_failed(self, plan: CallPlan | None, request_id: bytes) -> None:
        """Record a failed call of the local back end for the request that it runs."""
        if plan is not None and plan.is_nested and self.own is not None:
            self.own.running.call_failed(request_id)

    def _log_call(
        self,
        plan: CallPlan | None,
        end: CallEnd,
        request_id: bytes,
        recorder: CallRecorder,
    ) -> None:
        now = self.loop.time()
        left_out: int | None = 0
        if plan is None and self._entry.asks_for_keys:
            left_out = self._refusal_lines.take(end.reason, now)
        if left_out is None:
            return
        active = self.configuration
        age = self.freshness.age_seconds(now)
        self.log.write(
            CallStory(
                request_id=request_id.decode("latin-1"),
                service="" if plan is None else plan.service,
                route="" if plan is None else plan.route,
                target="" if plan is None else plan.target,
                version=0 if active is None else active.version,
                configuration_age_milliseconds=(
                    round(age * MILLISECONDS) if math.isfinite(age) else NEVER_CONFIRMED
                ),
                outcome=end.outcome,
                reason=end.reason,
                status=end.status,
                milliseconds=recorder.milliseconds(now),
                steps=recorder.steps,
                fingerprint=recorder.fingerprint.name,
                tenant="" if plan is None else plan.tenant,
                lines_left_out=left_out,
            )
        )
