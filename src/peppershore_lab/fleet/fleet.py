"""A running fleet: starts real processes on loopback and always stops them.

Use as an asynchronous context manager; leaving it, also by an exception or by
Ctrl-C, stops every process by its pid.  If the fleet's own process is killed,
the kernel ends the children.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
from collections.abc import Coroutine, Iterable
from pathlib import Path
from types import TracebackType

import click
import msgspec

from peppershore.process.settings import PeerRelay, PeerReplica, SettingsValue
from peppershore_lab.calls.plan import CallerPlan
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.deployment import Deployment
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.members import (
    BackendMember,
    Member,
    claims_settings,
    control_settings,
    node_settings,
    relay_settings,
    settings_text,
)
from peppershore_lab.fleet.plan import FleetLayout, lay_out
from peppershore_lab.fleet.readiness import NotReady, wait_listening, wait_ready
from peppershore_lab.links.model import EmulatorSettings, matches
from peppershore_lab.links.table import LinkTable

READY_SECONDS = 20.0
STOP_SECONDS = 8.0
Wait = Coroutine[None, None, NotReady | None]
BIN_FOLDER = Path(sys.executable).parent


class FleetFailed(click.ClickException):
    """The fleet could not be brought up; ends the command with a message."""


def not_ready(problems: list[NotReady]) -> FleetFailed:
    """Tell of every process that is not ready."""
    lines = [f"{item.name}: {item.reason}\n{item.log_tail}" for item in problems]
    return FleetFailed("\n".join(lines))


class Fleet:
    """All processes of one deployment."""

    def __init__(
        self,
        deployment: Deployment,
        keep_folder: Path | None = None,
        seed: int = 1,
        injected: tuple[str, ...] = (),
    ) -> None:
        """Lay the deployment out; processes start with ``start_control`` and so on.

        Files go to ``keep_folder``, or to a temporary folder removed at the end.
        Processes whose names match ``injected`` (shell patterns) run with the
        shim of ``faulty_process`` and read their faults from ``fault_path``.
        """
        self._injected = injected
        self._more_backends: tuple[BackendMember, ...] = ()
        self._block = AddressBlock()
        self._keeps = keep_folder is not None
        self.folder = keep_folder or Path(tempfile.mkdtemp(prefix="peppershore-lab-"))
        self.layout: FleetLayout = lay_out(deployment, self._block)
        self.seed = seed
        self.emulator = Member(name="emulator", host=self._block.next_host(), zone="")
        self.links = LinkTable(self.layout, self.emulator.host)
        self.processes: dict[str, ManagedProcess] = {}
        for name in ("settings", "logs", "journals", "data"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)

    async def __aenter__(self) -> Fleet:
        """Give the fleet; nothing runs yet."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        problem: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes and remove the temporary folder."""
        self.stop_all()

    @property
    def replica_addresses(self) -> tuple[str, ...]:
        """Where the control replicas accept links."""
        return tuple(member.link_address for member in self.layout.replicas)

    async def start_emulator(self) -> None:
        """Start the process that carries the emulated links, if there are any."""
        if not self.links.specs:
            return
        settings = EmulatorSettings(
            control=self.emulator.admin_address, links=self.links.specs, seed=self.seed
        )
        path = self.folder / "settings" / "emulator.json"
        path.write_bytes(msgspec.json.encode(settings))
        program = self._program("peppershore-lab")
        self._start("emulator", (program, "link-emulator", "--settings", str(path)))
        await self._wait_all([self._listening("emulator", self.emulator.admin_address)])

    async def start_control(self) -> None:
        """Start the control replicas and, where there are any, the claims group."""
        for member in self.layout.replicas:
            folder = self._data_folder(member)
            replicas = self._replicas_for(member, self.layout.replicas)
            self._serve(
                "control",
                member,
                control_settings(self._cluster, member, replicas, folder),
            )
        for member in self.layout.claims:
            folder = self._data_folder(member)
            claims = self._replicas_for(member, self.layout.claims)
            self._serve(
                "claims", member, claims_settings(self._cluster, member, claims, folder)
            )
        await self.wait_until_ready(self.layout.replicas + self.layout.claims)

    async def start_relays(self) -> None:
        """Start the relays."""
        for member in self.layout.relays:
            settings = relay_settings(
                self._cluster,
                member,
                self._replicas_for(member, self.layout.replicas),
                self._relays_for(member),
                self.layout.deployment.batching_milliseconds,
            )
            self._serve("relay", member, settings)
        await self.wait_until_ready(self.layout.relays)

    async def start_backends(self) -> None:
        """Start the stand-in back ends."""
        for number, member in enumerate(self.layout.backends):
            self._start_backend(member, number)
        await self._wait_listening(self.layout.backends)

    async def start_more_backends(self, members: tuple[BackendMember, ...]) -> None:
        """Start stand-in back ends that no node stands beside."""
        self._more_backends += members
        for number, member in enumerate(members):
            self._start_backend(member, number)
        await self._wait_listening(members)

    def new_host(self) -> str:
        """Give a loopback address that no process of the fleet uses."""
        return self._block.next_host()

    def start_lab_process(self, name: str, arguments: tuple[str, ...]) -> ManagedProcess:
        """Start a command of the lab as one more process."""
        return self._start(name, (self._program("peppershore-lab"), *arguments))

    async def wait_listening(self, member: Member) -> None:
        """Wait until a process accepts calls; else raise FleetFailed."""
        await self._wait_all([self._listening(member.name, member.http_address)])

    async def start_nodes(self) -> None:
        """Start all nodes, those at the edge included."""
        behaviours = {item.http_address: item.behaviour for item in self.layout.backends}
        any_behaviour = self.layout.backends[0].behaviour
        for member in self.layout.proxies:
            settings = node_settings(
                self._cluster,
                member,
                relays=self._relays_for(member),
                claims=self._replicas_for(member, self.layout.claims),
                folder=self._data_folder(member),
                behaviour=behaviours.get(member.backend, any_behaviour),
            )
            self._serve("node", member, settings)
        await self.wait_until_ready(self.layout.proxies)

    def start_caller(self, plan: CallerPlan) -> ManagedProcess:
        """Start a stand-in caller."""
        path = self.folder / "settings" / f"{plan.caller}.json"
        path.write_bytes(msgspec.json.encode(plan))
        arguments = (self._program("peppershore-lab"), "caller", "--plan", str(path))
        return self._start(plan.caller, arguments)

    async def wait_until_ready(self, members: Iterable[Member]) -> None:
        """Wait until every member's ``/readyz`` says so; else raise FleetFailed."""
        await self._wait_all(
            wait_ready(self.processes[member.name], member.admin_address, READY_SECONDS)
            for member in members
        )

    def journal_path(self, name: str) -> Path:
        """Give the journal file of a stand-in."""
        return self.folder / "journals" / f"{name}.jsonl"

    def log_path(self, name: str) -> Path:
        """Give the log file of a process."""
        return self.folder / "logs" / f"{name}.log"

    def fault_path(self, name: str) -> Path:
        """Give the file from which a process with the shim reads its faults."""
        return self.folder / "settings" / f"{name}.faults"

    def data_path(self, name: str) -> Path:
        """Give the data folder of a process."""
        return self.folder / "data" / name

    def settings_path(self, name: str) -> Path:
        """Give the settings file of a process of the product."""
        return self.folder / "settings" / f"{name}.toml"

    @property
    def members(self) -> dict[str, Member]:
        """All processes but the emulator and the callers, by name."""
        layout = self.layout
        groups = (
            layout.replicas,
            layout.claims,
            layout.relays,
            layout.backends,
            layout.proxies,
            self._more_backends,
        )
        return {member.name: member for group in groups for member in group}

    def stop_all(self) -> None:
        """Stop every process: callers first, control last; kill what lingers."""
        for process in reversed(self.processes.values()):
            process.ask_to_stop()
        for process in reversed(self.processes.values()):
            process.wait_or_kill(STOP_SECONDS)
        self._block.close()
        if not self._keeps:
            shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def _cluster(self) -> str:
        return self.layout.deployment.cluster

    def _data_folder(self, member: Member) -> Path:
        folder = self.folder / "data" / member.name
        folder.mkdir(exist_ok=True)
        return folder

    def _replicas_for(
        self, source: Member, replicas: tuple[Member, ...]
    ) -> tuple[PeerReplica, ...]:
        return tuple(
            PeerReplica(name=target.name, address=self.links.address(source, target))
            for target in replicas
        )

    def _relays_for(self, source: Member) -> tuple[PeerRelay, ...]:
        return tuple(
            PeerRelay(
                name=target.name,
                zone=target.zone,
                address=self.links.address(source, target),
            )
            for target in self.layout.relays
        )

    def _serve(self, role: str, member: Member, settings: SettingsValue) -> None:
        path = self.folder / "settings" / f"{member.name}.toml"
        path.write_text(settings_text(settings))
        arguments = ("serve", role, "--settings", str(path))
        self._start(member.name, (*self._program_of(member), *arguments))

    def _program_of(self, member: Member) -> tuple[str, ...]:
        if not matches(member.name, self._injected):
            return (self._program("peppershore"),)
        faults = str(self.fault_path(member.name))
        return (sys.executable, "-m", "peppershore_lab.faulty_process", faults)

    def _start_backend(self, member: BackendMember, number: int) -> None:
        path = self.folder / "settings" / f"{member.name}.json"
        path.write_bytes(msgspec.json.encode(member.behaviour))
        arguments = (
            self._program("peppershore-lab"),
            "backend",
            *("--service", member.service, "--backend", member.name),
            *("--listen", member.http_address, "--behaviour", str(path)),
            *("--journal", str(self.journal_path(member.name))),
            *("--seed", str(self.seed + number)),
        )
        self._start(member.name, arguments)

    def _start(self, name: str, arguments: tuple[str, ...]) -> ManagedProcess:
        process = ManagedProcess(name, arguments, self.log_path(name))
        self.processes[name] = process
        process.start()
        return process

    async def _wait_listening(self, members: Iterable[BackendMember]) -> None:
        await self._wait_all(
            self._listening(member.name, member.http_address) for member in members
        )

    def _listening(self, name: str, address: str) -> Wait:
        return wait_listening(self.processes[name], address, READY_SECONDS)

    async def _wait_all(self, waits: Iterable[Wait]) -> None:
        outcomes = await asyncio.gather(*waits)
        problems = [outcome for outcome in outcomes if outcome is not None]
        if problems:
            raise not_ready(problems)

    def _program(self, name: str) -> str:
        program = BIN_FOLDER / name
        assert os.access(program, os.X_OK), f"{program} is not installed"
        return str(program)
