"""Asking for a free slot stops where it is in vain, and begins again by itself."""

from __future__ import annotations

from peppershore.request.seeking import ASKS_IN_VAIN, PAUSE_SECONDS, FreeSlotProbing


def in_vain(now: float) -> FreeSlotProbing:
    seeking = FreeSlotProbing()
    for _ in range(ASKS_IN_VAIN):
        assert not seeking.is_in_vain(now)
        seeking.refused(now)
    return seeking


def test_a_few_refusals_in_a_row_stop_the_asking() -> None:
    assert in_vain(5.0).is_in_vain(5.0)


def test_one_asks_again_after_a_while_and_stops_at_its_refusal() -> None:
    seeking = in_vain(5.0)
    later = 5.0 + PAUSE_SECONDS
    assert not seeking.is_in_vain(later)
    seeking.refused(later)
    assert seeking.is_in_vain(later)


def test_a_slot_that_is_granted_begins_it_again() -> None:
    seeking = in_vain(5.0)
    seeking.granted()
    seeking.refused(5.0)
    assert not seeking.is_in_vain(5.0)
