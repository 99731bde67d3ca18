"""The admissions of a node by target service: who gets a back end, who waits, who is told.

Ties the cores of ``request.admission`` to the endpoints, to what owners tell of their
loads, and to the calls that wait.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

import msgspec

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.commands import Notice
from peppershore.process.node.data import notices
from peppershore.process.node.data.call_story import ChoiceSeen
from peppershore.process.node.data.own_backend import OwnBackend
from peppershore.process.settings import NodeSettings
from peppershore.request.admission import Admission, Decision, Dispatch, Waiting
from peppershore.request.classification import CallPlan
from peppershore.request.endpoint_state import EndpointState, Verdict
from peppershore.request.outcome import STATUS_UNAVAILABLE, NotRun
from peppershore.request.picker import RandomSource
from peppershore.request.tenants.weights import ConfiguredWeights
from peppershore.request.version_lanes import Lane
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

KICK_SECONDS = 0.02
OWNER_LIMIT_FACTOR = 2
"""Calls this node sends to one owner at a time, as a multiple of its slots: the
owner counts the slots, this bounds what may wait there."""

MILLISECONDS = 1_000


class WaitingCall(Protocol):
    """A call that waits here for a back end."""

    def dispatched(self, dispatch: Dispatch) -> None:
        """A back end was chosen."""

    def refused(self, refusal: NotRun) -> None:
        """The call waits no longer."""


class ServiceAdmissions:
    """Which back end takes each call of this node, for every service that it calls."""

    def __init__(
        self,
        settings: NodeSettings,
        notice_sink: Callable[[Notice], None],
        random: RandomSource,
        weights: ConfiguredWeights,
    ) -> None:
        """Start without services and without endpoints.

        ``weights`` are those of the tenants of the configuration in use.
        """
        self._weights = weights
        self.own: OwnBackend | None = None
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._notice_sink = notice_sink
        self._random = random
        self._services: dict[str, ServiceSettings] = {}
        self._admissions: dict[str, Admission] = {}
        self._endpoints: dict[str, tuple[Endpoint, ...]] = {}
        self._nodes_behind: dict[str, list[str]] = {}
        self._waiting: dict[int, WaitingCall] = {}
        self._ticket_numbers = itertools.count(1)
        self._kick: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Calls in this node's queues."""
        return len(self._waiting)

    def use_services(self, services: dict[str, ServiceSettings]) -> None:
        """Decide new calls by these settings."""
        self._services = services
        for service, admission in self._admissions.items():
            if service in services:
                admission.use_settings(services[service])
        self._start_all_waiting()

    def use_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Replace the live endpoints."""
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            grouped.setdefault(endpoint.service, []).append(endpoint)
        self._endpoints = {name: tuple(found) for name, found in grouped.items()}
        self._nodes_behind = {}
        for endpoint in endpoints:
            behind = self._nodes_behind.setdefault(endpoint.owner_address, [])
            behind.append(endpoint.node)
        now = self._loop.time()
        for service, admission in self._admissions.items():
            self._feed(admission, service, now)
        self._start_all_waiting()

    def close(self) -> None:
        """Look at the queues no more."""
        if self._kick is not None:
            self._kick.cancel()

    def draw_lane(self, service: str) -> Lane:
        """Draw for one call which version of the service's software is to take it."""
        admission = self._admission(service)
        return "any" if admission is None else admission.draw_lane()

    @property
    def looks_for_free_slots(self) -> bool:
        """Whether a call first asks each owner for a free slot before it waits for one."""
        return self._settings.seek_free_slots

    def most_waits(self, plan: CallPlan) -> int:
        """Give at how many owners a call may wait; a large body is awaited at one."""
        if plan.settings.streamed_bodies or not self.looks_for_free_slots:
            return 1
        return self._settings.waits_at_owners

    def waits_at_once(self, plan: CallPlan) -> bool:
        """Whether to ask for a free slot first is in vain, by what asks came to."""
        admission = self._admission(plan.target)
        if admission is None or not self.looks_for_free_slots:
            return False
        now = self._loop.time()
        return admission.seeking.is_in_vain(now) or admission.all_shed(now, plan.lane)

    def asked_for_slot(self, plan: CallPlan, was_granted: bool) -> None:
        """A call that may not wait asked a back end's own node for a free slot."""
        admission = self._admission(plan.target)
        if admission is None:
            return
        if was_granted:
            admission.seeking.granted()
        else:
            admission.seeking.refused(self._loop.time())

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
            tenant=plan.tenant,
            answer_is_large=plan.settings.large_answers,
            due=plan.due,
        )

    def offer(self, ticket: Ticket, plan: CallPlan, call: WaitingCall) -> Decision:
        """Ask for a slot; a call that waits hears ``dispatched`` or ``refused``."""
        admission = self._admission(plan.target)
        if admission is None:
            return NotRun(STATUS_UNAVAILABLE, "service-not-held", MILLISECONDS)
        now = self._loop.time()
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
        ejected = admission.finished(dispatch, latency, verdict, self._loop.time())
        if ejected is not None:
            node = dispatch.endpoint.node
            self._notice_sink(notices.BackendEjected(plan.target, node, ejected))
        self._start_waiting(admission)

    def has_back_end_besides(
        self, plan: CallPlan, nodes: frozenset[str], for_free_slot: bool = False
    ) -> bool:
        """Whether a call can go now to a back end that is none of these nodes'.

        ``for_free_slot``: only one counts that may have a slot free now.
        """
        admission = self._admission(plan.target)
        return admission is not None and admission.has_besides(
            nodes, self._loop.time(), for_free_slot, plan.lane
        )

    def told_work(self, plan: CallPlan) -> float:
        """Give the mean seconds of a route's work by what owners told; 0: unknown."""
        admission = self._admission(plan.target)
        return 0.0 if admission is None else admission.told_work(plan.route)

    def state_of(self, service: str, node: str) -> EndpointState | None:
        """Give what this node has seen of one back end; None if nothing."""
        admission = self._admissions.get(service)
        return None if admission is None else admission.state(node)

    def choice_seen(self, dispatch: Dispatch, plan: CallPlan, may_wait: bool) -> ChoiceSeen:
        """Give what the choice of a back end went by."""
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

    # --- inside

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
        self._feed(admission, service, self._loop.time())
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

    def load_heard(self, address: str, load: OwnerLoad, route: str) -> None:
        """The node behind an address told how loaded its back end is."""
        now = self._loop.time()
        for node in self._nodes_behind.get(address, ()):
            for admission in self._admissions.values():
                admission.note_load(node, load, route, now)

    def _note_own_load(self, admission: Admission, plan: CallPlan, now: float) -> None:
        """Compare the own back end with others by what its node would tell them."""
        if self.own is not None and plan.target == self.own.service:
            load = self.own.load(plan.route)
            admission.note_load(self._settings.node, load, plan.route, now)

    def _start_all_waiting(self) -> None:
        for admission in list(self._admissions.values()):
            self._start_waiting(admission)

    def _start_waiting(self, admission: Admission) -> None:
        if not admission.waiting:
            return
        now = self._loop.time()
        for ticket in admission.hopeless(now):
            self._waiting.pop(ticket.number).refused(
                admission.refusal_of_hopeless(ticket, now)
            )
        for ticket in admission.impatient(now):
            self._waiting.pop(ticket.number).refused(
                admission.refusal_of_impatient(ticket, now)
            )
        for dispatch in admission.ready(self._loop.time()):
            call = self._waiting.pop(dispatch.ticket.number, None)
            if call is not None:
                call.dispatched(dispatch)
            else:
                admission.finished(dispatch, 0.0, None, self._loop.time())
        self._kick_later()

    def _kick_later(self) -> None:
        """Look again soon: ramps and ejections end without an event."""
        if self._kick is None and self._waiting:
            self._kick = self._loop.call_later(KICK_SECONDS, self._kicked)

    def _kicked(self) -> None:
        self._kick = None
        self._start_all_waiting()
