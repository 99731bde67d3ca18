"""Calls with bodies over narrow links, in virtual time.

Every machine has one link, a queue each way, that carries its callers' bytes, its calls
to other machines and the answers.  Admission, the choice of a back end, the search for a
free slot and what a body waits for are the product's; callers, links and work are
modelled.  A seed decides a run.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import msgspec

from benchmarks.call_model import SERVICE, Clock
from peppershore.connection.messages.calls import MICROSECONDS, OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch
from peppershore.request.body_prefetch import MIN_RUN_WAIT_SECONDS, BodyPrefetch
from peppershore.request.body_transfers import BYTES_PER_MEGABIT
from peppershore.request.next_attempt import (
    AttemptTerms,
    CallProgress,
    GiveUp,
    counted,
    next_step,
)
from peppershore.request.outcome import BUSY, NotRun
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

HEAD_BYTES = 460
"""Message that begins a call at an owner, without its body: measured mean on links."""

SMALL_BYTES = 60
"""A refusal or a credit."""

ANSWER_BYTES = 1_700
DELAY_SECONDS = 0.0005
DEADLINE_SECONDS = 6.0
ZONE = "a"
ROUTE = "payout"


class Jam(msgspec.Struct, frozen=True, kw_only=True):
    """A site of one service, most of whose calls carry a body.

    ``body_waits``: a body goes only where its call is taken; ``ahead``: one more than
    there are slots comes before its slot; ``home``: the own back end goes first.
    """

    machines: int = 24
    owners: int = 10
    slots: int = 3
    link_megabits: float = 1.0
    body_bytes: int = 4_000
    work_seconds: float = 0.34
    aim_seconds: float = 1.0
    patience_seconds: float = 0.2
    caller_retries: int = 2
    body_waits: bool = True
    ahead: bool = True
    home: bool = True

    @property
    def capacity(self) -> float:
        """Calls a second that all back ends can run."""
        return self.owners * self.slots / self.work_seconds


class Pipe:
    """One direction of a machine's link: bytes one after the other."""

    def __init__(self, clock: Clock, megabits: float) -> None:
        """Begin empty."""
        self.octets = 0
        self._clock = clock
        self._rate = megabits * BYTES_PER_MEGABIT
        self._free_at = 0.0

    @property
    def backlog_seconds(self) -> float:
        """How long one more byte waits."""
        return max(0.0, self._free_at - self._clock.now)

    def carry(self, octets: int, then: Callable[[], None]) -> None:
        """Call ``then`` once these bytes are through."""
        self.octets += octets
        start = max(self._free_at, self._clock.now)
        self._free_at = start + octets / self._rate
        self._clock.after(self._free_at - self._clock.now, then)


class Call:
    """One try of a caller, as its node sees it."""

    __slots__ = ("came", "done", "excluded", "progress", "start_by", "tries")

    def __init__(
        self, came: float, tries: int, done: Callable[[bool, float], None]
    ) -> None:
        """``came``: when the caller tried first; ``done`` hears how it ended."""
        self.came = came
        self.tries = tries
        self.done = done
        self.excluded: frozenset[str] = frozenset()
        self.progress = CallProgress()
        self.start_by = 0.0


class Visit(msgspec.Struct, frozen=True):
    """A call at an owner: whose it is, and the choice that sent it there."""

    node: Machine
    call: Call
    asked: Dispatch


