"""Admission control for the calls to one target service: start, queue or refuse.

Each back end has a number of slots, and calls that find none free wait in a bounded queue.
A call whose deadline can't be met is refused at once. The caller passes in the time; all
randomness comes from a seeded source.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD, Endpoint
from peppershore.request.endpoint_state import AttemptResult, EndpointState
from peppershore.request.free_slot_probing import FreeSlotProbing
from peppershore.request.outcome import (
    BUSY,
    DEADLINE_TOO_SHORT,
    DISPLACED,
    LINK_FULL,
    NO_SLOT_IN_TIME,
    QUEUE_FULL,
    STATUS_UNAVAILABLE,
    NotRun,
    out_of_time,
)
from peppershore.request.picker import (
    Choice,
    Preference,
    RandomSource,
    better_of_two,
    pick,
    wider_link_of_two,
)
from peppershore.request.tenants.weights import ConfiguredWeights, ShareWeights
from peppershore.request.version_routing import (
    VersionGroup,
    choose_version_group,
    group_by_version,
)
from peppershore.request.waiting import Ticket, WaitingQueue
from peppershore.request.work_times import WorkTimes
from peppershore.version.model import ServiceSettings

STATE_READY = "ready"
STATE_LEAVING = "leaving"
BULK_SHARE = 0.5
"""Share of all slots that bulk calls may hold. The rest stays available to other
classes."""

MIN_RETRY_AFTER_MILLISECONDS = 100
NOBODY_READY_RETRY_AFTER_MILLISECONDS = 250

WAIT_TOLERANCE = 1.5
"""A call is refused at once if its expected wait exceeds the time it may wait by this
factor. The expected wait is only a mean, and calls ahead of it may give up. The wait for a
rate limit is known, so it gets no tolerance."""


RateWait = Callable[[int, float], float]
"""Returns the seconds until so many more calls may have started, given the time now."""


def no_wait(calls: int, now: float) -> float:
    """Return 0: there is no limit on the rate of calls."""
    del calls, now
    return 0.0


class Dispatch(msgspec.Struct, frozen=True):
    """A call that may start now.

    It holds a slot of ``endpoint`` until it is passed to ``Admission.finished``.
    """

    ticket: Ticket
    endpoint: Endpoint


class Waiting(msgspec.Struct, frozen=True):
    """A call that was queued; ``Admission.ready`` returns its dispatch later.

    ``evicted`` is the queued call that made room for it, and must now be refused.
    """

    evicted: Ticket | None = None


Decision = Dispatch | Waiting | NotRun


class Admission:
    """Slots and queue of one target service, as seen by one node."""

    def __init__(
        self,
        service: str,
        settings: ServiceSettings,
        zone: str,
        random: RandomSource,
        choose: Choice = better_of_two,
        *,
        home: str = "",
        weights: ConfiguredWeights | None = None,
        rate_wait: RateWait = no_wait,
    ) -> None:
        """Start without back ends; ``choose`` picks among those that have room.

        ``home`` is the name of this node if it routes calls for its own callers, else "".
        ``weights`` are the configured weights of the tenants on whose behalf calls are
        made. ``rate_wait`` returns how long calls must wait for the back end's rate limit.
        """
        self._rate_wait = rate_wait
        self.service = service
        self.settings = settings
        self._zone = zone
        self._random = random
        self._choose = choose
        self._home = home
        self._states: dict[str, EndpointState] = {}
        self._offered: dict[str, EndpointState] = {}
        self._lanes: dict[VersionGroup, tuple[dict[str, EndpointState], ...]] = {}
        self._regroup_by_version()
        self._shares = ShareWeights(weights or ConfiguredWeights())
        self._queue = WaitingQueue(self._shares.weight)
        self.probing = FreeSlotProbing()
        self._bulk_in_flight = 0
        self._work = WorkTimes()
        self._reported_work = WorkTimes()

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Number of calls that hold a slot."""
        return sum(state.in_flight for state in self._states.values())

    def choose_version_group(self) -> VersionGroup:
        """Choose at random which version of the service's software handles one call."""
        return choose_version_group(self.settings, self._random)

    def has_besides(
        self,
        nodes: frozenset[str],
        now: float,
        for_free_slot: bool = False,
        lane: VersionGroup = "any",
    ) -> bool:
        """Report whether a back end outside ``nodes`` can accept a call now.

        This uses the same conditions as ``pick``; otherwise a call would circulate among
        the back ends that refused it. With ``for_free_slot``, a back end that was full or
        refused for load a moment ago does not count.
        """
        return any(
            node not in nodes
            and state.can_accept_call(now)
            and not (for_free_slot and state.refused_for_load(now))
            for group in self._lanes[lane]
            for node, state in group.items()
        )

    def all_refuse_for_load(self, now: float, lane: VersionGroup = "any") -> bool:
        """Report whether every back end was full or refused for load a moment ago."""
        groups = self._lanes[lane]
        return all(
            state.refused_for_load(now) for group in groups for state in group.values()
        )

    def known_work(self, route: str) -> float:
        """Return the mean duration, in seconds, of a route's calls seen here; 0 if none."""
        return self._work.known(route)

    def reported_work(self, route: str) -> float:
        """Return a route's mean duration in seconds as back ends' local nodes reported it.

        Return 0 if it is unknown.
        """
        return self._reported_work.known(route)

    def state(self, node: str) -> EndpointState | None:
        """Return the state of one back end, or None if the node is unknown."""
        return self._states.get(node)

    def use_settings(self, settings: ServiceSettings) -> None:
        """Apply new settings; calls in flight keep their slots."""
        self.settings = settings
        self._regroup_by_version()
        for state in self._states.values():
            state.ramp_seconds = self._ramp_seconds(state.endpoint)

    def use_endpoints(self, endpoints: tuple[Endpoint, ...], now: float) -> None:
        """Replace the set of live back ends; those that stay keep their observed state.

        If no back end is ready, calls go to those that are leaving. Their local nodes
        accept calls for as long as they may, and refuse later ones as not run.
        """
        ready: dict[str, EndpointState] = {}
        leaving: dict[str, EndpointState] = {}
        for endpoint in endpoints:
            state = self._adopt(endpoint, now)
            if endpoint.state == STATE_READY:
                ready[endpoint.node] = state
            elif endpoint.state == STATE_LEAVING and endpoint.owner_address:
                leaving[endpoint.node] = state
        self._offered = ready or leaving
        self._regroup_by_version()
        present = {endpoint.node for endpoint in endpoints}
        for node in [node for node in self._states if node not in present]:
            if self._states[node].in_flight == 0:
                del self._states[node]

    def set_limit(self, node: str, limit: int) -> None:
        """Set how many calls may be in flight at one back end; 0 stops new ones."""
        state = self._states.get(node)
        if state is not None:
            state.limit = limit

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Decide whether a new call starts, waits or is refused."""
        if ticket.tenant:
            self._shares.asked(ticket.tenant, now)
        if not any(self._lanes[ticket.lane]):
            reason = "nobody-ready"
            return NotRun(STATUS_UNAVAILABLE, reason, NOBODY_READY_RETRY_AFTER_MILLISECONDS)
        if ticket.deadline - now <= 0.0:
            return out_of_time()
        if ticket.answer_is_large and self._links_are_full(ticket, now):
            return self._refusal(LINK_FULL, self._link_lateness(ticket, now))
        if not self._must_wait(ticket):
            state = self._pick(ticket, now)
            if state is not None:
                return self._dispatch(ticket, state)
        return self._enqueue(ticket, now)

    def finished(
        self, dispatch: Dispatch, latency: float, result: AttemptResult | None, now: float
    ) -> float | None:
        """Free the slot of an attempt that took ``latency`` seconds; learn from its result.

        A ``result`` of None says nothing about the back end. Return the duration of the
        ejection, in seconds, if this failure caused one, else None.
        """
        state = self._states.get(dispatch.endpoint.node)
        if dispatch.ticket.call_class == "bulk":
            self._bulk_in_flight -= 1
        if state is None:
            return None
        state.in_flight -= 1
        assert state.in_flight >= 0, "a slot was freed twice"
        if result is None:
            return None
        state.observe(latency, result, now)
        if result == "good":
            self._work.observe(dispatch.ticket.route, latency)
        return self._eject_outlier(state, now)

    def take_timed_out(self, now: float) -> list[Ticket]:
        """Remove and return the waiting calls whose wait time-out has passed."""
        return self._queue.remove_matching(lambda ticket: ticket.start_by <= now)

    def take_unable_to_finish(self, now: float) -> list[Ticket]:
        """Remove and return the waiting calls that can no longer finish in time.

        If started, they would hold a slot and still miss their deadline. Under overload,
        earliest deadline first would serve little else.
        """
        return self._queue.remove_matching(
            lambda ticket: ticket.deadline <= now + self._work.of(ticket.route)
        )

    def ready(self, now: float) -> list[Dispatch]:
        """Return dispatches for the waiting calls that can start now."""
        started: list[Dispatch] = []
        while len(self._queue):
            ticket = self._queue.peek(self._bulk_allowed())
            if ticket is None:
                break
            state = self._pick(ticket, now)
            if state is None:
                break
            self._queue.taken(ticket)
            started.append(self._dispatch(ticket, state))
        return started

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a call from the queue."""
        self._queue.remove(ticket)

    def _adopt(self, endpoint: Endpoint, now: float) -> EndpointState:
        state = self._states.get(endpoint.node)
        ramp_seconds = self._ramp_seconds(endpoint)
        if state is None or state.endpoint.incarnation != endpoint.incarnation:
            in_flight = state.in_flight if state is not None else 0
            state = EndpointState(endpoint, endpoint.slots, ramp_seconds, now)
            state.in_flight = in_flight
            self._states[endpoint.node] = state
            return state
        if state.endpoint.state != STATE_READY and endpoint.state == STATE_READY:
            state.ramp_started = now
        if state.endpoint.slots != endpoint.slots:
            state.limit = endpoint.slots
        state.endpoint = endpoint
        return state

    def _ramp_seconds(self, endpoint: Endpoint) -> float:
        """Return for how many seconds the load of a new back end is ramped up.

        This is the warm-up time that it reported, else the one in the settings.
        """
        milliseconds = endpoint.warming_milliseconds
        if milliseconds == WARMING_NOT_TOLD:
            return self._slow_start_seconds
        return milliseconds / 1_000

    @property
    def _slow_start_seconds(self) -> float:
        return self.settings.slow_start_milliseconds / 1_000

    def _must_wait(self, ticket: Ticket) -> bool:
        """Report whether a new call must not start yet.

        It would overtake a waiting call, or exceed the share of slots of bulk calls.
        """
        if ticket.call_class == "bulk" and not self._bulk_allowed():
            return True
        if not len(self._queue):
            return False
        return self._queue.ahead_of(ticket) > 0

    def _bulk_allowed(self) -> bool:
        slots = sum(state.limit for state in self._offered.values())
        return self._bulk_in_flight < max(1, int(slots * BULK_SHARE))

    def _pick(self, ticket: Ticket, now: float) -> EndpointState | None:
        preference = self._preference(ticket)
        for group in self._lanes[ticket.lane]:
            if ticket.answer_is_large:
                state = self._pick_by_link(group.values(), ticket, now)
            else:
                state = pick(group.values(), preference, self._random, now, self._choose)
            if state is not None:
                return state
        return None

    def _pick_by_link(
        self, states: Iterable[EndpointState], ticket: Ticket, now: float
    ) -> EndpointState | None:
        """Choose a back end for a large answer among those whose link has room for it.

        If no link has room, a call that has waited goes to any back end, whose local node
        then decides, so that it does not block the calls behind it.
        """
        known = list(states)
        with_link_room = [state for state in known if state.has_link_room(now, ticket.due)]
        preference = self._preference(ticket)
        return pick(
            with_link_room or known, preference, self._random, now, wider_link_of_two
        )

    def _links_are_full(self, ticket: Ticket, now: float) -> bool:
        """Report whether no back end's link has room for this answer.

        This is decided by recent reports of the back ends' local nodes.
        """
        groups = self._lanes[ticket.lane]
        return not any(
            state.has_link_room(now, ticket.due)
            for group in groups
            for state in group.values()
        )

    def _link_lateness(self, ticket: Ticket, now: float) -> float:
        """Return by how many seconds the answer would be late on the best link, or 0."""
        groups = self._lanes[ticket.lane]
        waits = [state.link_wait(now) for group in groups for state in group.values()]
        return max(0.0, now + min(waits, default=0.0) - ticket.due)

    def _regroup_by_version(self) -> None:
        versions = {node: state.endpoint.version for node, state in self._offered.items()}
        self._lanes = group_by_version(self._offered, versions, self.settings)

    def _preference(self, ticket: Ticket) -> Preference:
        crossing_cost = ticket.crossing_seconds / self._reported_work.of(ticket.route)
        spill_over = self.settings.spill_over
        return Preference(
            self._zone,
            spill_over,
            ticket.excluded,
            crossing_cost,
            ticket.prefers_far,
            self._home,
        )

    def _dispatch(self, ticket: Ticket, state: EndpointState) -> Dispatch:
        state.in_flight += 1
        if ticket.call_class == "bulk":
            self._bulk_in_flight += 1
        return Dispatch(ticket, state.endpoint)

    def _enqueue(self, ticket: Ticket, now: float) -> Decision:
        wait = self._expected_wait(ticket, now)
        if not ticket.may_wait:
            return self._refusal(BUSY, wait, retryable=True)
        if wait + self._work.of(ticket.route) > ticket.deadline - now:
            return self._refusal(DEADLINE_TOO_SHORT, wait)
        rate_wait = self._rate_wait(self._queue.ahead_of(ticket) + 1, now)
        patience = ticket.start_by - now
        if wait > WAIT_TOLERANCE * patience or rate_wait > patience:
            return self._refusal(NO_SLOT_IN_TIME, wait)
        evicted: Ticket | None = None
        if len(self._queue) >= self.settings.queue_limit:
            evicted = self._queue.displaced_by(ticket)
            if evicted is None:
                return self._refusal(QUEUE_FULL, wait)
            self._queue.remove(evicted)
        self._queue.push(ticket)
        return Waiting(evicted)

    def refusal_of_unable_to_finish(self, ticket: Ticket, now: float) -> NotRun:
        """Return the refusal for a call whose remaining time has become too short."""
        return self._refusal(DEADLINE_TOO_SHORT, self._expected_wait(ticket, now))

    def refusal_of_evicted(self, ticket: Ticket, now: float) -> NotRun:
        """Return the refusal for a call that was evicted by a more important one."""
        return self._refusal(DISPLACED, self._expected_wait(ticket, now))

    def _expected_wait(self, ticket: Ticket, now: float) -> float:
        """Estimate the seconds until a slot is free for this call, by mean durations."""
        states = [state for state in self._offered.values() if not state.ejected(now)]
        slots = sum(state.slots(now) for state in states)
        if not slots:
            return 0.0
        calls = self._queue.ahead_of(ticket) + 1
        return max(calls * self._work.of_all / slots, self._rate_wait(calls, now))

    def refusal_of_timed_out(self, ticket: Ticket, now: float) -> NotRun:
        """Return the refusal for a call whose wait time-out has passed."""
        return self._refusal(NO_SLOT_IN_TIME, self._expected_wait(ticket, now))

    def note_load(self, node: str, load: OwnerLoad, route: str, now: float) -> None:
        """Record the load that a back end's local node reported.

        It includes the mean duration of a call of ``route`` there, if that is known.
        """
        state = self._states.get(node)
        if state is None:
            return
        is_far = state.endpoint.zone != self._zone
        state.note_load(load, now, is_far)
        if load.work_seconds:
            self._reported_work.observe(route, load.work_seconds)
            state.speed.learn(load.work_seconds / self._reported_work.of(route))

    @staticmethod
    def _refusal(reason: str, wait: float, retryable: bool = False) -> NotRun:
        advice = max(MIN_RETRY_AFTER_MILLISECONDS, math.ceil(wait * 1_000))
        return NotRun(STATUS_UNAVAILABLE, reason, advice, retryable)

    def _eject_outlier(self, state: EndpointState, now: float) -> float | None:
        """Eject a back end that keeps failing, unless too many are ejected already."""
        limit = self.settings.ejection_failures
        if limit <= 0 or state.consecutive_failures < limit:
            return None
        if state.ejected(now):
            return None
        out = sum(1 for other in self._offered.values() if other.ejected(now))
        allowed = len(self._offered) * self.settings.ejection_max_percent // 100
        if out + 1 > allowed:
            return None
        state.ramp_seconds = self._slow_start_seconds
        return state.eject(now)
