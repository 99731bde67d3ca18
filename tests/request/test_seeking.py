"""Probing for a free slot stops after refusals in a row, and resumes by itself."""

from __future__ import annotations

from peppershore.request.free_slot_probing import (
    MAX_REFUSED_PROBES,
    PAUSE_SECONDS,
    FreeSlotProbing,
)


def after_refusals(now: float) -> FreeSlotProbing:
    probing = FreeSlotProbing()
    for _ in range(MAX_REFUSED_PROBES):
        assert not probing.is_suspended(now)
        probing.refused(now)
    return probing


def test_a_few_refusals_in_a_row_stop_the_probing() -> None:
    assert after_refusals(5.0).is_suspended(5.0)


def test_one_call_probes_again_later_and_its_refusal_stops_probing() -> None:
    probing = after_refusals(5.0)
    later = 5.0 + PAUSE_SECONDS
    assert not probing.is_suspended(later)
    probing.refused(later)
    assert probing.is_suspended(later)


def test_a_granted_slot_resumes_probing() -> None:
    probing = after_refusals(5.0)
    probing.granted()
    probing.refused(5.0)
    assert not probing.is_suspended(5.0)
