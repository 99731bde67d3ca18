"""Admission: slots, queue order, refusals, ejection; and its invariants."""

from __future__ import annotations

import itertools

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from peppershore.connection.messages.endpoints import WARMING_NOT_TOLD, Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.endpoint_state import AttemptResult
from peppershore.request.outcome import NotRun
from peppershore.request.waiting import FAIRNESS_INTERVAL, Ticket
from peppershore.version.model import CallClass, ServiceSettings

SETTINGS = ServiceSettings(slow_start_milliseconds=0, queue_limit=4)


def _endpoint(node: str, slots: int = 2, zone: str = "a", state: str = "ready") -> Endpoint:
    address = f"10.0.0.1:{len(node)}"
    return Endpoint(node, "kassa", zone, 1, 1, state, address, "", slots, 130)


class AdmissionHarness:
    """An admission with shortcuts for offering calls."""

    def __init__(self, *endpoints: Endpoint, settings: ServiceSettings = SETTINGS) -> None:
        self.admission = Admission("kassa", settings, "a", Randomness(1))
        self.admission.use_endpoints(endpoints or (_endpoint("k1"),), 0.0)
        self._numbers = itertools.count(1)

    def ticket(self, call_class: CallClass = "normal", deadline: float = 10.0) -> Ticket:
        return Ticket(next(self._numbers), call_class, deadline)

    def offer(
        self, call_class: CallClass = "normal", deadline: float = 10.0, now: float = 0.0
    ) -> Dispatch | Waiting | NotRun:
        return self.admission.offer(self.ticket(call_class, deadline), now)

    def fill(self, count: int = 2) -> list[Dispatch]:
        held = [self.offer() for _ in range(count)]
        assert all(isinstance(each, Dispatch) for each in held)
        return [each for each in held if isinstance(each, Dispatch)]

    def next_classes(self, held: list[Dispatch]) -> list[str]:
        """Free and refill one slot until no call waits; return the classes in order."""
        order = []
        while self.admission.waiting:
            self.admission.finished(held.pop(), 0.001, "good", 0.0)
            started = self.admission.ready(0.0)
            order += [each.ticket.call_class for each in started]
            held += started
        return order


def test_slots_bound_what_is_in_flight() -> None:
    harness = AdmissionHarness()
    held = harness.fill()
    assert isinstance(harness.offer(), Waiting)
    assert harness.admission.ready(0.0) == []
    harness.admission.finished(held[0], 0.001, "good", 0.0)
    assert len(harness.admission.ready(0.0)) == 1
    assert harness.admission.in_flight == 2


def test_queue_goes_by_class_then_deadline() -> None:
    harness = AdmissionHarness()
    held = harness.fill()
    tickets = [
        harness.ticket("bulk", 3.0),
        harness.ticket("normal", 9.0),
        harness.ticket("normal", 5.0),
        harness.ticket("critical", 8.0),
    ]
    for ticket in tickets:
        assert isinstance(harness.admission.offer(ticket, 0.0), Waiting)
    assert harness.next_classes(held) == ["critical", "normal", "normal", "bulk"]


def test_deadline_that_cannot_be_met_is_refused_at_once_with_advice() -> None:
    harness = AdmissionHarness()
    held = harness.fill()
    harness.admission.finished(held[0], 1.0, "good", 0.0)
    harness.fill(1)
    refused = harness.offer(deadline=0.1)
    assert isinstance(refused, NotRun)
    assert refused.reason == "deadline-too-short"
    assert refused.retry_after_milliseconds > 100


def test_full_queue_refuses_equal_rank_and_evicts_for_higher_rank() -> None:
    harness = AdmissionHarness()
    harness.fill()
    for _ in range(3):
        harness.offer("normal")
    bulk = harness.ticket("bulk")
    harness.admission.offer(bulk, 0.0)
    refused = harness.offer("bulk")
    assert isinstance(refused, NotRun)
    assert refused.reason == "queue-full"
    decision = harness.offer("critical")
    assert decision == Waiting(evicted=bulk)
    assert harness.admission.waiting == SETTINGS.queue_limit


def test_bulk_calls_stay_within_their_share_while_others_start() -> None:
    harness = AdmissionHarness(_endpoint("k1", slots=4))
    taken = [harness.offer("bulk") for _ in range(3)]
    assert [type(each) for each in taken] == [Dispatch, Dispatch, Waiting]
    assert isinstance(harness.offer("normal"), Dispatch)
    assert isinstance(harness.offer("critical"), Dispatch)


def test_bulk_call_is_not_starved_by_a_stream_of_critical_calls() -> None:
    settings = ServiceSettings(slow_start_milliseconds=0, queue_limit=1_000)
    harness = AdmissionHarness(settings=settings)
    held = harness.fill()
    harness.offer("bulk")
    for _ in range(3 * FAIRNESS_INTERVAL):
        harness.offer("critical")
    assert "bulk" in harness.next_classes(held)[: FAIRNESS_INTERVAL + 1]


