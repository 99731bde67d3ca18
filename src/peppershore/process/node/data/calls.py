"""All calls of a node: what they share, and the way each attempt goes."""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from peppershore.connection.http_head import HeaderList, RequestHead
from peppershore.connection.messages.calls import OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.commands import Notice
from peppershore.process.node.data import notices
from peppershore.process.node.data.attempt import Attempt, AttemptRequest, AttemptSink
from peppershore.process.node.data.back_end_pools import BackEndPools
from peppershore.process.node.data.call_entry import CallEntry, EntryPlan, Freshness
from peppershore.process.node.data.call_figures import CallFigures
from peppershore.process.node.data.call_log import CallLog
from peppershore.process.node.data.call_story import (
    CallEnd,
    CallStory,
    ChoiceSeen,
    StoryBook,
    failure_end,
)
from peppershore.process.node.data.claim_desk import ClaimDesk
from peppershore.process.node.data.direct_attempt import BackEndTerms, DirectAttempt
from peppershore.process.node.data.link_attempt import LinkAttempt
from peppershore.process.node.data.own_attempt import OwnAttempt
from peppershore.process.node.data.own_backend import OwnBackend
from peppershore.process.node.data.owner_links import OwnerLinks
from peppershore.process.node.data.quarantine_gate import QuarantineGate
from peppershore.process.node.profile import retry_bound, wire_names
from peppershore.process.settings import NodeSettings
from peppershore.request.admission import Admission, Decision, Dispatch, Waiting
from peppershore.request.audience import load_token_library
from peppershore.request.body_transfers import takes_long
from peppershore.request.classification import CallPlan, route_of
from peppershore.request.client_retries import ClientRetryPace
from peppershore.request.endpoint_state import EndpointState, Verdict
from peppershore.request.fingerprint import Fingerprint
from peppershore.request.outcome import (
    FIRST_SERVER_ERROR,
    LOAD_REASONS,
    STATUS_UNAVAILABLE,
    Failed,
    NotRun,
)
from peppershore.request.picker import RandomSource
from peppershore.request.retry_budget import RetryBudget, retry_delay
from peppershore.request.running_calls import RunningCalls
from peppershore.request.shared_retries import RetryBound, SharedRetryBudget
from peppershore.request.waiting import Ticket
from peppershore.version.active import ActiveConfiguration

if TYPE_CHECKING:
    from peppershore.process.node.data.call import Call

KICK_SECONDS = 0.02
OWNER_LIMIT_FACTOR = 2
"""Calls this node sends to one owner at a time, as a multiple of its slots: the
owner counts the slots, this bounds what may wait there."""

MILLISECONDS = 1_000
STOP_MARGIN_SECONDS = 0.2
"""A call's deadline comes so long before the end of a planned stop."""

NEVER_CONFIRMED = -1
"""Shown for the age of a configuration that was never confirmed."""

NOTHING_RUNS = RunningCalls()
"""What runs beside a node without a back end."""


