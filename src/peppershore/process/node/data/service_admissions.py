"""Admission of a node's calls for each target service: which gets a back end, which waits.

Connects the logic of ``request.admission`` to the endpoints, to the loads that owners
report, and to the waiting calls.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

import msgspec

from peppershore.connection.messages.calls import BackEndNeed, OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.commands import Notice
from peppershore.process.node.data import notices
from peppershore.process.node.data.call_story import ChoiceSeen
from peppershore.process.node.data.local_back_end import LocalBackEnd
from peppershore.process.node.profile import need_bounds
from peppershore.process.settings import NodeSettings
from peppershore.request.admission import (
    STATE_LEAVING,
    Admission,
    Decision,
    Dispatch,
    Waiting,
)
from peppershore.request.back_ends.known_needs import UNIDENTIFIED_SECONDS, KnownNeeds
from peppershore.request.classification import CallPlan
from peppershore.request.endpoint_state import AttemptResult, EndpointState
from peppershore.request.outcome import STATUS_UNAVAILABLE, NotRun
from peppershore.request.picker import RandomSource
from peppershore.request.tenants.weights import ConfiguredWeights
from peppershore.request.version_routing import VersionGroup
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

RECHECK_SECONDS = 0.02
OWNER_LIMIT_FACTOR = 2
"""Limit of the calls that this node has at one owner at a time, as a multiple of its slots.
The owner enforces the slots; this limit bounds how many calls may wait there."""

MILLISECONDS = 1_000
UNKNOWN_INCARNATION = -1
TIMER_MARGIN_SECONDS = 0.001


class WaitingCall(Protocol):
    """A call that waits in this node's queue for a back end."""

    def dispatched(self, dispatch: Dispatch) -> None:
        """Proceed with the back end that was chosen."""

    def refused(self, refusal: NotRun) -> None:
        """Process the refusal; the call is no longer in the queue."""


