"""Back ends that answer a good part of their requests with an error for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random

from peppershore_lab.soak.back_end import SoakBackEnd

FAILING_BACK_ENDS = 0.6
"""Share of the back ends that fail at the same time."""

FAILED_REQUESTS = 0.7
SHORTEST_SECONDS, LONGEST_SECONDS = 3.0, 8.0
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.5, 3.0


class Failures:
    """Lets some back ends fail, one period after the other, besides all faults."""

    def __init__(self, back_ends: Sequence[SoakBackEnd], seed: int) -> None:
        """Use a random source of its own, so that the faults of a seed stay the same."""
        self._back_ends = back_ends
        self._random = Random(f"{seed}/failures")

    async def run(self) -> None:
        """Let back ends fail until cancelled; then none fails."""
        random = self._random
        while True:
            await asyncio.sleep(
                random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            )
            count = max(1, round(FAILING_BACK_ENDS * len(self._back_ends)))
            failing = random.sample(list(self._back_ends), count)
            try:
                for back_end in failing:
                    back_end.failed_share = FAILED_REQUESTS
                await asyncio.sleep(random.uniform(SHORTEST_SECONDS, LONGEST_SECONDS))
            finally:
                for back_end in failing:
                    back_end.failed_share = 0.0
