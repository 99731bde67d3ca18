"""Callers that repeat requests which crash every back end that runs them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random

from peppershore_lab.soak.back_end import POISON
from peppershore_lab.soak.callers import Callers
from peppershore_lab.soak.configurations import READ_PREFIX

FIRST_SECONDS = 2.0
"""Delay of the first such request, so that other calls are in flight."""

SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.05, 0.5
"""Pause before a caller repeats its request, at any node."""


class PoisonCallers:
    """Sends each of several requests repeatedly, at random nodes."""

    def __init__(self, callers: Sequence[Callers], requests: int, seed: int) -> None:
        """Create the callers; ``run`` starts them."""
        self._callers = callers
        self._requests = requests
        self._random = Random(seed)

    async def run(self, seconds: float) -> None:
        """Send until cancelled; the requests begin one after the other over ``seconds``."""
        async with asyncio.TaskGroup() as group:
            for number in range(self._requests):
                begin = FIRST_SECONDS + number * seconds / self._requests
                group.create_task(self._repeat(f"{READ_PREFIX}{POISON}-{number}", begin))

    async def _repeat(self, path: str, begin: float) -> None:
        await asyncio.sleep(begin)
        while True:
            await self._random.choice(self._callers).send_poison(path)
            pause = self._random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            await asyncio.sleep(pause)
