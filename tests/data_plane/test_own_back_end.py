"""The own back end as its reports tell: its lives, its slots, its warming."""

from __future__ import annotations

import asyncio

import pytest
from tests.data_plane.stage import endpoint, run

from peppershore.process.node.back_end_reports import STATE_READY, BackEndView
from peppershore.process.node.data.own_backend import OwnBackend
from peppershore.process.randomness import Randomness
from peppershore.version.model import ServiceSettings

SLOTS = 10


@pytest.mark.parametrize(("warming", "free"), [(0, SLOTS), (60_000, 1)])
def test_a_warm_back_end_gets_all_its_calls_from_a_node_that_has_just_started(
    warming: int, free: int
) -> None:
    async def scene() -> None:
        known = endpoint("127.0.0.1:1", slots=SLOTS)
        own = OwnBackend(known, ServiceSettings(), Randomness(1))
        own.use_view(BackEndView("i-1", STATE_READY, SLOTS, warming), 1.0)
        own.use_settings(ServiceSettings())
        state = own.admission.state(known.node)
        assert state is not None
        assert state.slots(now()) == free
        own.close()

    run(scene())


def test_another_life_warms_up_anew_and_keeps_the_calls_under_way() -> None:
    async def scene() -> None:
        known = endpoint("127.0.0.1:1", slots=SLOTS)
        own = OwnBackend(known, ServiceSettings(), Randomness(1))
        own.use_view(BackEndView("i-1", STATE_READY, SLOTS, 0), 1.0)
        before = own.admission.state(known.node)
        assert before is not None
        before.in_flight = 3
        own.use_view(BackEndView("i-2", STATE_READY, SLOTS, 60_000), 1.0)
        after = own.admission.state(known.node)
        assert after is not None
        assert (after.slots(now()), after.in_flight) == (1, 3)
        own.use_view(BackEndView("i-2", STATE_READY, SLOTS, 50_000), 1.0)
        assert own.admission.state(known.node) is after
        own.close()

    run(scene())


def now() -> float:
    return asyncio.get_running_loop().time()
