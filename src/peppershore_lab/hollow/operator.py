"""Submits edits of a scale run to the control group and notes when each was accepted."""

from __future__ import annotations

import asyncio
import time

from returns.result import Failure

from peppershore.command.client import ControlGroup, ask
from peppershore.connection.messages.operators import EditAnswered, SubmitEdit
from peppershore.process.settings import PeerReplica
from peppershore.version.model import Edit, EditAccepted
from peppershore_lab.hollow.layout import ChangePlan, PlannedChange
from peppershore_lab.hollow.measure import AcceptedChange

EDIT_TIMEOUT_SECONDS = 30.0


class ScaleOperator:
    """An operator that makes planned changes at a set rate, without waiting."""

    def __init__(self, replicas: tuple[PeerReplica, ...]) -> None:
        """Speak to these replicas."""
        addresses = tuple(replica.address for replica in replicas)
        self._group = ControlGroup(addresses, EDIT_TIMEOUT_SECONDS)

    async def submit(self, edit: Edit) -> int:
        """Submit one edit; give its version."""
        answer = await ask(self._group, SubmitEdit(edit), EditAnswered)
        assert not isinstance(answer, Failure), answer.failure()
        outcome = answer.unwrap().outcome
        assert isinstance(outcome, EditAccepted), outcome
        return outcome.version

    async def change(self, planned: PlannedChange) -> AcceptedChange:
        """Submit a planned change; note when it was sent and when accepted."""
        submitted_at = time.monotonic()
        version = await self.submit(planned.edit)
        return AcceptedChange(
            edit=planned.edit,
            version=version,
            submitted_at=submitted_at,
            accepted_at=time.monotonic(),
            scopes=planned.scopes,
        )

    async def change_at_rate(
        self, plan: ChangePlan, per_second: float, seconds: float
    ) -> list[AcceptedChange]:
        """Make changes at even spacing for a time; give them once all are accepted."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        running: list[asyncio.Task[AcceptedChange]] = []
        for number in range(int(per_second * seconds)):
            await asyncio.sleep(max(0.0, started + number / per_second - loop.time()))
            running.append(asyncio.create_task(self.change(plan.next_change())))
        return list(await asyncio.gather(*running))
