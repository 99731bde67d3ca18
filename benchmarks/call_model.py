"""Calls in virtual time: the product's admission cores between modelled parts.

Nodes and the owners of back ends run the real ``Admission``, ``RetryBudget`` and
retry delays; callers, links and back ends are modelled.  A seed decides a run.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

import msgspec

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.outcome import Failed, NotRun, Unknown
from peppershore.request.picker import Choice, better_of_two
from peppershore.request.retry_budget import RetryBudget, retry_delay
from peppershore.request.waiting import Ticket
from peppershore.version.model import CallClass, RouteSettings, ServiceSettings

HOP_SECONDS = 0.0015
KICK_SECONDS = 0.02
OWNER_LIMIT_FACTOR = 2
"""As in ``process/node/data/calls.py``."""

SERVICE = "kassa"
ZONE = "a"


class Clock:
    """Virtual time: events run in the order of their times."""

    def __init__(self) -> None:
        """Begin at second 0."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Run ``work`` so many seconds from now."""
        entry = (self.now + seconds, next(self._numbers), work)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run all that is due by ``until``."""
        while self._events and self._events[0][0] <= until:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self.now = until


class Traits(msgspec.Struct, frozen=True, kw_only=True):
    """What is special about one back end.

    ``slowness`` multiplies the time of its work.  It joins at ``joins_at``; cold, it
    takes ``cold_factor`` times as long, falling to 1 over ``warm_up_seconds``.
    ``failure_share`` of its answers are errors given at once, and so is what it
    reports of its load where ``reports_idle``.
    """

    slots: int = 20
    slowness: float = 1.0
    joins_at: float = 0.0
    cold_factor: float = 1.0
    warm_up_seconds: float = 0.0
    failure_share: float = 0.0
    reports_idle: bool = False


class Work:
    """One call at a back end; ``over`` once answered, refused or cancelled."""

    __slots__ = ("began", "deadline", "dispatch", "done", "over", "ticket")

    def __init__(self, deadline: float, done: Callable[[Failed | None], None]) -> None:
        """``done`` hears the failure, or None for a good answer."""
        self.deadline = deadline
        self.done = done
        self.began = 0.0
        self.dispatch: Dispatch | None = None
        self.ticket: Ticket | None = None
        self.over = False


class ModelBackend:
    """A back end and the admission of its own node."""

    def __init__(
        self, clock: Clock, number: int, traits: Traits, work_seconds: float, seed: int
    ) -> None:
        """Start idle."""
        self.traits = traits
        self.running = 0
        self.most_running = 0
        self.runs = 0
        self._clock = clock
        self._work_seconds = work_seconds
        self._random = random.Random(f"{seed}/{number}")
        self.endpoint = Endpoint(
            f"k{number}", SERVICE, ZONE, 1, 1, "ready", "", f"owner-{number}",
            traits.slots, 130,
        )  # fmt: skip
        settings = ServiceSettings(slots=traits.slots, slow_start_milliseconds=0)
        self._admission = Admission(SERVICE, settings, ZONE, Randomness(number))
        self._admission.use_endpoints((self.endpoint,), 0.0)
        self._numbers = itertools.count(1)
        self._waiting: dict[int, Work] = {}

    @property
    def reported_load(self) -> float:
        """What it says of itself: calls here, or nothing where it lies."""
        return 0.0 if self.traits.reports_idle else self.running + len(self._waiting)

    def receive(self, work: Work, call_class: CallClass) -> None:
        """Take a call that came over a link."""
        now = self._clock.now
        if work.over:
            return
        ticket = Ticket(next(self._numbers), call_class, work.deadline)
        decision = self._admission.offer(ticket, now)
        if isinstance(decision, NotRun):
            refusal = msgspec.structs.replace(decision, retryable=True)
            self._finish(work, refusal)
        elif isinstance(decision, Dispatch):
            self._run(work, decision)
        else:
            work.ticket = ticket
            self._waiting[ticket.number] = work
            if decision.evicted is not None:
                evicted = self._waiting.pop(decision.evicted.number)
                refusal = self._admission.refusal_of_evicted(decision.evicted, now)
                self._finish(evicted, refusal)

    def cancel(self, work: Work) -> None:
        """Free what a call holds that was given up."""
        if work.over:
            return
        work.over = True
        if work.ticket is not None:
            self._waiting.pop(work.ticket.number, None)
            self._admission.withdraw(work.ticket)
        if work.dispatch is not None:
            self._free(work, None)

    def _run(self, work: Work, dispatch: Dispatch) -> None:
        work.ticket = None
        work.dispatch = dispatch
        work.began = self._clock.now
        self.runs += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        fails = self._random.random() < self.traits.failure_share
        seconds = 0.0005 if fails else self._service_seconds()
        failure = Unknown(502, "error answer") if fails else None
        self._clock.after(seconds, lambda: self._ended(work, failure))

    def _ended(self, work: Work, failure: Failed | None) -> None:
        if work.over:
            return
        work.over = True
        self._free(work, "failed" if failure else "good")
        self._clock.after(HOP_SECONDS, lambda: work.done(failure))

    def _free(self, work: Work, result: AttemptResult | None) -> None:
        assert work.dispatch is not None
        self.running -= 1
        now = self._clock.now
        seconds = now - work.began
        self._admission.finished(work.dispatch, seconds, result, now)
        for ticket in self._admission.take_unable_to_finish(now):
            refusal = self._admission.refusal_of_unable_to_finish(ticket, now)
            self._finish(self._waiting.pop(ticket.number), refusal)
        for dispatch in self._admission.ready(now):
            self._run(self._waiting.pop(dispatch.ticket.number), dispatch)

    def _finish(self, work: Work, failure: Failed) -> None:
        work.over = True
        self._clock.after(HOP_SECONDS, lambda: work.done(failure))

    def _service_seconds(self) -> float:
        traits = self.traits
        factor = traits.slowness
        if traits.warm_up_seconds > 0.0:
            age = (self._clock.now - traits.joins_at) / traits.warm_up_seconds
            factor *= 1.0 + (traits.cold_factor - 1.0) * max(0.0, 1.0 - age)
        return self._work_seconds * factor * self._random.expovariate(1.0)


class CallDone(msgspec.Struct, frozen=True):
    """How one call ended for its caller; ``at`` and ``seconds`` are virtual."""

    at: float
    seconds: float
    failure: Failed | None
    call_class: CallClass


class ModelNode:
    """A node that callers call: the product's admission, budget and retries."""

    def __init__(
        self,
        clock: Clock,
        number: int,
        settings: ServiceSettings,
        route: RouteSettings,
        choose: Choice = better_of_two,
    ) -> None:
        """Start without back ends."""
        self.retries = 0
        self._clock = clock
        self._route = route
        self._random = Randomness(1_000 + number)
        self._admission = Admission(SERVICE, settings, ZONE, self._random, choose)
        self._budget = RetryBudget()
        self._backends: dict[str, ModelBackend] = {}
        self._waiting: dict[int, _NodeCall] = {}
        self._numbers = itertools.count(1)
        self._kicking = False

    def use_backends(self, backends: Iterable[ModelBackend]) -> None:
        """Send calls to these."""
        self._backends = {each.endpoint.node: each for each in backends}
        endpoints = tuple(
            msgspec.structs.replace(
                each.endpoint, slots=each.endpoint.slots * OWNER_LIMIT_FACTOR
            )
            for each in self._backends.values()
        )
        self._admission.use_endpoints(endpoints, self._clock.now)

    def call(self, call_class: CallClass, done: Callable[[CallDone], None]) -> None:
        """Take a caller's call."""
        call = _NodeCall(call_class, self._clock.now, done)
        call.deadline = self._clock.now + self._route.timeout_milliseconds / 1_000
        self._budget.earn(self._route.retry_budget_percent)
        self._clock.after(call.deadline - self._clock.now, lambda: self._expired(call))
        self._offer(call)

    def _offer(self, call: _NodeCall) -> None:
        now = self._clock.now
        if call.over:
            return
        ticket = Ticket(next(self._numbers), call.call_class, call.deadline, call.excluded)
        decision = self._admission.offer(ticket, now)
        if isinstance(decision, NotRun):
            self._end(call, decision)
        elif isinstance(decision, Dispatch):
            self._dispatch(call, decision)
        else:
            self._wait(call, ticket, decision)

    def _wait(self, call: _NodeCall, ticket: Ticket, decision: Waiting) -> None:
        call.ticket = ticket
        self._waiting[ticket.number] = call
        if decision.evicted is not None:
            evicted = self._waiting.pop(decision.evicted.number)
            evicted.ticket = None
            now = self._clock.now
            self._end(evicted, self._admission.refusal_of_evicted(decision.evicted, now))
        self._kick_later()

    def _dispatch(self, call: _NodeCall, dispatch: Dispatch) -> None:
        call.ticket = None
        call.dispatch = dispatch
        call.attempts += 1
        call.began = self._clock.now
        work = Work(call.deadline, lambda failure: self._answered(call, work, failure))
        call.work = work
        backend = self._backends[dispatch.endpoint.node]
        self._clock.after(HOP_SECONDS, lambda: backend.receive(work, call.call_class))

    def _answered(self, call: _NodeCall, work: Work, failure: Failed | None) -> None:
        if call.over or call.work is not work or call.dispatch is None:
            return
        dispatch = call.dispatch
        call.dispatch = None
        result: AttemptResult = "good"
        if failure is not None:
            result = "shed" if isinstance(failure, NotRun) else "failed"
            call.excluded |= {dispatch.endpoint.node}
        self._free(dispatch, call.began, result)
        if failure is not None and self._may_retry(call, failure):
            delay = retry_delay(call.attempts, self._random)
            if self._clock.now + delay < call.deadline and self._budget.spend():
                self.retries += 1
                self._clock.after(delay, lambda: self._offer(call))
                return
        self._end(call, failure)

    def _may_retry(self, call: _NodeCall, failure: Failed) -> bool:
        if call.attempts > self._route.retry_attempts:
            return False
        return failure.retryable if isinstance(failure, NotRun) else self._route.repeatable

    def _free(self, dispatch: Dispatch, began: float, result: AttemptResult) -> None:
        now = self._clock.now
        self._admission.finished(dispatch, now - began, result, now)
        self._start_waiting()

    def _start_waiting(self) -> None:
        now = self._clock.now
        for ticket in self._admission.take_unable_to_finish(now):
            call = self._waiting.pop(ticket.number)
            call.ticket = None
            self._end(call, self._admission.refusal_of_unable_to_finish(ticket, now))
        for started in self._admission.ready(now):
            self._dispatch(self._waiting.pop(started.ticket.number), started)
        self._kick_later()

    def _kick_later(self) -> None:
        if not self._kicking and self._waiting:
            self._kicking = True
            self._clock.after(KICK_SECONDS, self._kicked)

    def _kicked(self) -> None:
        self._kicking = False
        self._start_waiting()

    def _expired(self, call: _NodeCall) -> None:
        if call.over:
            return
        ran = call.work is not None and call.work.dispatch is not None
        if call.ticket is not None:
            self._waiting.pop(call.ticket.number, None)
            self._admission.withdraw(call.ticket)
        if call.dispatch is not None and call.work is not None:
            self._backends[call.dispatch.endpoint.node].cancel(call.work)
            self._free(call.dispatch, call.began, "late" if ran else "shed")
        failure: Failed = NotRun(503, "deadline-passed")
        self._end(call, Unknown(504, "deadline-passed") if ran else failure)

    def _end(self, call: _NodeCall, failure: Failed | None) -> None:
        call.over = True
        now = self._clock.now
        call.done(CallDone(now, now - call.came, failure, call.call_class))


