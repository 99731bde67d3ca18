"""Rate limits that back ends name in their answers, in virtual time.

Guards against a back end in need getting more calls than it takes from all nodes together.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.data_plane.limited_site import (
    RATE_LIMIT,
    URGENT_PATH,
    WORK_SECONDS,
    NeedySite,
)
from tests.data_plane.virtual_time import run_in_virtual_time

RATE = 60.0
LIMIT = 10.0


def test_a_back_end_gets_no_more_calls_than_the_limit_that_it_names() -> None:
    """Nodes ignored the limit, so the back end got as many calls as before."""

    async def scene() -> None:
        async with NeedySite() as site:
            await site.load(RATE, 2.0)
            site.back_ends["k1"].name_limit(str(LIMIT))
            await site.load(RATE, 10.0)
            await site.settle()
            assert site.breaches("k1", LIMIT) == []
            assert len(site.answered()) == len(site.ended)

    run_in_virtual_time(scene())


def test_calls_beyond_the_limits_of_all_back_ends_are_refused_at_once() -> None:
    """Nodes ignored the limits; or held calls that no back end could take in time."""

    async def scene() -> None:
        async with NeedySite(target_latency_milliseconds=600) as site:
            await site.load(RATE, 2.0)
            for back_end in site.back_ends.values():
                back_end.name_limit(str(LIMIT))
            await site.load(RATE, 16.0)
            await site.settle()
            assert site.breaches("k1", LIMIT) == []
            assert site.breaches("k2", LIMIT) == []
            late = [each for each in site.ended if each.sent_at >= 8.0]
            served = [each for each in late if each.answer.status == 200]
            assert len(served) >= 0.85 * 2 * LIMIT * 10.0
            refused = [each for each in late if each.answer.status != 200]
            assert {each.answer.outcome for each in refused} == {"not-run"}
            assert all(int(each.answer.headers["retry-after"]) >= 1 for each in refused)
            held = [each for each in refused if each.ended_at - each.sent_at > 0.05]
            assert len(held) <= 0.1 * len(refused)

    run_in_virtual_time(scene())


def test_urgent_calls_go_first_where_all_back_ends_are_limited() -> None:
    async def scene() -> None:
        async with NeedySite(target_latency_milliseconds=1_000) as site:
            for back_end in site.back_ends.values():
                back_end.name_limit(str(LIMIT))
            await site.load(RATE, 12.0, paths=("/", URGENT_PATH))
            await site.settle()
            urgent, other = (
                [each for each in site.answered() if each.path == path]
                for path in (URGENT_PATH, "/")
            )
            assert len(urgent) >= 3 * len(other)

    run_in_virtual_time(scene())


@pytest.mark.parametrize("status", ["500 Internal Server Error", "404 Not Found"])
def test_a_limit_is_read_from_answers_of_every_status(status: str) -> None:
    async def scene() -> None:
        async with NeedySite() as site:
            await site.load(RATE, 2.0)
            site.back_ends["k1"].status = status
            site.back_ends["k1"].name_limit(str(LIMIT))
            await site.load(RATE, 8.0)
            await site.settle()
            assert site.breaches("k1", LIMIT) == []

    run_in_virtual_time(scene())


def test_a_limit_that_falls_and_ends_is_followed() -> None:
    async def scene() -> None:
        async with NeedySite() as site:
            back_end = site.back_ends["k1"]
            await site.load(RATE, 2.0)
            back_end.name_limit("20")
            await site.load(RATE, 6.0)
            back_end.fields = [(RATE_LIMIT, "4")]
            await site.load(RATE, 12.0)
            fallen = [each for each in back_end.arrivals if 12.5 <= each.at < 20.0]
            assert 0.5 * 4.0 * 7.5 <= len(fallen) <= 1.5 * 4.0 * 7.5 + 5
            back_end.fields = []
            await site.load(RATE, 4.0)
            await site.settle()
            free = [each for each in back_end.arrivals if each.at >= 22.0]
            assert len(free) >= 0.25 * RATE * 2.0

    run_in_virtual_time(scene())


def test_the_limit_outlives_a_restart_of_the_node_beside_the_back_end() -> None:
    """That node alone counts the calls of all others, and had forgotten the limit."""

    async def scene() -> None:
        async with NeedySite() as site:
            await site.load(RATE, 2.0)
            site.back_ends["k1"].name_limit(str(LIMIT))
            for _ in range(6):
                await site.load(RATE, 1.7)
                await site.restart_owner("k1")
            await site.load(RATE, 2.0)
            await site.settle()
            assert site.breaches("k1", LIMIT) == []

    run_in_virtual_time(scene())


@pytest.mark.parametrize("named_after", [0.05, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("rate", [60.0, 240.0])
def test_a_limit_named_while_the_node_beside_was_down_counts_what_was_sent_before(
    rate: float, named_after: float
) -> None:
    """That node had forgotten what it had sent, and took the limit for a new one."""
    limit = rate / 8

    async def scene() -> None:
        async with NeedySite() as site:

            async def name_meanwhile() -> None:
                await site.load(rate, named_after)
                site.back_ends["k1"].name_limit(str(limit))
                await site.load(rate, 1.0 - named_after)

            await site.load(rate, 4.0)
            await site.restart_owner("k1", name_meanwhile)
            await site.load(rate, 8.0)
            await site.settle()
            assert site.breaches("k1", limit) == []

    run_in_virtual_time(scene())


def test_the_limit_holds_for_calls_sent_directly_under_a_loan() -> None:
    """The node beside the back end sees no answers to such calls, and knew no limit."""

    async def scene() -> None:
        async with NeedySite(hop="direct") as site:
            await site.load(RATE, 4.0)
            through_owner = site.owners["k1"].plane.streams_served
            site.back_ends["k1"].name_limit(str(LIMIT))
            await asyncio.sleep(1.2 * WORK_SECONDS)
            assert site.owners["k1"].plane.streams_served == through_owner
            assert site.own("k1").need.rate_limit.rate == LIMIT
            await site.load(RATE, 12.0)
            await site.settle()
            assert site.breaches("k1", LIMIT) == []

    run_in_virtual_time(scene())


def test_another_incarnation_of_the_back_end_starts_without_a_limit() -> None:
    async def scene() -> None:
        async with NeedySite() as site:
            site.back_ends["k1"].name_limit(str(LIMIT))
            await site.load(RATE, 5.0)
            site.back_ends["k1"].fields = []
            site.replace_back_end("k1")
            await asyncio.sleep(0.2)
            now = asyncio.get_running_loop().time()
            await site.load(RATE, 4.0)
            await site.settle()
            free = [each for each in site.back_ends["k1"].arrivals if each.at >= now + 1.0]
            assert len(free) >= 0.25 * RATE * 3.0

    run_in_virtual_time(scene())
