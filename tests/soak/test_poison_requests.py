"""A request that ends every back end that runs it, and comes again at any node.

Seen: all back ends of a service ended one after the other, 15 under one request and 13
under another, each again seconds after it was back; nobody else of the service was served.
How: the request ran, its back end ended, its node sent it on to the next one, which ended
too; its caller was told 502 and came again, with another id, at another node.
Cause: what ended a back end was known to the node beside it alone, under the id of that
one try; every node decided on every try as on a new request.
Proof: the record's back ends end in waves of one request each, and this test, where one
request alone goes round five nodes: 29 ends in 18 s before the mend.
"""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from peppershore.command.main import main
from peppershore_lab.soak.observations import Disturbance
from peppershore_lab.soak.runner import (
    POLL_SECONDS,
    START_SECONDS,
    Soak,
    SoakPlan,
    run_soak,
)
from peppershore_lab.soak.settings import OPERATOR_PORT

pytestmark = pytest.mark.xdist_group("soak")


def test_a_request_that_ends_back_ends_is_soon_held(tmp_path: Path) -> None:
    plan = SoakPlan(seed=30, seconds=20.0, nodes=5, poison=1, strikes=False)
    result, _ = asyncio.run(run_soak(plan, tmp_path))
    assert result.poison >= 3
    assert result.answered > 0
    assert result.violations == ()


class KilledWhole(Soak):
    """All processes are killed at once while a request is held, and start again."""

    ENDS_BEFORE = 3
    AFTER_SECONDS = 6.0
    listed: list[dict[str, object]]

    async def _strike(self) -> None:
        async with asyncio.timeout(START_SECONDS):
            while len(self._record.poison) < self.ENDS_BEFORE:  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(1.0)
        begun_at = time.monotonic()
        for machine in self._site.machines:
            machine.busy = True
            machine.process.kill()
        for machine in self._site.machines:
            machine.process.start()
            machine.busy = False
        async with asyncio.timeout(START_SECONDS):
            for node in self._site.nodes:
                await self._until_served(node)
        ended_at = time.monotonic()
        for machine in self._site.machines:
            kill = Disturbance("kill-all", machine.name, begun_at, ended_at, planned=False)
            self._record.disturbances.append(kill)
        self.listed = await asyncio.to_thread(self._list)
        await asyncio.sleep(self.AFTER_SECONDS)

    def _list(self) -> list[dict[str, object]]:
        hub = f"{self._site.hubs[1].host}:{OPERATOR_PORT}"
        arguments = ["quarantine", "list", "--at", hub, "--json"]
        return json.loads(CliRunner().invoke(main, arguments).stdout)["requests"]


def test_a_held_request_is_held_after_all_processes_died(tmp_path: Path) -> None:
    plan = SoakPlan(seed=30, nodes=5, poison=1)
    soak = KilledWhole(plan, tmp_path)
    result = asyncio.run(soak.run())
    assert result.poison == KilledWhole.ENDS_BEFORE
    assert result.violations == ()
    held = [each for each in soak.listed if each["standing"] == "held"]
    assert len(held) == 1


def test_nothing_else_is_held_while_everything_else_fails_too(tmp_path: Path) -> None:
    """The seed on which a back end ended while it was leaving, and came back."""
    plan = SoakPlan(seed=5006, seconds=12.0, nodes=6, poison=2)
    result, _ = asyncio.run(run_soak(plan, tmp_path))
    assert result.poison >= 3
    assert result.violations == ()
