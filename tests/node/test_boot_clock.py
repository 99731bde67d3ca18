"""Every process uses a clock that also counts the time the machine was suspended."""

from __future__ import annotations

import asyncio
import time

import pytest

from peppershore.process import boot_clock
from peppershore.process.boot_clock import BootClockLoop, boot_seconds


def test_the_loop_goes_by_the_clock_that_counts_suspension() -> None:
    async def work() -> tuple[float, float, float]:
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        now = asyncio.get_running_loop().time()
        return before, now, boot_seconds()

    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        before, now, after = runner.run(work())
    assert before <= now <= after


def test_what_fell_due_during_a_suspension_runs_right_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The suspension is simulated: the clock jumps 60 s ahead without a real wait."""
    ahead = 0.0
    monkeypatch.setattr(
        boot_clock, "boot_seconds", lambda: time.clock_gettime(time.CLOCK_BOOTTIME) + ahead
    )

    async def work() -> None:
        nonlocal ahead
        due = asyncio.Event()
        asyncio.get_running_loop().call_later(60.0, due.set)
        ahead = 60.0
        await asyncio.wait_for(due.wait(), 5.0)

    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        runner.run(work())