class _NodeCall:
    """One call at a node."""

    def __init__(
        self, call_class: CallClass, came: float, done: Callable[[CallDone], None]
    ) -> None:
        self.call_class: CallClass = call_class
        self.came = came
        self.done = done
        self.deadline = 0.0
        self.began = 0.0
        self.attempts = 0
        self.excluded: frozenset[str] = frozenset()
        self.ticket: Ticket | None = None
        self.dispatch: Dispatch | None = None
        self.work: Work | None = None
        self.over = False


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """What is modelled; ``work_seconds`` is the mean time of a run, warm and alone."""

    backends: tuple[Traits, ...] = (Traits(),) * 4
    nodes: int = 4
    work_seconds: float = 0.05
    settings: ServiceSettings = ServiceSettings(slow_start_milliseconds=0)
    route: RouteSettings = RouteSettings(timeout_milliseconds=1_000, repeatable=True)

    @property
    def capacity(self) -> float:
        """Calls a second that all back ends can run when warm."""
        return sum(t.slots / (self.work_seconds * t.slowness) for t in self.backends)


class Resends(msgspec.Struct, frozen=True):
    """What callers do when refused: ask again up to ``times``.

    They wait as the refusal advises if ``patient``, else 10 ms.
    """

    times: int = 0
    patient: bool = True

    def pause(self, refusal: NotRun) -> float:
        """Give the seconds until the next try."""
        advised = refusal.retry_after_milliseconds / 1_000
        return advised if self.patient and advised > 0 else 0.01


