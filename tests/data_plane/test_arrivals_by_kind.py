"""Counts of the sends that reach a back end, by kind, with nested calls on sockets.

Guards against repeats that no log line or metric tells from first sends.
"""

from __future__ import annotations

from tests.data_plane.nested_site import BOUND, NestedSite
from tests.data_plane.virtual_time import run_in_virtual_time

from peppershore.process.node.data.notices import RepeatsArrived

REPORT_SECONDS = 6.0
RATE = 20.0


def test_calls_of_repeated_runs_are_told_from_first_ones() -> None:
    """A repeated run calls its callee once more, which looked like a new call."""

    async def scene() -> None:
        async with NestedSite() as site:
            await site.load(RATE, 1.5 * BOUND.window_seconds)
            site.upper["u1"].fail_next = 1
            await site.load(RATE, 1.0)
            await site.settle()
            upper, lower = site.arrivals("upper"), site.arrivals("lower")
            assert (upper.first, upper.retry, upper.in_repeat) == (80, 1, 0)
            assert (lower.first, lower.retry, lower.in_repeat) == (80, 0, 1)

    run_in_virtual_time(scene())


def test_repeats_are_logged_at_the_node_beside_the_back_end() -> None:
    async def scene() -> None:
        async with NestedSite() as site:
            await site.load(RATE, 1.5 * BOUND.window_seconds)
            site.upper["u1"].fail_next = 1
            await site.load(RATE, REPORT_SECONDS)
            await site.settle()
            told = site.notices("upper", RepeatsArrived)
            assert sum(each.retry for each in told) == 1
            assert {each.service for each in told} == {"upper"}
            nested = site.notices("lower", RepeatsArrived)
            assert sum(each.in_repeat for each in nested) == 1

    run_in_virtual_time(scene())
