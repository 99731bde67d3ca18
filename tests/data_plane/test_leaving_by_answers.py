"""Back ends that say in their answers that they are leaving, in virtual time.

Guards against calls that begin after a node was told and still reach the back end.
"""

from __future__ import annotations

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
