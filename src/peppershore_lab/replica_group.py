"""A group of real control replicas on loopback, for tests and benchmarks.

Replicas may be killed, frozen, started again, and given a blank disk.  Leaving
the context stops all of them by their pids.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec
from returns.result import Failure

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.operators import (
    EditAnswered,
    ReplicaStatus,
    StatusAnswered,
    StatusQuery,
    SubmitEdit,
)
from peppershore.process.settings import ControlSettings, PeerReplica
from peppershore.version.model import Edit, EditOutcome
from peppershore_lab.fleet.addresses import LINK_PORT, AddressBlock
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.members import Member, settings_text
from peppershore_lab.fleet.readiness import wait_listening
from peppershore_lab.operator_client import Operator
from peppershore_lab.peer_link import PeerLink
from peppershore_lab.program import PROGRAM

CLUSTER = "replica-group"
START_SECONDS = 15.0
ANSWER_SECONDS = 5.0
POLL_SECONDS = 0.02


class GroupFailedError(Exception):
    """A replica or the group did not come to what was awaited."""


class ReplicaGroup:
    """Real processes of one control group; nothing runs before ``start``."""

    def __init__(self, folder: Path, names: Iterable[str], **settings: Any) -> None:
        """Prepare the founding replicas; ``settings`` overrides ControlSettings."""
        self.folder = folder
        self.processes: dict[str, ManagedProcess] = {}
        self._block = AddressBlock()
        self._members: dict[str, Member] = {}
        self._overrides = settings
        founders = tuple(names)
        for name in founders:
            self._members[name] = self._member(name)
        peers = tuple(
            PeerReplica(name=name, address=self.address(name)) for name in founders
        )
        for name in founders:
            self._prepare(name, peers, join=False)

    async def __aenter__(self) -> ReplicaGroup:
        """Give the group."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        problem: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all replicas at once."""
        for process in self.processes.values():
            process.kill()
        self._block.close()

    # --- replicas ------------------------------------------------------------

    def address(self, name: str) -> str:
        """Where a replica accepts links."""
        return self._members[name].link_address

    def data_folder(self, name: str) -> Path:
        """Where a replica keeps its store."""
        return self.folder / "data" / name

    def settings(self, name: str) -> Path:
        """A replica's settings file."""
        return self.folder / f"{name}.toml"

    def operator(self, *names: str) -> Operator:
        """Give an operator who knows these replicas, or all."""
        known = names or tuple(self._members)
        return Operator(tuple(self.address(name) for name in known))

    def add_blank(self, name: str) -> None:
        """Prepare a replica on another machine that waits to be added."""
        self._members[name] = self._member(name)
        self._prepare(name, (), join=True)

    def prepare_to_join(self, name: str) -> None:
        """Let a known machine's next start wait to be added, with a blank disk."""
        assert not self.processes[name].running
        shutil.rmtree(self.data_folder(name), ignore_errors=True)
        self._prepare(name, (), join=True)

    async def start(self, *names: str) -> None:
        """Start these replicas, or all; wait until they accept links."""
        chosen = names or tuple(self.processes)
        for name in chosen:
            self.processes[name].start()
        waits = (
            wait_listening(self.processes[name], self.address(name), START_SECONDS)
            for name in chosen
        )
        for problem in await asyncio.gather(*waits):
            if problem is not None:
                raise GroupFailedError(f"{problem.name}: {problem.reason}")

    def kill(self, *names: str) -> None:
        """End these replicas at once (SIGKILL)."""
        for name in names:
            self.processes[name].kill()

    def events(self, name: str, event: str) -> list[dict[str, Any]]:
        """Give the log lines of one event, oldest first."""
        text = self.processes[name].log_path.read_text()
        lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
        return [line for line in lines if line.get("event") == event]

    async def wait_for_event(self, event: str, *names: str) -> None:
        """Wait until one of these replicas has logged an event."""
        deadline = time.monotonic() + START_SECONDS
        while not any(self.events(name, event) for name in names):
            if time.monotonic() > deadline:
                raise GroupFailedError(f"none of {names} logged {event}")
            await asyncio.sleep(POLL_SECONDS)

    # --- the group -----------------------------------------------------------

    async def ask(self, name: str, question: Message) -> Message | None:
        """Ask one replica; None if no answer comes in time."""
        link = await PeerLink.open(self.address(name))
        if link is None:
            return None
        try:
            link.send(question)
            return await link.receive(ANSWER_SECONDS)
        finally:
            link.close()

    async def status(self, name: str) -> StatusAnswered | None:
        """Give one replica's own view."""
        answer = await self.ask(name, StatusQuery())
        return answer if isinstance(answer, StatusAnswered) else None

    async def submit(self, edit: Edit) -> EditOutcome:
        """Send an edit to whoever leads until it has its outcome."""
        submitted = await self.operator().submit(edit)
        if isinstance(submitted, Failure):
            raise GroupFailedError(f"{edit.change_id}: {submitted.failure().reason}")
        outcome: EditOutcome = submitted.unwrap()
        return outcome

    async def leader(self, *among: str, seconds: float = START_SECONDS) -> str:
        """Wait until one of these replicas (or any) leads and answers; give its name."""
        running = [name for name, each in self.processes.items() if each.running]
        names = among or tuple(running)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name in names:
                status = await self.status(name)
                if status is not None and status.leader == name:
                    return name
            await asyncio.sleep(POLL_SECONDS)
        raise GroupFailedError(f"none of {names} leads")

    async def wait_for(
        self,
        name: str,
        condition: Callable[[StatusAnswered], bool],
        seconds: float = START_SECONDS,
    ) -> StatusAnswered:
        """Wait until one replica's view fulfils a condition."""
        deadline = time.monotonic() + seconds
        status: StatusAnswered | None = None
        while time.monotonic() < deadline:
            status = await self.status(name)
            if status is not None and condition(status):
                return status
            await asyncio.sleep(POLL_SECONDS)
        raise GroupFailedError(f"{name} shows {status}")

    # --- internals -----------------------------------------------------------

    def _member(self, name: str) -> Member:
        return Member(name=name, host=self._block.next_host(), zone="")

    def _prepare(self, name: str, replicas: tuple[PeerReplica, ...], join: bool) -> None:
        member = self._members[name]
        settings = ControlSettings(
            cluster=CLUSTER,
            replica=name,
            listen=f"{member.host}:{LINK_PORT}",
            data_folder=str(self.data_folder(name)),
            replicas=replicas,
            join=join,
        )
        settings = msgspec.structs.replace(settings, **self._overrides)
        path = self.settings(name)
        path.write_text(settings_text(settings))
        command = (str(PROGRAM), "serve", "control", "--settings", str(path))
        self.processes[name] = ManagedProcess(name, command, self.folder / f"{name}.log")


def member_of(status: StatusAnswered, name: str) -> ReplicaStatus | None:
    """One replica in a status; None if it is no member."""
    return next((each for each in status.replicas if each.replica == name), None)


async def submit_on(link: PeerLink, edit: Edit) -> EditOutcome | None:
    """Send an edit on an open link; None if another answer, or none, comes."""
    link.send(SubmitEdit(edit))
    answer = await link.receive(ANSWER_SECONDS)
    return answer.outcome if isinstance(answer, EditAnswered) else None
