"""Back ends that answer some of their requests twice for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random

from peppershore_lab.soak.back_end import SoakBackEnd

ANSWERING_TWICE = 0.75
"""Share of the back ends that answer twice at the same time."""

SHORTEST_SECONDS, LONGEST_SECONDS = 3.0, 8.0
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.2, 1.5


class AnsweringTwice:
    """Lets some back ends answer twice, one period after the other, besides all faults."""

    def __init__(self, back_ends: Sequence[SoakBackEnd], seed: int) -> None:
        """Use a random source of its own, so that the faults of a seed stay the same."""
        self._back_ends = back_ends
        self._random = Random(f"{seed}/answering-twice")

    async def run(self) -> None:
        """Let back ends answer twice until cancelled; then none does."""
        random = self._random
        while True:
            await asyncio.sleep(
                random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            )
            count = max(1, round(ANSWERING_TWICE * len(self._back_ends)))
            chosen = random.sample(list(self._back_ends), count)
            try:
                for back_end in chosen:
                    back_end.answers_twice = True
                await asyncio.sleep(random.uniform(SHORTEST_SECONDS, LONGEST_SECONDS))
            finally:
                for back_end in chosen:
                    back_end.answers_twice = False
