"""More large answers than links carry: what fits is in time, small ones are not delayed.

Guards against overload without admission control, where all answers share too little
capacity equally. Five machines with links of 6 Mbit/s were asked for 54 Mbit/s of large
answers. Each sender sent as fast as its peers accepted, and nothing counted what a link
already had to carry. Small answers waited 266 to 473 ms behind the large ones, callers held
their slots meanwhile, and all large answers were late. The model shows this for each
strategy that accepts all answers. Accepting only as many as can complete in time, and
sending them one after the other, uses the links' capacity.
"""

from __future__ import annotations

from statistics import mean

import pytest
from benchmarks.large_answers import LargeAnswers, Site, Way

from peppershore.request.back_ends.link_room import LINK_QUEUE_SECONDS, PIECE_SECONDS

SEEDS = (1, 2, 3)
CARRIED = 0.5
"""Share of the large answers that the links carry besides the small ones: 27 of 54
Mbit/s."""

CLOSE = 0.94


def _simulate_burst(site: Site) -> tuple[float, float, float]:
    """Return the shares in time before and after a burst, and the share that was late.

    The burst has twice the calls for 3 s; "after" begins 2 s after its end.
    """
    before, after, late = [], [], []
    for seed in SEEDS:
        model = LargeAnswers(site, seed)
        model.load(1.0, 0.0, 15.0)
        model.load(1.0, 15.0, 18.0)
        model.load(1.0, 15.0, 30.0)
        model.clock.run(40.0)
        before.append(model.in_aim(3.0, 15.0))
        after.append(model.in_aim(20.0, 28.0))
        late.append(model.late(3.0, 28.0))
        assert model.small_wait(1.0) <= LINK_QUEUE_SECONDS + PIECE_SECONDS
    return mean(before), mean(after), mean(late)


def test_answers_within_link_capacity_are_in_time_and_a_burst_passes() -> None:
    before, after, late = _simulate_burst(Site())
    assert before >= CLOSE * CARRIED
    assert after >= CLOSE * CARRIED
    assert late <= 0.02


@pytest.mark.parametrize("way", ["at once", "shared", "earliest"])
def test_without_admission_all_answers_are_late(way: Way) -> None:
    model = LargeAnswers(Site(way=way), 1)
    model.load(1.0, 0.0, 15.0)
    model.clock.run(30.0)
    assert model.in_aim(5.0, 15.0) <= 0.05


@pytest.mark.parametrize("megabits", [1.0, 3.9, 6.0])
def test_small_answers_are_not_delayed_on_any_link(megabits: float) -> None:
    site = Site(
        link_megabits=megabits,
        large_a_second=12.0 * megabits,
        small_a_second=40.0,
        aim_seconds=3.0,
        deadline_seconds=6.0,
    )
    model = LargeAnswers(site, 1)
    model.load(1.0, 0.0, 15.0)
    model.clock.run(30.0)
    assert model.small_wait(0.99) <= LINK_QUEUE_SECONDS + PIECE_SECONDS


def test_no_answer_is_refused_while_links_have_capacity() -> None:
    model = LargeAnswers(Site(large_a_second=20.0), 1)
    model.load(1.0, 0.0, 15.0)
    model.clock.run(30.0)
    assert model.in_aim(0.0, 15.0) >= 0.99
