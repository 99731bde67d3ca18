"""When a proxy can be reached, by the marks of the faults."""

import pytest

from peppershore_lab.experiments.availability import Availability, Roles
from peppershore_lab.experiments.marks import FaultMark, Span, merged_spans

ROLES = Roles(("c1", "c2", "c3"), ("r1", "r2"), ("p1", "p2"))
RUN = Span(0.0, 100.0)


def mark(action, *targets, began=10.0, ended=20.0):
    return FaultMark(action=action, targets=targets, began=began, ended=ended)


def unreachable(proxy, *marks):
    return Availability(ROLES, marks, RUN).unreachable(proxy)


@pytest.mark.parametrize("action", ["kill", "freeze", "stop", "full-disk"])
def test_a_proxy_is_unreachable_while_it_is_down_itself(action):
    assert unreachable("p1", mark(action, "p1")) == [Span(10.0, 20.0)]
    assert unreachable("p2", mark(action, "p1")) == []


def test_one_relay_or_one_replica_less_excuses_nobody():
    assert unreachable("p1", mark("kill", "r1"), mark("freeze", "c1")) == []


def test_without_a_majority_or_any_relay_nobody_is_reached():
    assert unreachable("p1", mark("kill", "c1", "c2")) == [Span(10.0, 20.0)]
    assert unreachable("p1", mark("kill", "r1", "r2")) == [Span(10.0, 20.0)]


def test_a_relay_that_reaches_only_the_replica_cut_off_serves_nobody():
    cut_off = mark("cut", "c1>c2", "c1>c3", "r2>c2", "r2>c3", "p1>r1")
    assert unreachable("p1", cut_off) == [Span(10.0, 20.0)]
    assert unreachable("p2", cut_off) == []


def test_a_fault_that_lasts_to_the_end_does():
    lasting = FaultMark(action="kill", targets=("p1",), began=90.0)
    assert unreachable("p1", lasting) == [Span(90.0, 100.0)]


def test_the_clock_starts_when_the_last_hindrance_before_holding_ended():
    found = Availability(ROLES, [mark("freeze", "p1")], RUN)
    assert found.clock_start("p1", accepted=12.0, held=22.0) == 20.0
    assert found.clock_start("p1", accepted=12.0, held=19.9) == 19.9
    assert found.clock_start("p1", accepted=5.0, held=9.0) == 5.0
    assert found.clock_start("p1", accepted=30.0, held=31.0) == 30.0
    assert found.clock_start("p2", accepted=12.0, held=22.0) == 12.0


def test_overlapping_spans_become_one():
    assert merged_spans([Span(3, 5), Span(1, 4), Span(7, 8), Span(8, 9)]) == [
        Span(1, 5),
        Span(7, 9),
    ]
