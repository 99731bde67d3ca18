"""Repeats at the back ends of a service, over all nodes, against the bound, on sockets.

Guards against parts of a bound that sum up to more than the bound: each node held its own,
counted its own retries alone, and forgot them when it ended.
"""

from __future__ import annotations

import pytest
from tests.data_plane.nested_site import (
    BOUND,
    LOWER,
    UPPER,
    NestedBackEnd,
    NestedSite,
)
from tests.data_plane.virtual_time import run_in_virtual_time

RATE = 60.0
SECONDS = 2.5 * BOUND.window_seconds


def fail(back_ends: dict[str, NestedBackEnd], share: float) -> None:
    for back_end in back_ends.values():
        back_end.fail_share = share


def test_calls_of_repeated_runs_count_as_repeats_of_the_service_called() -> None:
    """Each layer repeated, and the calls of a repeated run passed for first ones."""

    async def scene() -> None:
        async with NestedSite() as site:
            await site.load(RATE, SECONDS)
            fail(site.lower, 0.5)
            await site.load(RATE, SECONDS)
            await site.settle()
            assert site.record.breaches(LOWER) == []
            assert site.record.breaches(UPPER) == []
            assert site.record.repeats(LOWER) > 0

    run_in_virtual_time(scene())


@pytest.mark.parametrize("times", [1, 2, 4])
def test_nodes_that_restart_do_not_renew_the_budget(times: int) -> None:
    """A node that started again had its whole part of the bound once more."""

    async def scene() -> None:
        async with NestedSite(edges=4, uppers=4, lowers=1) as site:
            await site.load(RATE, SECONDS)
            fail(site.upper, 0.9)
            await site.load(RATE, BOUND.window_seconds / 2)
            for _ in range(times):
                await site.restart(*site.nodes)
                await site.load(RATE, BOUND.window_seconds / 2 / times)
            await site.load(RATE, BOUND.window_seconds)
            await site.settle()
            assert site.record.breaches(UPPER) == []
            assert site.record.repeats(UPPER) > 0

    run_in_virtual_time(scene())


def test_nodes_that_know_few_back_ends_do_not_share_the_slack_among_these() -> None:
    """The slack was divided by the nodes known at the moment, also while these were few."""

    async def scene() -> None:
        async with NestedSite(edges=6, uppers=6, lowers=1) as site:
            await site.load(RATE, SECONDS)
            fail(site.upper, 0.9)
            site.announce(known_share=1 / 3)
            await site.load(RATE, SECONDS)
            await site.settle()
            assert site.record.breaches(UPPER) == []
            assert site.record.repeats(UPPER) > 0

    run_in_virtual_time(scene())


def test_nodes_that_start_beside_few_known_back_ends_do_not_take_the_whole_slack() -> None:
    async def scene() -> None:
        async with NestedSite(edges=6, uppers=6, lowers=1) as site:
            await site.load(RATE, SECONDS)
            fail(site.upper, 0.9)
            await site.restart(*site.nodes, known_share=1 / 3)
            await site.load(RATE, BOUND.window_seconds)
            site.announce()
            await site.load(RATE, BOUND.window_seconds)
            await site.settle()
            assert site.record.breaches(UPPER) == []

    run_in_virtual_time(scene())


def test_repeats_that_waited_for_a_slot_do_not_arrive_beyond_the_bound() -> None:
    """A repeat counted when it was decided, though it arrived a window later."""

    async def scene() -> None:
        async with NestedSite(edges=4, uppers=3, lowers=1, slots=6) as site:
            await site.load(RATE, SECONDS)
            fail(site.upper, 0.6)
            for _ in range(3):
                for back_end in site.upper.values():
                    back_end.stand_still()
                await site.load(RATE, BOUND.window_seconds * 0.7)
                for back_end in site.upper.values():
                    back_end.go_on()
                await site.load(RATE, BOUND.window_seconds * 0.7)
            await site.settle()
            assert site.record.breaches(UPPER) == []

    run_in_virtual_time(scene())


def test_a_service_with_few_requests_can_repeat_a_read() -> None:
    """Parts of the slack divided among all nodes were each less than one repeat."""

    async def scene() -> None:
        async with NestedSite(edges=12, uppers=3, lowers=1) as site:
            await site.load(2.0, SECONDS)
            site.upper["u1"].fail_next = 1
            site.upper["u2"].fail_next = 1
            await site.load(2.0, SECONDS)
            await site.settle()
            assert site.served() == len(site.answers)

    run_in_virtual_time(scene())


def test_a_run_whose_own_call_failed_is_not_repeated() -> None:
    """Each layer repeated, so one fault below got the product of all their attempts."""

    async def scene() -> None:
        async with NestedSite() as site:
            await site.load(RATE, SECONDS)
            fail(site.lower, 1.0)
            await site.load(10.0, 1.0)
            await site.settle()
            assert site.record.repeats(UPPER) == 0
            assert 0 < site.record.repeats(LOWER) <= 20
            assert {each.status for each in site.answers[-10:]} == {500}

    run_in_virtual_time(scene())


def test_a_run_that_fails_itself_is_repeated_though_it_made_a_call() -> None:
    async def scene() -> None:
        async with NestedSite() as site:
            await site.load(RATE, SECONDS)
            site.upper["u1"].fail_next = 2
            await site.load(RATE, 1.0)
            await site.settle()
            assert site.record.repeats(UPPER) == 2
            assert site.served() == len(site.answers)

    run_in_virtual_time(scene())
