"""An operator of a fleet: edits by the real command line, and status queries."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from peppershore.command.client import ControlGroup, ask
from peppershore.connection.messages.operators import (
    EditAnswered,
    StatusAnswered,
    StatusQuery,
    SubmitEdit,
)
from peppershore.version.model import Edit, EditOutcome, Version
from peppershore_lab.program import PROGRAM

ASK_SECONDS = 10.0
POLL_SECONDS = 0.05


class CommandResult(msgspec.Struct, frozen=True):
    """What a command of the command line gave: exit code and its JSON output."""

    exit_code: int
    output: dict[str, Any]
    error: str


class Unreachable(msgspec.Struct, frozen=True):
    """No control replica gave an answer."""

    reason: str


class Operator:
    """Speaks with the control replicas of one fleet."""

    def __init__(self, replicas: tuple[str, ...], timeout_seconds: float = ASK_SECONDS):
        """Use the replicas at these addresses."""
        self._replicas = replicas
        self._group = ControlGroup(replicas, timeout_seconds)

    async def run(self, *arguments: str) -> CommandResult:
        """Run ``peppershore ARGUMENTS --json`` as a process of its own."""
        addresses = [part for each in self._replicas for part in ("--replica", each)]
        process = await asyncio.create_subprocess_exec(
            str(PROGRAM),
            *arguments,
            *addresses,
            "--json",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            output, error = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        assert process.returncode is not None
        return CommandResult(process.returncode, _last_object(output), error.decode())

    async def submit(self, edit: Edit) -> Result[EditOutcome, Unreachable]:
        """Send one edit straight over a link and give its outcome."""
        answer = await ask(self._group, SubmitEdit(edit), EditAnswered)
        if isinstance(answer, Failure):
            return Failure(Unreachable(str(answer.failure().failed)))
        return Success(answer.unwrap().outcome)

    async def status(self) -> Result[StatusAnswered, Unreachable]:
        """Ask for the state of the cluster."""
        answer = await ask(self._group, StatusQuery(), StatusAnswered)
        if isinstance(answer, Failure):
            return Failure(Unreachable(str(answer.failure().failed)))
        return Success(answer.unwrap())

    async def wait_in_force(
        self, version: Version, relays: int, timeout_seconds: float
    ) -> StatusAnswered | None:
        """Wait until all ``relays`` report the version in force; None: not in time."""
        deadline = time.monotonic() + timeout_seconds
        while time.monotonic() < deadline:
            answer = await self.status()
            if isinstance(answer, Success):
                status: StatusAnswered = answer.unwrap()
                if len(status.relays) >= relays and status.in_force >= version:
                    return status
            await asyncio.sleep(POLL_SECONDS)
        return None


def control_bytes(status: StatusAnswered) -> int:
    """Give the bytes that all relays have sent to nodes so far."""
    return sum(relay.control_bytes for relay in status.relays)


def _last_object(output: bytes) -> dict[str, Any]:
    for line in reversed(output.splitlines()):
        if line.startswith(b"{"):
            decoded: dict[str, Any] = msgspec.json.decode(line)
            return decoded
    return {}
