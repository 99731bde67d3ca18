"""Full back ends are avoided for the expected duration of their queue."""

from __future__ import annotations

import pytest
from tests.request.test_shedding_back_ends import _state

from peppershore.connection.messages.calls import OwnerLoad
from peppershore.request.endpoint_state import (
    FAR_FULL_PAUSE_SECONDS,
    FULL_PAUSE_SECONDS,
    LOAD_MAX_AGE_SECONDS,
)

SLOTS = 10
WORK = 0.1
WORK_MICROSECONDS = round(WORK * 1_000_000)


@pytest.mark.parametrize("waiting", [0, 9])
def test_a_full_back_end_is_avoided_until_a_slot_may_be_free(waiting: int) -> None:
    state = _state("k1", "pasila")
    state.note_load(OwnerLoad(SLOTS, waiting, SLOTS, WORK_MICROSECONDS), 0.0, False)
    free_after = (waiting + 1) * WORK / SLOTS
    assert state.refused_for_load(free_after * 0.9)
    assert not state.refused_for_load(free_after * 1.1)


def test_a_full_back_end_of_another_zone_is_avoided_for_longer() -> None:
    state = _state("k1", "vantaa")
    state.note_load(OwnerLoad(SLOTS, 0, SLOTS, WORK_MICROSECONDS), 0.0, True)
    assert state.refused_for_load(FAR_FULL_PAUSE_SECONDS * 0.9)
    assert not state.refused_for_load(FAR_FULL_PAUSE_SECONDS)


def test_a_long_queue_counts_no_longer_than_any_reported_load() -> None:
    state = _state("k1", "pasila")
    state.note_load(OwnerLoad(SLOTS, 10_000, SLOTS, WORK_MICROSECONDS), 0.0, True)
    assert state.refused_for_load(LOAD_MAX_AGE_SECONDS * 0.9)
    assert not state.refused_for_load(LOAD_MAX_AGE_SECONDS)


def test_without_known_work_the_time_depends_on_the_zone() -> None:
    for is_far, seconds in ((False, FULL_PAUSE_SECONDS), (True, FAR_FULL_PAUSE_SECONDS)):
        state = _state("k1", "pasila")
        state.note_load(OwnerLoad(SLOTS, 5, SLOTS), 0.0, is_far)
        assert state.refused_for_load(seconds * 0.9)
        assert not state.refused_for_load(seconds)
