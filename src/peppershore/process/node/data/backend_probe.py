"""Checks by connecting whether the node's local back end accepts connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

PROBE_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
FAILURES_UNTIL_DOWN = 2

STATE_READY = "ready"
STATE_WARMING = "warming"


class BackendProbe:
    """Connects to the back end at intervals; it counts as ready while that succeeds.

    The back end's own reports are not used here, because they lag or mislead.
    """

    def __init__(self, address: str, on_state: Callable[[str], None]) -> None:
        """``address`` is "IP:port"; ``on_state`` is called with each new state."""
        self._address = address
        self._on_state = on_state
        self._state = STATE_WARMING
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start probing."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            self._record_result(await self._connects())
            await asyncio.sleep(PROBE_SECONDS)

    async def _connects(self) -> bool:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, host, int(port)
                )
        except (OSError, TimeoutError, ValueError):
            return False
        transport.close()
        return True

    def _record_result(self, connects: bool) -> None:
        if connects:
            self._failures = 0
            self._change(STATE_READY)
            return
        self._failures += 1
        if self._failures >= FAILURES_UNTIL_DOWN:
            self._change(STATE_WARMING)

    def _change(self, state: str) -> None:
        if state != self._state:
            self._state = state
            self._on_state(state)
