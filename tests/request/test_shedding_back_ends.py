"""A back end that refuses for load is avoided for a while, even in the local zone."""

from __future__ import annotations

import random

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.request.endpoint_state import (
    FIRST_SHED_PAUSE_SECONDS,
    MAX_SHED_PAUSE_SECONDS,
    EndpointState,
)
from peppershore.request.picker import Preference, better_of_two, pick

NEAR = Preference(zone="pasila", spill_over=True, excluded=frozenset())
ONLY_NEAR = Preference(zone="pasila", spill_over=False, excluded=frozenset())
SECONDS = 0.01


class Generator:
    """A seeded random source."""

    def __init__(self) -> None:
        self._random = random.Random(5)

    def below(self, limit: float) -> float:
        return self._random.random() * limit


def _state(node: str, zone: str) -> EndpointState:
    endpoint = Endpoint(
        node=node,
        service="kuitti",
        zone=zone,
        incarnation=1,
        sequence=1,
        state="ready",
        address=node,
        owner_address="",
        slots=20,
        connections=130,
    )
    return EndpointState(endpoint, limit=20, ramp_seconds=0.0, now=0.0)


def _picked(states: list[EndpointState], preference: Preference, now: float) -> str:
    state = pick(states, preference, Generator(), now, better_of_two)
    return "" if state is None else state.endpoint.node


def test_calls_leave_the_zone_while_its_only_back_end_sheds() -> None:
    near, far = _state("near", "pasila"), _state("far", "vantaa")
    assert _picked([near, far], NEAR, 0.0) == "near"
    near.observe(SECONDS, "shed", 0.0)
    assert _picked([near, far], NEAR, 0.0) == "far"
    assert _picked([near, far], NEAR, FIRST_SHED_PAUSE_SECONDS) == "near"


def test_pause_doubles_up_to_a_bound_and_ends_with_a_good_answer() -> None:
    near, far = _state("near", "pasila"), _state("far", "vantaa")
    for _ in range(12):
        near.observe(SECONDS, "shed", 0.0)
    assert _picked([near, far], NEAR, MAX_SHED_PAUSE_SECONDS - 0.01) == "far"
    assert _picked([near, far], NEAR, MAX_SHED_PAUSE_SECONDS) == "near"
    near.observe(SECONDS, "good", 2.0)
    near.observe(SECONDS, "shed", 2.0)
    assert _picked([near, far], NEAR, 2.0 + FIRST_SHED_PAUSE_SECONDS) == "near"


def test_if_all_back_ends_shed_the_near_one_is_used_first() -> None:
    near, far = _state("near", "pasila"), _state("far", "vantaa")
    for state in (near, far):
        state.observe(SECONDS, "shed", 0.0)
    assert _picked([near, far], NEAR, 0.0) == "near"


def test_without_spill_over_a_shedding_back_end_is_still_used() -> None:
    near, far = _state("near", "pasila"), _state("far", "vantaa")
    near.observe(SECONDS, "shed", 0.0)
    assert _picked([near, far], ONLY_NEAR, 0.0) == "near"
    assert _picked([far], ONLY_NEAR, 0.0) == ""
