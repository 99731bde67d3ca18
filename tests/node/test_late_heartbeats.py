"""Late heartbeats of back ends that have crashed, without start times.

Guards against a living back end that is taken out for good: its node had just started, took
the late heartbeat of a dead incarnation for a new one, and ignored the living one from then
on, though its heartbeats were acknowledged.
"""

from __future__ import annotations

import random

import pytest

from peppershore.process import events
from peppershore.process.node.back_end_reports import (
    HAS_LEFT,
    REPLACED,
    BackEndReport,
    BackEndReports,
)
from peppershore.process.node.core import NodeCore, NodeMemory
from peppershore.process.node.inputs import BackEndNotThere, BackEndReported
from peppershore.process.node.notices import BackEndReportNotUsed
from peppershore.process.settings import NodeSettings

SILENT_SECONDS = 8.0
INTERVAL_SECONDS = 1.5


def report(
    instance: str, sequence: int, is_leaving: bool = False, service: str = "kassa"
) -> BackEndReport:
    return BackEndReport(instance, service, "10.0.0.1:80", 18, is_leaving, sequence)


def reports() -> BackEndReports:
    return BackEndReports("kassa", SILENT_SECONDS)


def state(known: BackEndReports) -> tuple[str, str]:
    return known.view.instance, known.view.state


def test_the_back_end_itself_shows_that_a_late_heartbeat_is_of_a_dead_one() -> None:
    """The living one was ignored for good from the late heartbeat on."""
    known = reports()
    known.apply(report("living", 5), 0.0)
    known.apply(report("dead", 40), 0.5)
    assert state(known) == ("dead", "ready")
    assert known.mark_replaced("dead", 0.6)
    assert state(known) == ("living", "ready")


def test_one_that_goes_on_returns_without_any_call() -> None:
    known = reports()
    known.apply(report("living", 5), 0.0)
    known.apply(report("dead", 40), 0.5)
    assert not known.apply(report("living", 6), 1.5)
    assert known.apply(report("living", 7), 3.0)
    assert state(known) == ("living", "ready")


def test_one_that_is_leaving_returns_as_leaving() -> None:
    known = reports()
    known.apply(report("living", 5, is_leaving=True), 0.0)
    known.apply(report("dead", 40), 0.5)
    assert known.mark_replaced("dead", 0.6)
    assert state(known) == ("living", "leaving")


def test_one_that_has_left_never_returns() -> None:
    known = reports()
    known.apply(report("left", 5), 0.0)
    known.mark_leaving("left")
    known.apply(report("next", 1), 0.5)
    known.mark_replaced("next", 0.6)
    assert state(known) == ("next", "gone")
    assert known.reason_not_used(report("left", 6)) == HAS_LEFT
    assert not known.apply(report("left", 6), 0.7)


def test_a_surplus_refusal_takes_the_living_one_out_until_its_next_heartbeat_only() -> None:
    """An answer may come twice, also the one that says that another one is there."""
    known = reports()
    known.apply(report("dead", 40), 0.0)
    known.apply(report("living", 1), 0.5)
    known.mark_replaced("living", 0.6)
    assert known.mark_replaced("dead", 0.7)
    assert state(known) == ("dead", "gone")
    assert known.apply(report("living", 2), 1.5)
    assert state(known) == ("living", "ready")


def test_refusals_do_not_turn_two_dead_ones_over_and_over() -> None:
    known = reports()
    known.apply(report("first", 5), 0.0)
    known.apply(report("second", 5), 0.1)
    changes = [
        known.mark_replaced(known.view.life.name, 0.2 + tick / 10) for tick in range(20)
    ]
    assert sum(changes) == 2
    assert known.view.state == "gone"


def test_one_that_returned_by_a_refusal_is_silent_since_its_own_heartbeat() -> None:
    known = reports()
    known.apply(report("living", 5), 0.0)
    known.apply(report("dead", 40), 5.0)
    known.mark_replaced("dead", 5.1)
    assert state(known) == ("living", "ready")
    assert known.tick(SILENT_SECONDS)
    assert state(known) == ("living", "gone")


def test_a_silent_one_does_not_return_by_a_refusal() -> None:
    known = reports()
    known.apply(report("old", 5), 0.0)
    known.apply(report("new", 1), 1.0)
    known.mark_replaced("new", 1.0 + SILENT_SECONDS)
    assert state(known) == ("new", "gone")


@pytest.mark.parametrize("with_calls", [False, True])
@pytest.mark.parametrize("seed", range(50))
def test_the_living_one_is_used_whatever_comes_late(seed: int, with_calls: bool) -> None:
    """Several dead incarnations, each with heartbeats late, doubled and out of order."""
    chosen = random.Random(seed)
    late = [
        (chosen.uniform(0.0, 12.0), report(f"dead-{number}", chosen.randrange(1, 30)))
        for number in range(3)
        for _ in range(4)
    ]
    living = [
        (0.2 + INTERVAL_SECONDS * beat, report("living", beat)) for beat in range(1, 16)
    ]
    known = reports()
    last_late = max(at for at, _ in late)
    for at, each in sorted(late + living, key=lambda item: item[0]):
        known.apply(each, at)
        if with_calls:
            while state(known)[0] != "living" and state(known)[1] == "ready":
                known.mark_replaced(known.view.life.name, at)
        if with_calls and each.instance == "living":
            assert state(known) == ("living", "ready")
        if at > last_late + 2.01 * INTERVAL_SECONDS:
            assert state(known) == ("living", "ready")


def core() -> NodeCore:
    settings = NodeSettings(
        cluster="c", node="n1", service="kassa", zone="a", listen="127.0.0.1:0",
        relays=(), backend="10.0.0.1:80", back_end_listen="127.0.0.1:0",
    )  # fmt: skip
    started = NodeCore(settings, NodeMemory(1), "10.0.0.1:7")
    started.step(events.Started(1), 0.0)
    return started


def test_a_heartbeat_that_is_ignored_is_counted_and_logged() -> None:
    """An acknowledged heartbeat was ignored without any sign of it."""
    node = core()
    node.step(BackEndReported(report("first", 1)), 1.0)
    node.step(BackEndReported(report("second", 1)), 1.1)
    commands = node.step(BackEndReported(report("first", 2)), 1.2)
    found = [each.notice for each in commands if hasattr(each, "notice")]
    assert BackEndReportNotUsed(REPLACED, 1) in found
    assert node.unusable_reports == 1


def test_a_node_goes_by_what_the_back_end_shows() -> None:
    node = core()
    node.step(BackEndReported(report("living", 5)), 1.0)
    node.step(BackEndReported(report("dead", 40)), 1.1)
    node.step(BackEndNotThere("dead", is_replaced=True), 1.2)
    assert node._reports.view.instance == "living"  # noqa: SLF001
