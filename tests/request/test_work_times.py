"""Quick and slow routes of one service; calls to leaving back ends if none is ready."""

from __future__ import annotations

import itertools

import pytest

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch, Waiting
from peppershore.request.outcome import NotRun
from peppershore.request.waiting import Ticket
from peppershore.request.work_times import MAX_ROUTES, WorkTimes
from peppershore.version.model import ServiceSettings

SLOTS = 4
SLOW_SECONDS = 0.4
QUICK_SECONDS = 0.02
SETTINGS = ServiceSettings(slow_start_milliseconds=0)


def test_each_route_has_its_mean_and_an_unknown_one_the_overall_mean() -> None:
    times = WorkTimes()
    for _ in range(50):
        times.observe("extract", SLOW_SECONDS)
        times.observe("check", QUICK_SECONDS)
    assert times.of("extract") == pytest.approx(SLOW_SECONDS)
    assert times.of("check") == pytest.approx(QUICK_SECONDS)
    assert QUICK_SECONDS < times.of("other") == times.of_all < SLOW_SECONDS


def test_a_mean_follows_a_change_and_memory_is_bounded() -> None:
    times = WorkTimes()
    for _ in range(100):
        times.observe("check", QUICK_SECONDS)
    for _ in range(100):
        times.observe("check", SLOW_SECONDS)
    assert times.of("check") == pytest.approx(SLOW_SECONDS, rel=0.02)
    for number in range(3 * MAX_ROUTES):
        times.observe(f"r{number}", QUICK_SECONDS)
    assert len(times._routes) <= MAX_ROUTES


class Owner:
    """The local node of a back end that runs quick and slow calls."""

    def __init__(self) -> None:
        endpoint = Endpoint("n1", "k", "a", 1, 1, "ready", "10.0.0.1:1", "", SLOTS, 130)
        self.admission = Admission("k", SETTINGS, "a", Randomness(1))
        self.admission.use_endpoints((endpoint,), 0.0)
        self._numbers = itertools.count(1)
        for route, seconds in (("extract", SLOW_SECONDS), ("check", QUICK_SECONDS)):
            for _ in range(20):
                held = self.offer(route)
                assert isinstance(held, Dispatch)
                self.admission.finished(held, seconds, "good", 0.0)
        self.held = [self.offer("extract") for _ in range(SLOTS)]

    def offer(self, route: str, deadline: float = 10.0) -> Dispatch | Waiting | NotRun:
        ticket = Ticket(next(self._numbers), "critical", deadline, route=route)
        return self.admission.offer(ticket, 0.0)


def test_a_quick_call_is_not_refused_because_of_slow_ones() -> None:
    owner = Owner()
    assert isinstance(owner.offer("check", deadline=0.25), Waiting)
    refused = owner.offer("extract", deadline=0.25)
    assert isinstance(refused, NotRun)
    assert refused.reason == "deadline-too-short"
    assert owner.admission.take_unable_to_finish(0.1) == []
    assert [ticket.route for ticket in owner.admission.take_unable_to_finish(0.235)] == [
        "check"
    ]


def _endpoint(node: str, state: str, owner_address: str) -> Endpoint:
    return Endpoint(node, "k", "a", 1, 1, state, "10.0.0.1:1", owner_address, SLOTS, 130)


def test_leaving_back_ends_get_calls_only_if_none_is_ready() -> None:
    admission = Admission("k", SETTINGS, "a", Randomness(1))
    leaving = _endpoint("n1", "leaving", "10.0.0.1:2")
    admission.use_endpoints((leaving, _endpoint("n2", "ready", "10.0.0.2:2")), 0.0)
    for number in range(SLOTS):
        taken = admission.offer(Ticket(number, "normal", 10.0), 0.0)
        assert isinstance(taken, Dispatch)
        assert taken.endpoint.node == "n2"
    admission.use_endpoints((leaving,), 0.0)
    asked = admission.offer(Ticket(9, "normal", 10.0), 0.0)
    assert isinstance(asked, Dispatch)
    assert asked.endpoint.node == "n1"


@pytest.mark.parametrize(
    ("state", "owner_address"), [("leaving", ""), ("warming", "10.0.0.1:2"), ("gone", "")]
)
def test_back_ends_that_cannot_refuse_late_calls_get_none(
    state: str, owner_address: str
) -> None:
    admission = Admission("k", SETTINGS, "a", Randomness(1))
    admission.use_endpoints((_endpoint("n1", state, owner_address),), 0.0)
    refused = admission.offer(Ticket(1, "normal", 10.0), 0.0)
    assert isinstance(refused, NotRun)
    assert refused.reason == "nobody-ready"
