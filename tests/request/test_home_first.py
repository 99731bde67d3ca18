"""The local back end of the caller's node is preferred while it has a free slot."""

from __future__ import annotations

import msgspec
from tests.request.test_shedding_back_ends import _state

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.process.randomness import Randomness
from peppershore.request.endpoint_state import EndpointState
from peppershore.request.picker import Preference, better_of_two, pick

SLOTS = 3
PREFERENCE = Preference("pasila", True, frozenset(), home="home")


def _states(home_running: int) -> list[EndpointState]:
    states = [_state(name, "pasila") for name in ("home", "k1", "k2", "k3")]
    states[0].note_load(OwnerLoad(home_running, 0, SLOTS, 1_000), 0.0, False)
    return states


def _share_of_home(home_running: int, preference: Preference = PREFERENCE) -> float:
    """Return the share of calls that go to the local back end; all of them end at once."""
    random = Randomness(1)
    picked = [
        pick(_states(home_running), preference, random, 0.0, better_of_two)
        for _ in range(100)
    ]
    names = [each.endpoint.node for each in picked if each is not None]
    assert len(names) == 100
    return names.count("home") / 100


def test_local_back_end_gets_every_call_while_a_slot_is_free() -> None:
    assert _share_of_home(SLOTS - 1) == 1.0


def test_without_a_free_slot_others_take_the_calls() -> None:
    assert _share_of_home(SLOTS) == 0.0


def test_a_call_that_failed_there_goes_elsewhere() -> None:
    excluded = msgspec.structs.replace(PREFERENCE, excluded=frozenset({"home"}))
    assert _share_of_home(0, excluded) == 0.0


def test_a_node_without_a_local_back_end_distributes_its_calls() -> None:
    elsewhere = msgspec.structs.replace(PREFERENCE, home="another")
    assert _share_of_home(0, elsewhere) < 1.0
