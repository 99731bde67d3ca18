"""Rate limits that back ends name in their answers, in virtual time.

Guards against a back end in need getting more calls than it takes from all nodes together.
"""

from __future__ import annotations

from tests.data_plane.limited_site import NeedySite
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

    run_in_virtual_time(scene())