class CallCounts(msgspec.Struct):
    """Ends of calls since the start."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    abandoned: int = 0
    retries: int = 0


class Calls:
    """What the calls of one node share: configuration, limits, pools, budgets."""

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
        self.configuration: ActiveConfiguration | None = None
        self.claims = ClaimDesk()
        self.own: OwnBackend | None = None
        self.counts = CallCounts()
        self.figures = CallFigures()
        self._settings = settings
        self._notice_sink = notice_sink
        self.log = CallLog(notice_sink, settings.log_answered_every)
        self._random = random
        self._links = links
        self.names = wire_names(settings.headers)
        self.freshness = Freshness()
        self._entry = CallEntry(settings, self.freshness, random, self.names)
        self._terms = BackEndTerms(self.names)
        self._admissions: dict[str, Admission] = {}
        self._budgets: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)
        self._shared_budgets: dict[str, SharedRetryBudget] = {}
        self._retry_paces: defaultdict[str, ClientRetryPace] = defaultdict(ClientRetryPace)
        self._endpoints: dict[str, tuple[Endpoint, ...]] = {}
        self._nodes: frozenset[str] = frozenset()
        self._nodes_behind: dict[str, list[str]] = {}
        self._bound = retry_bound(settings.shared_retries)
        self._pools = BackEndPools()
        links.on_allowance = self._pools.limit_borrowed
        links.on_load = self._load_heard
        self._end = math.inf
        self._any_call_until = math.inf
        self._waiting: dict[int, Call] = {}
        self._live: set[Call] = set()
        self._ticket_numbers = itertools.count(1)
        self._id_prefix = secrets.token_hex(6).encode()
        self._id_numbers = itertools.count(1)
        self._kick: asyncio.TimerHandle | None = None

    @property
    def forwards_unclaimed_keys(self) -> bool:
        """Whether calls with an idempotency key go on without a claim."""
        return self.claims.client is None and self._settings.forward_unclaimed_keys

    @property
    def looks_for_free_slots(self) -> bool:
        """Whether a call first asks each owner for a free slot before it waits for one."""
        return self._settings.seek_free_slots

    def body_is_costly(self, length: int | None, fingerprint: Fingerprint) -> bool:
        """Whether a body should be sent only where the call is taken.

        One that is suspected to end back ends goes along with its head: only the whole
        request tells its owner to run it alone.
        """
        if not takes_long(length, self._settings.link_megabits):
            return False
        return not self.quarantine.concerns(fingerprint)

    def waits_at_once(self, plan: CallPlan) -> bool:
        """Whether to ask for a free slot first is in vain, by what asks came to."""
        admission = self._admission(plan.target)
        if admission is None or not self.looks_for_free_slots:
            return False
        now = self.loop.time()
        return admission.seeking.is_in_vain(now) or admission.all_shed(now, plan.lane)

    def asked_for_slot(self, plan: CallPlan, was_granted: bool) -> None:
        """A call that may not wait asked a back end's own node for a free slot."""
        admission = self._admission(plan.target)
        if admission is None:
            return
        if was_granted:
            admission.seeking.granted()
        else:
            admission.seeking.refused(self.loop.time())

    @property
    def in_flight(self) -> int:
        """Calls not over."""
        return len(self._live)

    @property
    def waiting(self) -> int:
        """Calls in this node's queues."""
        return len(self._waiting)

    # --- configuration and endpoints

    def use_configuration(self, active: ActiveConfiguration) -> None:
        """Decide new calls by this configuration."""
        self.configuration = active
        self._entry.use_configuration(active)
        if active.secrets:
            load_token_library()
        for service, admission in self._admissions.items():
            if service in active.services:
                admission.use_settings(active.services[service])
        self._start_all_waiting()

    def use_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Replace the live endpoints."""
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            grouped.setdefault(endpoint.service, []).append(endpoint)
        self._endpoints = {name: tuple(found) for name, found in grouped.items()}
        self._nodes = frozenset(each.node for each in endpoints)
        self._nodes_behind = {}
        for endpoint in endpoints:
            behind = self._nodes_behind.setdefault(endpoint.owner_address, [])
            behind.append(endpoint.node)
        now = self.loop.time()
        for service, admission in self._admissions.items():
            self._feed(admission, service, now)
        self._pools.keep_only(endpoints)
        self._links.keep_only(frozenset(endpoint.owner_address for endpoint in endpoints))
        self._start_all_waiting()

    def tick(self, now: float) -> None:
        """Do what is due every second or so."""
        self._pools.trim(now)
        self._links.renew(now)
        self.quarantine.tick(now)

    def close(self) -> None:
        """Cut what is left."""
        for call in list(self._live):
            call.caller_gone()
        self._pools.close()
        if self._kick is not None:
            self._kick.cancel()
        self.claims.close()

    # --- used by a call

    def begun(self, call: Call) -> None:
        """A call came in."""
        self._live.add(call)

    def over(self, call: Call) -> None:
        """A call is over."""
        self._live.discard(call)

    def new_request_id(self) -> bytes:
        """Give an id for a request that has none."""
        return self._id_prefix + b"-%x" % next(self._id_numbers)

    def new_attempt_name(self) -> str:
        """Give a name that no other claim of any process has."""
        return self.new_request_id().decode("ascii")

    def plan(self, head: RequestHead) -> Result[EntryPlan, NotRun]:
        """Decide what a call is and whether its caller may make it."""
        running = NOTHING_RUNS if self.own is None else self.own.running
        now = self.loop.time()
        planned = self._entry.plan(self.configuration, head, now, running)
        return planned.bind(lambda entry: self._in_time(entry, now)).map(self._drawn)

    def as_confirmed(self, refusal: NotRun) -> NotRun:
        """Give a refusal as the configuration's age allows it."""
        return self._entry.confirmed(refusal, self.loop.time())

    def _drawn(self, entry: EntryPlan) -> EntryPlan:
        """Draw the version of the target's software, where one is rolled out."""
        admission = self._admission(entry.plan.target)
        lane = "any" if admission is None else admission.draw_lane()
        if lane == "any":
            return entry
        plan = msgspec.structs.replace(entry.plan, lane=lane)
        return msgspec.structs.replace(entry, plan=plan)

    def end_at(self, end: float, any_call_until: float) -> None:
        """This node stops: from ``any_call_until`` on take only what is over by ``end``.

        Both in monotonic seconds.  A call that is answered at its deadline at the latest
        is never cut by the stop.
        """
        self._end = end - STOP_MARGIN_SECONDS
        self._any_call_until = any_call_until

    def _in_time(self, entry: EntryPlan, now: float) -> Result[EntryPlan, NotRun]:
        """Refuse a call that the planned stop of this node might cut."""
        if now < self._any_call_until or entry.plan.deadline <= self._end:
            return Success(entry)
        return Failure(NotRun(STATUS_UNAVAILABLE, "node-stopping", MILLISECONDS))

    def may_be_repeated(self, head: RequestHead) -> bool:
        """Tell by the route of a request whether it may run more than once."""
        active = self.configuration
        route = None if active is None else route_of(active, head)
        return route is not None and route.settings.repeatable

    def forwarded_headers(self, head: RequestHead, request_id: bytes) -> HeaderList:
        """Give the header fields for the back end."""
        return self._entry.forwarded_headers(self.configuration, head, request_id)

    def ticket(
        self, plan: CallPlan, excluded: frozenset[str], tries_another_zone: bool = False
    ) -> Ticket:
        """Give a place in line; a large body asks another zone only if it has to."""
        number = next(self._ticket_numbers)
        return Ticket(
            number,
            plan.call_class,
            plan.deadline,
            excluded,
            priority=plan.priority,
            start_by=plan.start_by,
            is_client_retry=plan.is_client_retry,
            route=plan.route,
            crossing_seconds=plan.crossing_seconds,
            prefers_far=tries_another_zone and not plan.settings.streamed_bodies,
            lane=plan.lane,
        )

    def offer(self, ticket: Ticket, plan: CallPlan, call: Call) -> Decision:
        """Ask for a slot; a call that waits hears ``dispatched`` or ``refused``."""
        admission = self._admission(plan.target)
        if admission is None:
            return NotRun(STATUS_UNAVAILABLE, "service-not-held", MILLISECONDS)
        now = self.loop.time()
        self._note_own_load(admission, plan, now)
        decision = admission.offer(ticket, now)
        if isinstance(decision, Waiting):
            self._waiting[ticket.number] = call
            if decision.evicted is not None:
                evicted = self._waiting.pop(decision.evicted.number)
                evicted.refused(admission.refusal_of_evicted(decision.evicted, now))
            self._kick_later()
        return decision

    def withdraw(self, ticket: Ticket, plan: CallPlan) -> None:
        """A waiting call was given up."""
        if self._waiting.pop(ticket.number, None) is not None:
            self._admissions[plan.target].withdraw(ticket)

    def slot_freed(
        self, dispatch: Dispatch, plan: CallPlan, latency: float, verdict: Verdict | None
    ) -> None:
        """An attempt ended: learn from it and start who waits."""
        admission = self._admissions[plan.target]
        ejected = admission.finished(dispatch, latency, verdict, self.loop.time())
        if ejected is not None:
            node = dispatch.endpoint.node
            self._notice_sink(notices.BackendEjected(plan.target, node, ejected))
        self._start_waiting(admission)

    def new_attempt(
        self, dispatch: Dispatch, plan: CallPlan, request: AttemptRequest, sink: AttemptSink
    ) -> Attempt:
        """Choose the way: own back end, direct under a loan, or through the owner."""
        endpoint = dispatch.endpoint
        if self.own is not None and endpoint.node == self._settings.node:
            return OwnAttempt(self.own, request, sink)
        if not endpoint.owner_address:
            pool = self._pools.pool(endpoint)
            return DirectAttempt(pool, request, sink, terms=self._terms)
        if plan.hop == "direct":
            address = endpoint.owner_address
            if self._links.borrow(address, self.loop.time()):
                pool = self._pools.borrowed(endpoint, self._links.allowance(address))
                return DirectAttempt(
                    pool,
                    request,
                    sink,
                    lambda: self._links.give_back(address),
                    self._terms,
                )
        return LinkAttempt(self._links, endpoint.owner_address, request, sink)

    def has_back_end_besides(
        self, plan: CallPlan, nodes: frozenset[str], for_free_slot: bool = False
    ) -> bool:
        """Whether a call can go now to a back end that is none of these nodes'.

        ``for_free_slot``: only one counts that may have a slot free now.
        """
        admission = self._admission(plan.target)
        return admission is not None and admission.has_besides(
            nodes, self.loop.time(), for_free_slot, plan.lane
        )

    def retry_delay(
        self, plan: CallPlan, offers: int, now: float, costs_budget: bool
    ) -> float | None:
        """Give the wait before another attempt, or None if there must be none.

        What no back end saw may be tried elsewhere at once.
        """
        delay = retry_delay(offers, self._random) if costs_budget else 0.0
        if now + delay >= plan.deadline:
            return None
        if costs_budget and not self._spend(plan, now):
            self._notice_sink(notices.RetryBudgetSpent(plan.target))
            return None
        self.counts.retries += 1
        return delay

    def first_attempt(self, plan: CallPlan) -> None:
        """Let a call's first attempt earn its share of a retry."""
        if self._bound is None:
            self._budgets[plan.target].earn(plan.settings.retry_budget_percent)
        else:
            self._shared_budget(plan.target, self._bound).called(self.loop.time())

    def with_paced_retry_after(self, plan: CallPlan, refusal: NotRun) -> NotRun:
        """Give a call refused twice for want of slots its place among the retries."""
        if not plan.is_client_retry or refusal.reason not in LOAD_REASONS:
            return refusal
        wait = refusal.retry_after_milliseconds / MILLISECONDS
        seconds = self._retry_paces[plan.target].book(wait, self.loop.time())
        advice = math.ceil(seconds * MILLISECONDS)
        return msgspec.structs.replace(refusal, retry_after_milliseconds=advice)

    def answered(
        self, plan: CallPlan, status: int, request_id: bytes, story: StoryBook
    ) -> None:
        """Count an answered call; each so-many-th has its line, each failure its own."""
        self.counts.answered += 1
        now = self.loop.time()
        self._retry_paces[plan.target].answered(now)
        self.figures.ended(plan, "answered", "", now - story.began_at)
        if status >= FIRST_SERVER_ERROR or self.log.takes_answered(request_id):
            end = CallEnd("answered", "", status)
            self._tell(plan, end, request_id, story)

    def failed(
        self, plan: CallPlan | None, failed: Failed, request_id: bytes, story: StoryBook
    ) -> None:
        """Count a call that got no answer, and write its line."""
        end = failure_end(failed)
        if isinstance(failed, NotRun):
            self.counts.not_run += 1
        else:
            self.counts.unknown += 1
        seconds = self.loop.time() - story.began_at
        self.figures.ended(plan, end.outcome, end.reason, seconds)
        self._tell(plan, end, request_id, story)

    def abandoned(self, plan: CallPlan | None, request_id: bytes, story: StoryBook) -> None:
        """Count a call whose caller left, and write its line."""
        self.counts.abandoned += 1
        self.figures.ended(plan, "abandoned", "", self.loop.time() - story.began_at)
        end = CallEnd("abandoned", "caller-left", 0)
        self._tell(plan, end, request_id, story)

    def state_of(self, service: str, node: str) -> EndpointState | None:
        """Give what this node has seen of one back end; None if nothing."""
        admission = self._admissions.get(service)
        return None if admission is None else admission.state(node)

    def choice_seen(self, dispatch: Dispatch, plan: CallPlan, may_wait: bool) -> ChoiceSeen:
        """Give what the choice of a back end went by."""
        now = self.loop.time()
        state = self.state_of(plan.target, dispatch.endpoint.node)
        if state is None:
            return ChoiceSeen(0, 0, 0, may_wait)
        return ChoiceSeen(
            in_flight=state.in_flight,
            load=state.others,
            load_age_milliseconds=state.load_age_milliseconds(now),
            may_wait=may_wait,
        )

    # --- inside

    def _tell(
        self,
        plan: CallPlan | None,
        end: CallEnd,
        request_id: bytes,
        story: StoryBook,
    ) -> None:
        now = self.loop.time()
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
                milliseconds=story.milliseconds(now),
                steps=story.steps,
                fingerprint=story.fingerprint.name,
            )
        )

    def _admission(self, service: str) -> Admission | None:
        admission = self._admissions.get(service)
        if admission is not None:
            return admission
        configuration = self.configuration
        if configuration is None or service not in configuration.services:
            return None
        settings = configuration.services[service]
        admission = Admission(
            service,
            settings,
            self._settings.zone,
            self._random,
            home=self._settings.node,
        )
        self._admissions[service] = admission
        self._feed(admission, service, self.loop.time())
        return admission

    def _feed(self, admission: Admission, service: str, now: float) -> None:
        """Give an admission its endpoints, with this node's limit for each."""
        endpoints = self._endpoints.get(service, ())
        limited = [
            msgspec.structs.replace(endpoint, slots=endpoint.slots * OWNER_LIMIT_FACTOR)
            if endpoint.owner_address
            else endpoint
            for endpoint in endpoints
        ]
        admission.use_endpoints(tuple(limited), now)

    def _load_heard(self, address: str, load: OwnerLoad, route: str) -> None:
        now = self.loop.time()
        for node in self._nodes_behind.get(address, ()):
            for admission in self._admissions.values():
                admission.note_load(node, load, route, now)

    def _note_own_load(self, admission: Admission, plan: CallPlan, now: float) -> None:
        """Compare the own back end with others by what its node would tell them."""
        if self.own is not None and plan.target == self.own.service:
            load = self.own.load(plan.route)
            admission.note_load(self._settings.node, load, plan.route, now)

    def _spend(self, plan: CallPlan, now: float) -> bool:
        if self._bound is None:
            return self._budgets[plan.target].spend()
        return self._shared_budget(plan.target, self._bound).spend(len(self._nodes), now)

    def _shared_budget(self, service: str, bound: RetryBound) -> SharedRetryBudget:
        budget = self._shared_budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(bound)
            self._shared_budgets[service] = budget
        return budget

    def _start_all_waiting(self) -> None:
        for admission in list(self._admissions.values()):
            self._start_waiting(admission)

    def _start_waiting(self, admission: Admission) -> None:
        if not admission.waiting:
            return
        now = self.loop.time()
        for ticket in admission.hopeless(now):
            self._waiting.pop(ticket.number).refused(
                admission.refusal_of_hopeless(ticket, now)
            )
        for ticket in admission.impatient(now):
            self._waiting.pop(ticket.number).refused(
                admission.refusal_of_impatient(ticket, now)
            )
        for dispatch in admission.ready(self.loop.time()):
            call = self._waiting.pop(dispatch.ticket.number, None)
            if call is not None:
                call.dispatched(dispatch)
            else:
                admission.finished(dispatch, 0.0, None, self.loop.time())
        self._kick_later()

    def _kick_later(self) -> None:
        """Look again soon: ramps and ejections end without an event."""
        if self._kick is None and self._waiting:
            self._kick = self.loop.call_later(KICK_SECONDS, self._kicked)

    def _kicked(self) -> None:
        self._kick = None
        self._start_all_waiting()