def test_call_is_not_run_if_no_back_end_is_ready() -> None:
    harness = AdmissionHarness(
        _endpoint("k1", state="leaving"), _endpoint("k2", state="warming")
    )
    refused = harness.offer()
    assert isinstance(refused, NotRun)
    assert refused.reason == "nobody-ready"


def test_leaving_back_end_gets_nothing_new() -> None:
    harness = AdmissionHarness(_endpoint("k1"), _endpoint("k2"))
    harness.admission.use_endpoints(
        (_endpoint("k1", state="leaving"), _endpoint("k2")), 0.0
    )
    assert {dispatch.endpoint.node for dispatch in harness.fill(2)} == {"k2"}


def test_local_zone_first_then_spill_over() -> None:
    harness = AdmissionHarness(_endpoint("far", zone="b"), _endpoint("near", slots=2))
    nodes = [dispatch.endpoint.node for dispatch in harness.fill(4)]
    assert nodes == ["near", "near", "far", "far"]


def test_without_spill_over_the_far_zone_is_not_used() -> None:
    settings = ServiceSettings(slow_start_milliseconds=0, spill_over=False)
    harness = AdmissionHarness(
        _endpoint("far", zone="b"), _endpoint("near"), settings=settings
    )
    harness.fill(2)
    assert isinstance(harness.offer(), Waiting)


def test_new_back_end_is_ramped_up() -> None:
    settings = ServiceSettings(slow_start_milliseconds=1_000)
    harness = AdmissionHarness(_endpoint("k1", slots=10), settings=settings)
    assert isinstance(harness.offer(now=0.0), Dispatch)
    assert isinstance(harness.offer(now=0.0), Waiting)
    assert len(harness.admission.ready(0.5)) == 1
    for _ in range(3):
        assert isinstance(harness.offer(now=0.5), Dispatch)
    assert isinstance(harness.offer(now=0.5), Waiting)
    assert isinstance(harness.offer("critical", now=1.0), Dispatch)


@pytest.mark.parametrize(("percent", "expected"), [(50, 1), (100, 2), (0, 0)])
def test_failing_back_ends_are_ejected_down_to_a_floor(percent: int, expected: int) -> None:
    settings = ServiceSettings(
        slow_start_milliseconds=0, ejection_failures=3, ejection_max_percent=percent
    )
    harness = AdmissionHarness(_endpoint("k1"), _endpoint("k2"), settings=settings)
    ejections = 0
    for _ in range(30):
        dispatch = harness.offer()
        if not isinstance(dispatch, Dispatch):
            break
        out = harness.admission.finished(dispatch, 0.001, "failed", 0.0)
        ejections += out is not None
    assert ejections == expected


def test_shedding_is_no_reason_to_eject() -> None:
    settings = ServiceSettings(slow_start_milliseconds=0, ejection_failures=3)
    harness = AdmissionHarness(_endpoint("k1"), _endpoint("k2"), settings=settings)
    for _ in range(20):
        dispatch = harness.fill(1)[0]
        assert harness.admission.finished(dispatch, 0.001, "shed", 0.0) is None


def test_waiting_call_is_given_up_once_its_time_is_too_short_for_any_back_end() -> None:
    harness = AdmissionHarness()
    held = harness.fill()
    for _ in range(40):
        harness.admission.finished(held.pop(), 0.5, "good", 0.0)
        held += harness.fill(1)
    long, short = harness.ticket(deadline=9.0), harness.ticket(deadline=2.0)
    assert isinstance(harness.admission.offer(long, 0.0), Waiting)
    assert isinstance(harness.admission.offer(short, 0.0), Waiting)
    assert harness.admission.take_unable_to_finish(1.0) == []
    assert harness.admission.take_unable_to_finish(1.7) == [short]
    assert (
        harness.admission.refusal_of_unable_to_finish(short, 1.7).retry_after_milliseconds
        > 0
    )
    assert harness.admission.waiting == 1
    harness.admission.finished(held.pop(), 0.5, "good", 1.7)
    assert [each.ticket for each in harness.admission.ready(1.7)] == [long]


@pytest.mark.parametrize(("seconds", "ejected"), [(0.004, False), (0.5, True)])
def test_late_attempt_counts_against_its_back_end_only_if_it_was_slow(
    seconds: float, ejected: bool
) -> None:
    settings = ServiceSettings(slow_start_milliseconds=0, ejection_failures=5)
    harness = AdmissionHarness(_endpoint("k1"), _endpoint("k2"), settings=settings)
    for _ in range(30):
        for dispatch in harness.fill(1):
            result = "late" if dispatch.endpoint.node == "k1" else "good"
            harness.admission.finished(dispatch, seconds, result, 0.0)
    state = harness.admission.state("k1")
    assert state is not None
    assert state.ejected(0.5) == ejected


