"""Back ends are chosen by expected answer time, other zones by the gain as well."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import pytest

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.connection.messages.endpoints import Endpoint
from peppershore.request.admission import Admission, Dispatch
from peppershore.request.classification import CROSS_ZONE_GAIN_SHARE
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings

SLOTS = 10
USUAL = 0.1
TARGET_LATENCY = 0.4
CROSSING = TARGET_LATENCY * CROSS_ZONE_GAIN_SHARE
SETTINGS = ServiceSettings(slow_start_milliseconds=0)


class Generator:
    """A seeded random source."""

    def __init__(self) -> None:
        self._random = random.Random(5)

    def below(self, limit: float) -> float:
        return self._random.random() * limit


def _endpoint(node: str, zone: str) -> Endpoint:
    return Endpoint(
        node=node,
        service="kuitti",
        zone=zone,
        incarnation=1,
        sequence=1,
        state="ready",
        address=node,
        owner_address=f"{node}-owner",
        slots=2 * SLOTS,
        connections=130,
    )


class AdmissionHarness:
    """An admission in zone ``a`` whose back ends report the duration of their work."""

    def __init__(self, **zones: str) -> None:
        self.admission = Admission("kuitti", SETTINGS, "a", Generator())
        endpoints = tuple(_endpoint(node, zone) for node, zone in zones.items())
        self.admission.use_endpoints(endpoints, 0.0)
        self._numbers = itertools.count(1)

    def report_work(self, **seconds: float) -> None:
        """Report the work of a call for each node in turn, often enough to be learned."""
        for _ in range(40):
            for node, each in seconds.items():
                load = OwnerLoad(0, 0, SLOTS, round(each * 1_000_000))
                self.admission.note_load(node, load, "read", 0.0)

    def chosen(
        self, crossing: float = CROSSING, now: float = 0.0, prefers_far: bool = False
    ) -> str:
        ticket = Ticket(
            next(self._numbers),
            "normal",
            now + 10.0,
            route="read",
            crossing_seconds=crossing,
            prefers_far=prefers_far,
        )
        decision = self.admission.offer(ticket, now)
        assert isinstance(decision, Dispatch)
        self.admission.finished(decision, USUAL, "good", now)
        return decision.endpoint.node

    def shares(self, calls: int = 200) -> Counter[str]:
        return Counter(self.chosen() for _ in range(calls))


def test_a_quicker_back_end_of_the_zone_takes_the_calls() -> None:
    harness = AdmissionHarness(slow="a", quick="a")
    harness.report_work(quick=USUAL, slow=2 * USUAL)
    assert harness.shares()["slow"] == 0


def test_a_quicker_back_end_under_high_load_leaves_calls_to_others() -> None:
    harness = AdmissionHarness(slow="a", quick="a")
    harness.report_work(quick=USUAL, slow=1.2 * USUAL)
    state = harness.admission.state("quick")
    assert state is not None
    state.in_flight = SLOTS
    assert harness.shares()["quick"] == 0


def test_another_zone_is_used_if_faster_by_more_than_the_crossing_cost() -> None:
    harness = AdmissionHarness(near="a", far="b")
    harness.report_work(far=USUAL, near=USUAL + 2 * CROSSING)
    assert harness.shares()["near"] == 0


@pytest.mark.parametrize("slower", [0.0, 0.5])
def test_calls_stay_in_the_zone_if_the_gain_is_smaller(slower: float) -> None:
    harness = AdmissionHarness(near="a", far="b")
    harness.report_work(far=USUAL, near=USUAL + slower * CROSSING)
    assert harness.shares()["far"] == 0


def test_without_a_target_latency_calls_stay_in_the_zone() -> None:
    harness = AdmissionHarness(near="a", far="b")
    harness.report_work(far=USUAL, near=5 * USUAL)
    assert harness.chosen(crossing=float("inf")) == "near"


def test_a_back_end_that_was_slow_is_tried_again_later() -> None:
    harness = AdmissionHarness(near="a", far="b")
    harness.report_work(far=USUAL, near=4 * USUAL)
    assert harness.chosen(now=0.1) == "far"
    assert harness.chosen(now=60.0) == "near"


def test_has_besides_counts_only_back_ends_that_can_accept_a_call() -> None:
    """Otherwise a call would circulate among the back ends that refused it."""
    harness = AdmissionHarness(asked="a", ejected="a")
    state = harness.admission.state("ejected")
    assert state is not None
    asked = frozenset({"asked"})
    assert harness.admission.has_besides(asked, 0.0)
    state.eject(0.0)
    assert not harness.admission.has_besides(asked, 0.5)
    assert harness.admission.has_besides(asked, 1.5)
    state.in_flight = state.limit
    assert not harness.admission.has_besides(asked, 1.5)


def test_a_call_that_found_its_zone_full_probes_another_zone() -> None:
    harness = AdmissionHarness(near="a", far="b")
    assert harness.chosen() == "near"
    assert harness.chosen(prefers_far=True) == "far"
    assert AdmissionHarness(near="a", other="a").chosen(prefers_far=True) in {
        "near",
        "other",
    }