class ServiceAdmissions:
    """Chooses the back end for each call of this node, for every service that it calls."""

    def __init__(
        self,
        settings: NodeSettings,
        notice_sink: Callable[[Notice], None],
        random: RandomSource,
        weights: ConfiguredWeights,
    ) -> None:
        """Start without services and without endpoints.

        ``weights`` holds the tenants' weights of the configuration in use.
        """
        self._weights = weights
        self.own: LocalBackEnd | None = None
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._notice_sink = notice_sink
        self._random = random
        self._services: dict[str, ServiceSettings] = {}
        self._admissions: dict[str, Admission] = {}
        self._endpoints: dict[str, tuple[Endpoint, ...]] = {}
        self._nodes_behind: dict[str, list[str]] = {}
        self._incarnations: dict[str, int] = {}
        self.needs = KnownNeeds()
        self._leaving_seconds = need_bounds(settings).leaving_seconds
        self._leaving_timers: set[asyncio.TimerHandle] = set()
        self._waiting: dict[int, WaitingCall] = {}
        self._ticket_numbers = itertools.count(1)
        self._recheck_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of calls in this node's queues."""
        return len(self._waiting)

    def use_services(self, services: dict[str, ServiceSettings]) -> None:
        """Apply new settings, by service name, to new and waiting calls."""
        self._services = services
        for service, admission in self._admissions.items():
            if service in services:
                admission.use_settings(services[service])
        self._start_all_waiting()

    def use_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Replace the live endpoints of all services."""
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            grouped.setdefault(endpoint.service, []).append(endpoint)
        self._endpoints = {name: tuple(found) for name, found in grouped.items()}
        self._nodes_behind = {}
        self._incarnations = {each.node: each.incarnation for each in endpoints}
        for endpoint in endpoints:
            behind = self._nodes_behind.setdefault(endpoint.owner_address, [])
            behind.append(endpoint.node)
        self._pass_all_endpoints()

    def close(self) -> None:
        """Stop rechecking the queues."""
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
        for timer in self._leaving_timers:
            timer.cancel()

    def choose_version_group(self, service: str) -> VersionGroup:
        """Choose at random which version of the service's software is to serve one call."""
        admission = self._admission(service)
        return "any" if admission is None else admission.choose_version_group()

    @property
    def probes_for_free_slots(self) -> bool:
        """Whether a call probes each owner for a free slot before it waits for one."""
        return self._settings.seek_free_slots

    def max_queued_owners(self, plan: CallPlan) -> int:
        """Return at how many owners a call may wait; one for a call with a large body."""
        if plan.settings.streamed_bodies or not self.probes_for_free_slots:
            return 1
        return self._settings.waits_at_owners

    def waits_at_once(self, plan: CallPlan) -> bool:
        """Return whether a call is to wait in a queue without probing for a free slot.

        True for a while after probes were refused, or if a moment ago every back end was
        out of free slots or refused for load. False if this node does not probe at all.
        """
        admission = self._admission(plan.target)
        if admission is None or not self.probes_for_free_slots:
            return False
        now = self._loop.time()
        return admission.probing.is_suspended(now) or admission.all_refuse_for_load(
            now, plan.lane
        )

    def slot_probed(self, plan: CallPlan, was_granted: bool) -> None:
        """Record whether an owner granted a free slot to a call that may not wait."""
        admission = self._admission(plan.target)
        if admission is None:
            return
        if was_granted:
            admission.probing.granted()
        else:
            admission.probing.refused(self._loop.time())

    def ticket(
        self, plan: CallPlan, excluded: frozenset[str], tries_another_zone: bool = False
    ) -> Ticket:
        """Return a ticket for the queue.

        ``tries_another_zone`` prefers other zones, but not for a call with a large body,
        which goes to another zone only if it must.
        """
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
            tenant=plan.tenant,
            answer_is_large=plan.settings.large_answers,
            due=plan.due,
        )

    def offer(self, ticket: Ticket, plan: CallPlan, call: WaitingCall) -> Decision:
        """Request a slot for ``call``.

        If it is queued, its method ``dispatched`` or ``refused`` is called later.
        """
        admission = self._admission(plan.target)
        if admission is None:
            return NotRun(STATUS_UNAVAILABLE, "service-not-held", MILLISECONDS)
        now = self._loop.time()
        self._note_local_load(admission, plan, now)
        decision = admission.offer(ticket, now)
        if isinstance(decision, Waiting):
            self._waiting[ticket.number] = call
            if decision.evicted is not None:
                evicted = self._waiting.pop(decision.evicted.number)
                evicted.refused(admission.refusal_of_evicted(decision.evicted, now))
            self._schedule_recheck()
        return decision

    def withdraw(self, ticket: Ticket, plan: CallPlan) -> None:
        """Remove a call that was given up from the queue."""
        if self._waiting.pop(ticket.number, None) is not None:
            self._admissions[plan.target].withdraw(ticket)

    def slot_freed(
        self,
        dispatch: Dispatch,
        plan: CallPlan,
        latency: float,
        result: AttemptResult | None,
    ) -> None:
        """Record the result of an attempt that ended, and start waiting calls."""
        admission = self._admissions[plan.target]
        ejected = admission.finished(dispatch, latency, result, self._loop.time())
        if ejected is not None:
            node = dispatch.endpoint.node
            self._notice_sink(notices.BackendEjected(plan.target, node, ejected))
        self._start_waiting(admission)

    def has_back_end_besides(
        self, plan: CallPlan, nodes: frozenset[str], for_free_slot: bool = False
    ) -> bool:
        """Return whether a call can be sent now to a back end of a node not in ``nodes``.

        With ``for_free_slot`` only a back end that may have a free slot now counts.
        """
        admission = self._admission(plan.target)
        return admission is not None and admission.has_besides(
            nodes, self._loop.time(), for_free_slot, plan.lane
        )

    def reported_work(self, plan: CallPlan) -> float:
        """Return a route's mean service time in seconds by owners' reports; 0: unknown."""
        admission = self._admission(plan.target)
        return 0.0 if admission is None else admission.reported_work(plan.route)

    def state_of(self, service: str, node: str) -> EndpointState | None:
        """Return what this node knows of the state of one back end; None if nothing."""
        admission = self._admissions.get(service)
        return None if admission is None else admission.state(node)

    def choice_seen(self, dispatch: Dispatch, plan: CallPlan, may_wait: bool) -> ChoiceSeen:
        """Return the data by which a back end was chosen, for the call record."""
        now = self._loop.time()
        state = self.state_of(plan.target, dispatch.endpoint.node)
        if state is None:
            return ChoiceSeen(0, 0, 0, may_wait)
        seen = ChoiceSeen(
            in_flight=state.in_flight,
            load=state.others,
            load_age_milliseconds=state.load_age_milliseconds(now),
            may_wait=may_wait,
        )
        age = state.speed.pace_age_milliseconds(now)
        if age < 0:
            return seen
        is_own = dispatch.endpoint.node == self._settings.node
        return msgspec.structs.replace(
            seen,
            pace_percent=state.speed.pace_percent,
            pace_age_milliseconds=age,
            pace_source="own" if is_own else "told",
        )

    # --- internal

    def _admission(self, service: str) -> Admission | None:
        admission = self._admissions.get(service)
        if admission is not None:
            return admission
        settings = self._services.get(service)
        if settings is None:
            return None
        admission = Admission(
            service,
            settings,
            self._settings.zone,
            self._random,
            home=self._settings.node,
            weights=self._weights,
        )
        self._admissions[service] = admission
        self._pass_endpoints(admission, service, self._loop.time())
        return admission

    def _pass_endpoints(self, admission: Admission, service: str, now: float) -> None:
        """Pass a service's live endpoints to its admission.

        Each has as its slots the number of calls that this node may have there. One whose
        answers said that it is leaving gets calls for a short time, and only if no other
        is ready.
        """
        offered: list[Endpoint] = []
        for endpoint in self._endpoints.get(service, ()):
            slots = endpoint.slots * (OWNER_LIMIT_FACTOR if endpoint.owner_address else 1)
            left_at = self.needs.left_at(endpoint.node, endpoint.incarnation, now)
            state = endpoint.state
            if left_at is not None:
                state = STATE_LEAVING
                if now - left_at >= self._leaving_seconds:
                    continue
            offered.append(msgspec.structs.replace(endpoint, slots=slots, state=state))
        admission.use_endpoints(tuple(offered), now)

    def load_reported(self, address: str, load: OwnerLoad, route: str) -> None:
        """Process the load of its back end that the owner at an address reported."""
        now = self._loop.time()
        for node in self._nodes_behind.get(address, ()):
            self.need_heard(node, load.need)
            for admission in self._admissions.values():
                admission.note_load(node, load, route, now)

    def need_heard(self, node: str, need: BackEndNeed | None) -> None:
        """Process the need of the back end beside ``node`` as an answer reported it."""
        now = self._loop.time()
        incarnation = self._incarnations.get(node, UNKNOWN_INCARNATION)
        if self.needs.heard(node, incarnation, need, now):
            self._pass_all_endpoints()
            # Rounding of the timer must not make it fire before the end of the time.
            self._pass_endpoints_again_after(self._leaving_seconds + TIMER_MARGIN_SECONDS)
            if not need or not need.life:
                self._pass_endpoints_again_after(
                    UNIDENTIFIED_SECONDS + TIMER_MARGIN_SECONDS
                )

    def _pass_endpoints_again_after(self, seconds: float) -> None:
        def pass_again() -> None:
            self._leaving_timers.discard(timer)
            self._pass_all_endpoints()

        timer = self._loop.call_later(seconds, pass_again)
        self._leaving_timers.add(timer)

    def _pass_all_endpoints(self) -> None:
        now = self._loop.time()
        for service, admission in self._admissions.items():
            self._pass_endpoints(admission, service, now)
        self._start_all_waiting()

    def _note_local_load(self, admission: Admission, plan: CallPlan, now: float) -> None:
        """Record the local back end's load as reported to other nodes, for comparison."""
        if self.own is not None and plan.target == self.own.service:
            load = self.own.load(plan.route)
            self.need_heard(self._settings.node, load.need)
            admission.note_load(self._settings.node, load, plan.route, now)

    def _start_all_waiting(self) -> None:
        for admission in list(self._admissions.values()):
            self._start_waiting(admission)

    def _start_waiting(self, admission: Admission) -> None:
        if not admission.waiting:
            return
        now = self._loop.time()
        for ticket in admission.take_unable_to_finish(now):
            self._waiting.pop(ticket.number).refused(
                admission.refusal_of_unable_to_finish(ticket, now)
            )
        for ticket in admission.take_timed_out(now):
            self._waiting.pop(ticket.number).refused(
                admission.refusal_of_timed_out(ticket, now)
            )
        for dispatch in admission.ready(self._loop.time()):
            call = self._waiting.pop(dispatch.ticket.number, None)
            if call is not None:
                call.dispatched(dispatch)
            else:
                admission.finished(dispatch, 0.0, None, self._loop.time())
        self._schedule_recheck()

    def _schedule_recheck(self) -> None:
        """Schedule a recheck of the queues: ramps and ejections end without an event."""
        if self._recheck_timer is None and self._waiting:
            self._recheck_timer = self._loop.call_later(RECHECK_SECONDS, self._recheck)

    def _recheck(self) -> None:
        self._recheck_timer = None
        self._start_all_waiting()
