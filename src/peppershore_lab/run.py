"""Runs the lab's own work so that SIGTERM ends it as Ctrl-C does: in order."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

Outcome = TypeVar("Outcome")


def run_to_end(work: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run ``work``; on SIGTERM it is cancelled and cleans up before the end."""

    async def cancellable() -> Outcome:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await work

    return asyncio.run(cancellable())
