"""A body is prefetched only if a slot is likely to be free when it has arrived."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from peppershore.request.body_prefetch import PREFETCH_BEYOND_SLOTS as AHEAD
from peppershore.request.body_prefetch import BodyPrefetch
from peppershore.request.body_prefetch import BodyPrefetch as BodiesAhead
from peppershore.request.body_transfers import LONG_TRANSFER_SECONDS, takes_long


def test_one_more_body_than_slots_is_fetched() -> None:
    bodies = BodyPrefetch()
    asked = [bodies.begin(held=2, waiting=0, slots=3) for _ in range(4)]
    assert asked == [True, True, False, False]
    bodies.end()
    assert bodies.begin(held=2, waiting=0, slots=3)


def test_queued_calls_count_as_much_as_running_ones() -> None:
    assert not BodyPrefetch().begin(held=3, waiting=1, slots=3)
    assert BodyPrefetch().begin(held=3, waiting=0, slots=3)


@given(st.integers(0, 9), st.integers(0, 9), st.integers(1, 9))
def test_never_more_than_one_beyond_the_slots(held: int, waiting: int, slots: int) -> None:
    bodies = BodiesAhead()
    while bodies.begin(held, waiting, slots):
        assert held + waiting + bodies.coming <= slots + AHEAD


def test_no_body_takes_long_on_a_wide_link() -> None:
    assert not takes_long(10_000_000, 0.0)
    assert not takes_long(None, 0.0)
    assert not takes_long(4_000, 1_000.0)


def test_body_above_a_size_takes_long_on_a_narrow_link() -> None:
    edge = int(1.0 * 125_000 * LONG_TRANSFER_SECONDS)
    assert not takes_long(0, 1.0)
    assert not takes_long(edge, 1.0)
    assert takes_long(edge + 1, 1.0)
    assert takes_long(None, 1.0)