@pytest.mark.parametrize(("result", "seconds"), [("failed", 0.001), ("good", 3.0)])
def test_back_end_with_bad_results_is_tried_again_later(
    result: AttemptResult, seconds: float
) -> None:
    settings = ServiceSettings(slow_start_milliseconds=0, ejection_failures=0)
    harness = AdmissionHarness(_endpoint("bad"), _endpoint("well"), settings=settings)
    for _ in range(20):
        for dispatch in harness.fill(1):
            is_bad = dispatch.endpoint.node == "bad"
            latency, seen = (seconds, result) if is_bad else (0.02, "good")
            harness.admission.finished(dispatch, latency, seen, 0.0)

    def picked(now: float) -> set[str]:
        nodes = set()
        for _ in range(20):
            dispatch = harness.offer(now=now, deadline=now + 9.0)
            assert isinstance(dispatch, Dispatch)
            nodes.add(dispatch.endpoint.node)
            if dispatch.endpoint.node == "well":
                harness.admission.finished(dispatch, 0.02, "good", now)
            else:
                harness.admission.finished(dispatch, 0.0, None, now)
        return nodes

    assert picked(0.1) == {"well"}
    assert "bad" in picked(100.0)


def test_ejected_back_end_returns_and_ramps() -> None:
    settings = ServiceSettings(slow_start_milliseconds=1_000, ejection_failures=1)
    harness = AdmissionHarness(_endpoint("k1"), _endpoint("k2"), settings=settings)
    first = harness.fill(1)[0]
    seconds = harness.admission.finished(first, 0.001, "failed", 0.0)
    assert seconds == 1.0
    out = first.endpoint.node
    state = harness.admission.state(out)
    assert state is not None
    assert state.ejected(0.9)
    assert not state.ejected(1.0)
    assert state.ramp(1.0) < 0.2


# Hypothesis derives its examples from the source of the state machine, which names it so.
Desk = AdmissionHarness


class AdmissionMachine(RuleBasedStateMachine):
    """Random offers, ends, withdrawals and endpoint changes."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.desk = Desk(_endpoint("k1"), _endpoint("k2", zone="b"))
        self.held: list[Dispatch] = []
        self.queued: list[Ticket] = []

    @rule(
        call_class=st.sampled_from(["critical", "normal", "bulk"]),
        seconds=st.floats(0.0, 5.0),
    )
    def offer(self, call_class: CallClass, seconds: float) -> None:
        ticket = self.desk.ticket(call_class, self.now + seconds)
        decision = self.desk.admission.offer(ticket, self.now)
        if isinstance(decision, Dispatch):
            self.held.append(decision)
        elif isinstance(decision, Waiting):
            self.queued.append(ticket)
            if decision.evicted is not None:
                self.queued.remove(decision.evicted)

    @precondition(lambda self: self.held)
    @rule(data=st.data(), verdict=st.sampled_from(["good", "failed", "shed", None]))
    def finish(self, data: st.DataObject, verdict: str | None) -> None:
        dispatch = self.held.pop(data.draw(st.integers(0, len(self.held) - 1)))
        self.desk.admission.finished(dispatch, 0.01, verdict, self.now)  # type: ignore[arg-type]

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for dispatch in self.desk.admission.ready(self.now):
            self.held.append(dispatch)
            self.queued.remove(dispatch.ticket)

    @precondition(lambda self: self.queued)
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        ticket = self.queued.pop(data.draw(st.integers(0, len(self.queued) - 1)))
        self.desk.admission.withdraw(ticket)

    @rule(states=st.lists(st.sampled_from(["ready", "leaving"]), min_size=2, max_size=2))
    def change_endpoints(self, states: list[str]) -> None:
        pair = (
            _endpoint("k1", state=states[0]),
            _endpoint("k2", zone="b", state=states[1]),
        )
        self.desk.admission.use_endpoints(pair, self.now)

    @invariant()
    def slots_hold(self) -> None:
        for node in ("k1", "k2"):
            used = sum(1 for dispatch in self.held if dispatch.endpoint.node == node)
            state = self.desk.admission.state(node)
            assert state is not None
            assert used == state.in_flight <= 2

    @invariant()
    def queue_holds(self) -> None:
        assert self.desk.admission.waiting == len(self.queued) <= SETTINGS.queue_limit


TestAdmissionMachine = AdmissionMachine.TestCase


@pytest.mark.parametrize(("told", "slots"), [(WARMING_NOT_TOLD, 1), (0, 10), (4_000, 1)])
def test_reported_warm_up_time_overrides_the_setting(told: int, slots: int) -> None:
    """A back end that has long been warm is not ramped when its node has just started."""
    settings = ServiceSettings(slow_start_milliseconds=1_000)
    admission = Admission("kassa", settings, "pasila", Randomness(1))
    started = msgspec.structs.replace(_endpoint("k1", slots=10), warming_milliseconds=told)
    admission.use_endpoints((started,), 0.0)
    admission.use_settings(settings)
    state = admission.state("k1")
    assert state is not None
    assert state.slots(0.0) == slots
    assert state.slots(1.0) == (3 if told == 4_000 else 10)