class Model:
    """A running site."""

    def __init__(
        self,
        site: Site,
        seed: int,
        choose: Choice = better_of_two,
        resends: Resends = Resends(),  # noqa: B008
    ) -> None:
        """Build all parts; back ends that join later are added when due."""
        self._resends = resends
        self.clock = Clock()
        self.site = site
        self.ends: list[CallDone] = []
        self.random = random.Random(seed)
        self.backends = [
            ModelBackend(self.clock, number, traits, site.work_seconds, seed)
            for number, traits in enumerate(site.backends)
        ]
        self.nodes = [
            ModelNode(self.clock, number, site.settings, site.route, choose)
            for number in range(site.nodes)
        ]
        for moment in sorted({traits.joins_at for traits in site.backends}):
            self.clock.after(moment, self._join)

    def _join(self) -> None:
        now = self.clock.now
        present = [each for each in self.backends if each.traits.joins_at <= now]
        for node in self.nodes:
            node.use_backends(present)

    def arrive(self, rate: float, until: float, classes: tuple[CallClass, ...]) -> None:
        """Let callers come at random, ``rate`` a second, until a time."""
        if self.clock.now >= until or rate <= 0.0:
            return
        self._call(self.random.choice(classes), self._resends.times)
        pause = self.random.expovariate(rate)
        self.clock.after(pause, lambda: self.arrive(rate, until, classes))

    def _call(self, call_class: CallClass, resends: int) -> None:
        node = self.random.choice(self.nodes)
        node.call(call_class, lambda done: self._told(done, resends))

    def _told(self, done: CallDone, resends: int) -> None:
        self.ends.append(done)
        if isinstance(done.failure, NotRun) and resends > 0:
            pause = self._resends.pause(done.failure)
            self.clock.after(pause, lambda: self._call(done.call_class, resends - 1))

    def good_between(self, begin: float, end: float) -> int:
        """Calls answered well in a span."""
        return sum(1 for e in self.ends if e.failure is None and begin <= e.at < end)
