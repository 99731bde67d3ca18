"""Back ends that say in their answers that they are leaving, in virtual time.

Guards against calls that begin after a node was told and still reach the back end.
"""

from __future__ import annotations

import pytest
from tests.data_plane.limited_site import LEAVING, NeedySite
from tests.data_plane.virtual_time import run_in_virtual_time

RATE = 60.0
DRAIN_SECONDS = 2.0


def late_arrivals(site: NeedySite, back_end: str) -> list[str]:
    """Name the requests that reached a back end though they began too late."""
    told = site.told(back_end, LEAVING)
    assert told, "no caller was told that the back end is leaving"
    sent_at = {each.request: each.sent_at for each in site.ended}
    return [
        each.request
        for each in site.back_ends[back_end].arrivals
        if each.node in told and sent_at[each.request] > told[each.node] + DRAIN_SECONDS
    ]


def test_a_back_end_whose_answers_say_that_it_leaves_gets_no_later_call() -> None:
    """Nodes went by heartbeats alone, so calls went on until the back end ended."""

    async def scene() -> None:
        async with NeedySite() as site:
            await site.load(RATE, 1.0)
            site.back_ends["k1"].say_leaving()
            await site.load(RATE, 5.0)
            await site.settle()
            assert late_arrivals(site, "k1") == []
            assert len(site.answered()) == len(site.ended)

    run_in_virtual_time(scene())


@pytest.mark.parametrize("times", [1, 4])
def test_a_leaving_back_end_gets_no_call_though_its_node_restarted(times: int) -> None:
    """The node beside it had forgotten, and announced the back end as ready again."""

    async def scene() -> None:
        async with NeedySite() as site:
            await site.load(RATE, 1.0)
            site.back_ends["k1"].say_leaving()
            await site.load(RATE, 3.0)
            for _ in range(times):
                await site.restart_owner("k1")
                await site.load(RATE, 1.0)
            await site.settle()
            assert late_arrivals(site, "k1") == []

    run_in_virtual_time(scene())


def test_a_leaving_back_end_gets_no_direct_call_under_a_loan() -> None:
    """The node beside it sees no answers to such calls, and knew of no leaving."""

    async def scene() -> None:
        async with NeedySite(hop="direct") as site:
            await site.load(RATE, 4.0)
            site.back_ends["k1"].say_leaving()
            await site.load(RATE, 5.0)
            await site.settle()
            assert late_arrivals(site, "k1") == []

    run_in_virtual_time(scene())


def test_calls_are_refused_at_once_where_every_back_end_has_left() -> None:
    async def scene() -> None:
        async with NeedySite() as site:
            await site.load(RATE, 1.0)
            for back_end in site.back_ends.values():
                back_end.say_leaving()
            await site.load(RATE, 5.0)
            await site.settle()
            assert late_arrivals(site, "k1") == late_arrivals(site, "k2") == []
            last = [each for each in site.ended if each.sent_at >= 4.0]
            assert {each.answer.outcome for each in last} == {"not-run"}
            assert all(each.ended_at - each.sent_at < 0.1 for each in last)

    run_in_virtual_time(scene())


def test_a_later_incarnation_at_the_address_gets_calls_again() -> None:
    async def scene() -> None:
        async with NeedySite() as site:
            await site.load(RATE, 1.0)
            site.back_ends["k1"].say_leaving()
            await site.load(RATE, 3.0)
            before = len(site.back_ends["k1"].arrivals)
            site.back_ends["k1"].fields = []
            site.replace_back_end("k1")
            await site.load(RATE, 3.0)
            await site.settle()
            assert len(site.back_ends["k1"].arrivals) - before >= 0.25 * RATE * 3.0

    run_in_virtual_time(scene())


def test_calls_return_to_a_back_end_without_a_name_once_another_may_be_there() -> None:
    """Nothing but an answer tells that a process without heartbeats was replaced."""

    async def scene() -> None:
        async with NeedySite(named=False) as site:
            await site.load(RATE, 1.0)
            site.back_ends["k1"].say_leaving()
            await site.load(RATE, 4.0)
            assert late_arrivals(site, "k1") == []
            site.back_ends["k1"].fields = []
            before = len(site.back_ends["k1"].arrivals)
            await site.load(5.0, 40.0)
            await site.settle()
            assert len(site.back_ends["k1"].arrivals) > before

    run_in_virtual_time(scene())


def test_a_back_end_without_a_node_of_its_own_is_left_by_each_node() -> None:
    async def scene() -> None:
        async with NeedySite(owned=False) as site:
            await site.load(RATE, 1.0)
            site.back_ends["k1"].say_leaving()
            await site.load(RATE, 5.0)
            await site.settle()
            assert late_arrivals(site, "k1") == []

    run_in_virtual_time(scene())