class Machine:
    """A node, its link, and the back end beside it if it has one."""

    def __init__(self, model: JamModel, number: int) -> None:
        """Begin idle."""
        jam = model.jam
        self.name = f"m{number}"
        self.outward = Pipe(model.clock, jam.link_megabits)
        self.inward = Pipe(model.clock, jam.link_megabits)
        self.has_back_end = number < jam.owners
        self._model = model
        settings = ServiceSettings(slow_start_milliseconds=0)
        self.endpoint = Endpoint(
            self.name, SERVICE, ZONE, 1, 1, "ready", "", self.name, jam.slots, 130
        )
        home = self.name if jam.home else ""
        self.chooses = Admission(SERVICE, settings, ZONE, Randomness(number), home=home)
        self._owner = Admission(SERVICE, settings, ZONE, Randomness(1_000 + number))
        self._owner.use_endpoints((self.endpoint,), 0.0)
        self._waiting: dict[int, Callable[[Dispatch | NotRun], None]] = {}
        self.ahead = BodyPrefetch()
        self._numbers = itertools.count(1)

    # --- as a caller's node

    def take(self, call: Call) -> None:
        """Send a call on its way."""
        now = self._model.clock.now
        if call.progress.tries == 0:
            call.start_by = now + self._model.jam.patience_seconds
        if self.has_back_end:
            self.chooses.note_load(self.name, self.load, ROUTE, now)
        ticket = Ticket(
            next(self._numbers),
            "normal",
            now + DEADLINE_SECONDS,
            call.excluded,
            start_by=call.start_by,
        )
        decision = self.chooses.offer(ticket, now)
        if not isinstance(decision, Dispatch):
            self.chooses.withdraw(ticket)
            call.done(False, 0.1)
            return
        may_wait = call.progress.may_wait or self.chooses.all_refuse_for_load(now)
        may_wait = may_wait or self.chooses.probing.is_suspended(now)
        call.progress = msgspec.structs.replace(
            call.progress,
            tries=call.progress.tries + 1,
            waits=call.progress.waits + may_wait,
            may_wait=may_wait,
        )
        self._send(call, decision)

    def _send(self, call: Call, dispatch: Dispatch) -> None:
        jam = self._model.jam
        owner = self._model.machine(dispatch.endpoint.node)
        along = 0 if jam.body_waits else jam.body_bytes
        visit = Visit(self, call, dispatch)
        self._to(owner, HEAD_BYTES + along, lambda: owner.asked(visit))

    def refused(self, call: Call, dispatch: Dispatch, why: NotRun, load: OwnerLoad) -> None:
        """An owner has no slot: look on, wait, or tell the caller."""
        now = self._model.clock.now
        self.chooses.finished(dispatch, 0.0, None, now)
        self.chooses.note_load(dispatch.endpoint.node, load, ROUTE, now)
        if why.reason == BUSY and not call.progress.may_wait:
            self.chooses.probing.refused(now)
        call.excluded |= {dispatch.endpoint.node}
        has_other = self.chooses.has_besides(call.excluded, now, why.reason == BUSY)
        terms = AttemptTerms(False, 3, has_other, True)
        call.progress = counted(call.progress, why)
        step = next_step(call.progress, why, terms)
        if isinstance(step, GiveUp):
            call.done(False, why.retry_after_milliseconds / 1_000)
            return
        if not step.elsewhere:
            call.excluded = frozenset()
        call.progress = msgspec.structs.replace(call.progress, may_wait=step.may_wait)
        self.take(call)

    def answered(self, call: Call, dispatch: Dispatch, load: OwnerLoad) -> None:
        """The answer is whole."""
        now = self._model.clock.now
        self.chooses.finished(dispatch, 0.0, None, now)
        self.chooses.note_load(dispatch.endpoint.node, load, ROUTE, now)
        self.chooses.probing.granted()
        self.outward.carry(ANSWER_BYTES, lambda: call.done(True, 0.0))

    # --- as the back end's own node

    @property
    def load(self) -> OwnerLoad:
        """What it tells with each answer."""
        work = round(self._owner.known_work(ROUTE) * MICROSECONDS)
        slots = self._model.jam.slots
        return OwnerLoad(self._owner.in_flight, self._owner.waiting, slots, work)

    def asked(self, visit: Visit) -> None:
        """Give a slot, a place in line, or a refusal."""
        jam = self._model.jam
        is_away = jam.body_waits and visit.node is not self
        held, waiting = self._owner.in_flight, self._owner.waiting
        if is_away and jam.ahead and self.ahead.begin(held, waiting, jam.slots):
            self._fetch(visit, lambda: self._body_is_in(visit))
            return
        self._offer(visit, visit.call.start_by, is_away)

    def _body_is_in(self, visit: Visit) -> None:
        self.ahead.end()
        visit.call.progress = msgspec.structs.replace(visit.call.progress, may_wait=True)
        start_by = self._model.clock.now + MIN_RUN_WAIT_SECONDS
        self._offer(visit, start_by, is_away=False, priority=0)

    def _offer(
        self, visit: Visit, start_by: float, is_away: bool, priority: int = 1
    ) -> None:
        now = self._model.clock.now
        ticket = Ticket(
            next(self._numbers),
            "normal",
            now + DEADLINE_SECONDS,
            priority=priority,
            may_wait=visit.call.progress.may_wait,
            start_by=start_by,
            is_client_retry=visit.call.tries > 0,
            route=ROUTE,
        )
        decision = self._owner.offer(ticket, now)

        def decided(outcome: Dispatch | NotRun) -> None:
            if isinstance(outcome, NotRun):
                self._refuse(visit, outcome)
            elif is_away:
                self._fetch(visit, lambda: self._run(visit, outcome))
            else:
                self._run(visit, outcome)

        if isinstance(decision, Dispatch | NotRun):
            decided(decision)
            return
        self._waiting[ticket.number] = decided
        wait = max(0.0, start_by - now)
        self._model.clock.after(wait, lambda: self._impatient(ticket))

    def _refuse(self, visit: Visit, refusal: NotRun) -> None:
        why = msgspec.structs.replace(refusal, retryable=True)
        load = self.load
        self._to(
            visit.node,
            SMALL_BYTES,
            lambda: visit.node.refused(visit.call, visit.asked, why, load),
        )

    def _impatient(self, ticket: Ticket) -> None:
        decided = self._waiting.pop(ticket.number, None)
        if decided is not None:
            self._owner.withdraw(ticket)
            decided(self._owner.refusal_of_timed_out(ticket, self._model.clock.now))

    def _fetch(self, visit: Visit, then: Callable[[], None]) -> None:
        """Ask the caller's node for the body."""
        body = self._model.jam.body_bytes

        def credited() -> None:
            visit.node._to(self, body, then)

        self._to(visit.node, SMALL_BYTES, credited)

    def _run(self, visit: Visit, slot: Dispatch) -> None:
        began = self._model.clock.now

        def ended() -> None:
            now = self._model.clock.now
            self._owner.finished(slot, now - began, "good", now)
            load = self.load
            self._to(
                visit.node,
                ANSWER_BYTES,
                lambda: visit.node.answered(visit.call, visit.asked, load),
            )
            for ready in self._owner.ready(now):
                decided = self._waiting.pop(ready.ticket.number, None)
                if decided is not None:
                    decided(ready)
                else:
                    self._owner.finished(ready, 0.0, None, now)

        self._model.clock.after(self._model.work(), ended)

    def _to(self, other: Machine, octets: int, then: Callable[[], None]) -> None:
        """Carry a message to another machine, or to itself for nothing."""
        if other is self:
            self._model.clock.after(0.0, then)
            return

        def arrives() -> None:
            other.inward.carry(octets, then)

        def leaves() -> None:
            self._model.clock.after(DELAY_SECONDS, arrives)

        self.outward.carry(octets, leaves)


