"""Back ends that report a need in their answers: a rate limit, or that they leave."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random

from peppershore_lab.soak.back_end import SoakBackEnd

LOWEST_LIMIT, HIGHEST_LIMIT = 0.0, 4.0
SHORTEST_LIMIT_SECONDS, LONGEST_LIMIT_SECONDS = 2.0, 9.0
SHORTEST_LEAVING_SECONDS, LONGEST_LEAVING_SECONDS = 1.0, 5.0
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.2, 2.0
LIMIT_SHARE = 0.6
"""Share of the needs that are rate limits."""


class Needs:
    """Lets up to ``at_once`` back ends at a time report needs, besides all faults."""

    def __init__(self, back_ends: Sequence[SoakBackEnd], at_once: int, seed: int) -> None:
        """Use a random source of its own, so that the faults of a seed stay the same."""
        self._back_ends = back_ends
        self._at_once = at_once
        self._seed = seed

    async def run(self) -> None:
        """Report needs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(self._at_once):
                group.create_task(self._one_after_the_other(number))

    async def _one_after_the_other(self, number: int) -> None:
        random = Random(f"{self._seed}/needs/{number}")
        while True:
            pause = random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            back_end = random.choice(self._back_ends)
            if not back_end.is_needy:
                await _report_need(back_end, random)


async def _report_need(back_end: SoakBackEnd, random: Random) -> None:
    if random.random() < LIMIT_SHARE:
        limit = random.uniform(LOWEST_LIMIT, HIGHEST_LIMIT)
        seconds = random.uniform(SHORTEST_LIMIT_SECONDS, LONGEST_LIMIT_SECONDS)
        await back_end.name_limit_for(limit, seconds)
    else:
        seconds = random.uniform(SHORTEST_LEAVING_SECONDS, LONGEST_LEAVING_SECONDS)
        await back_end.answer_leaving_for(seconds)
