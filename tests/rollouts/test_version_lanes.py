"""Which back ends calls go to while a service's software is rolled out."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest
from tests.data_plane.stage import endpoint

from peppershore.process.randomness import Randomness
from peppershore.request.admission import Admission, Dispatch
from peppershore.request.outcome import NotRun
from peppershore.request.version_routing import VersionGroup
from peppershore.request.waiting import Ticket
from peppershore.version.model import ServiceSettings
from peppershore.version.rollout import ALL_CALLS

OLD, NEW = ("o1", "o2", "o3", "o4"), ("n1", "n2", "n3", "n4", "n5", "n6")
SHARE = 1_000
DRAWS = 4_000


def _admission(
    state: str, share: int = SHARE, old: tuple[str, ...] = OLD, slots: int = 20
) -> Admission:
    settings = msgspec.convert(
        {
            "rollout_version": "v2",
            "rollout_state": state,
            "rollout_share": share,
            "slow_start_milliseconds": 0,
        },
        ServiceSettings,
    )
    admission = Admission("kassa", settings, "pasila", Randomness(1))
    versions = dict.fromkeys(old, "v1") | dict.fromkeys(NEW, "v2")
    endpoints = tuple(
        msgspec.structs.replace(endpoint("", node, node, slots), version=version)
        for node, version in versions.items()
    )
    admission.use_endpoints(endpoints, 0.0)
    return admission


def _calls_by_node(admission: Admission, draws: int = DRAWS) -> Counter[str]:
    """Return how many calls each back end gets if every call ends at once."""
    found: Counter[str] = Counter()
    for number in range(draws):
        ticket = Ticket(number, "normal", 9.0, lane=admission.choose_version_group())
        decision = admission.offer(ticket, 0.0)
        if isinstance(decision, Dispatch):
            found[decision.endpoint.node] += 1
            admission.finished(decision, 0.0, None, 0.0)
    return found


def test_the_share_goes_to_few_of_the_new_ones() -> None:
    found = _calls_by_node(_admission("running"))
    new = {node: count for node, count in found.items() if node in NEW}
    assert sum(new.values()) / DRAWS == pytest.approx(SHARE / ALL_CALLS, abs=0.02)
    assert len(new) == 3


def test_half_of_the_calls_go_to_all_back_ends_of_the_new_version() -> None:
    found = _calls_by_node(_admission("running", ALL_CALLS // 2))
    assert sum(found[node] for node in NEW) / DRAWS == pytest.approx(0.5, abs=0.03)
    assert set(found) == {*OLD, *NEW}


@pytest.mark.parametrize(
    ("state", "share", "nodes"),
    [
        ("running", ALL_CALLS, set(NEW)),
        ("completed", ALL_CALLS, set(NEW)),
        ("rolled_back", 0, set(OLD)),
        ("", 0, {*OLD, *NEW}),
    ],
)
def test_a_finished_roll_out_leaves_one_version(
    state: str, share: int, nodes: set[str]
) -> None:
    assert set(_calls_by_node(_admission(state, share))) == nodes


@pytest.mark.parametrize("state", ["running", "rolled_back"])
def test_no_call_of_the_old_version_goes_over_for_want_of_it(state: str) -> None:
    """A refusal costs one caller; a moved call gives a bad version more than its share."""
    admission = _admission(state, old=())
    refused = admission.offer(Ticket(1, "normal", 9.0, lane="old"), 0.0)
    assert isinstance(refused, NotRun)
    assert refused.reason == "nobody-ready"
    assert not admission.has_besides(frozenset(), 0.0, lane="old")


def test_calls_of_the_new_version_may_move_to_the_old_one() -> None:
    admission = _admission("running", slots=1)
    lane: VersionGroup = "new"
    taken = [admission.offer(Ticket(n, "normal", 9.0, lane=lane), 0.0) for n in range(4)]
    nodes = [each.endpoint.node for each in taken if isinstance(each, Dispatch)]
    assert [node in NEW for node in nodes] == [True, True, True, False]


def test_without_back_ends_of_a_completed_version_the_others_are_used() -> None:
    settings = msgspec.convert(
        {"rollout_version": "v9", "rollout_state": "completed"}, ServiceSettings
    )
    admission = _admission("completed")
    admission.use_settings(settings)
    assert set(_calls_by_node(admission)) == {*OLD, *NEW}