class JamModel:
    """A running site, and how its callers fared."""

    def __init__(self, jam: Jam, seed: int) -> None:
        """Begin at second 0 with all loads unknown."""
        self.jam = jam
        self.clock = Clock()
        self.random = random.Random(seed)
        self.ends: list[tuple[float, bool]] = []
        """When each caller tried first, and whether it was answered within the aim."""
        self._machines = {
            machine.name: machine
            for machine in (Machine(self, number) for number in range(jam.machines))
        }
        owners = tuple(
            msgspec.structs.replace(each.endpoint, slots=2 * jam.slots)
            for each in self._machines.values()
            if each.has_back_end
        )
        for machine in self._machines.values():
            machine.chooses.use_endpoints(owners, 0.0)

    @property
    def machines(self) -> tuple[Machine, ...]:
        """All machines."""
        return tuple(self._machines.values())

    def machine(self, name: str) -> Machine:
        """Give a machine by its name."""
        return self._machines[name]

    def work(self) -> float:
        """Draw how long a call runs."""
        return self.jam.work_seconds * self.random.uniform(0.6, 1.4)

    def load(self, share: float, seconds: float) -> None:
        """Let callers come at this share of the capacity for a while."""
        until = self.clock.now + seconds
        self._arrive(share * self.jam.capacity, until)
        self.clock.run(until)

    def in_aim(self, begin: float, end: float) -> float:
        """Give the share of callers who came in a span that were served in aim."""
        ends = [well for came, well in self.ends if begin <= came < end]
        return sum(ends) / max(1, len(ends))

    def _arrive(self, rate: float, until: float) -> None:
        if self.clock.now >= until:
            return
        self._try(self.clock.now, 0)
        pause = self.random.expovariate(rate)
        self.clock.after(pause, lambda: self._arrive(rate, until))

    def _try(self, came: float, tries: int) -> None:
        machine = self.random.choice(self.machines)

        def done(is_answered: bool, advice: float) -> None:
            if is_answered:
                self.ends.append((came, self.clock.now - came <= self.jam.aim_seconds))
            elif tries < self.jam.caller_retries:
                self.clock.after(max(0.1, advice), lambda: self._try(came, tries + 1))
            else:
                self.ends.append((came, False))

        call = Call(came, tries, done)
        octets = HEAD_BYTES + self.jam.body_bytes
        machine.inward.carry(octets, lambda: machine.take(call))
