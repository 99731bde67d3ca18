"""An event loop with real sockets whose clock jumps to the next timer when all is idle.

Scenes of many seconds run in a fraction of them, and how fast the machine is does not
show in their times.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

DELIVERY_SECONDS = 0.001
"""Real time given to bytes on loopback before the clock jumps."""


class _JumpingSelector(selectors.DefaultSelector):
    """Waits in virtual time: reports what is ready, or adds the timeout to ``now``."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if ready or timeout <= 0:
            return ready
        ready = super().select(min(timeout, DELIVERY_SECONDS))
        if not ready:
            self.now += timeout
        return ready


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_in_virtual_time(work: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        runner.run(work)
