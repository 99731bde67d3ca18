"""Real control replicas and relays, started for a scale run and always stopped."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from types import TracebackType

import msgspec
import psutil

from peppershore.process.settings import (
    ControlSettings,
    PeerRelay,
    PeerReplica,
    RelaySettings,
    SettingsValue,
)
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.members import (
    Member,
    settings_text,
)
from peppershore_lab.hollow.layout import FleetLayout, zone_name
from peppershore_lab.program import PROGRAM


class ProcessCost(msgspec.Struct, frozen=True, kw_only=True):
    """What one process has used since it started."""

    name: str
    cpu_seconds: float
    resident_bytes: int


class RealCluster:
    """The control replicas and relays of a run, each a process of its own."""

    def __init__(
        self, layout: FleetLayout, replicas: int, batching_milliseconds: int = 0
    ) -> None:
        """Choose addresses and write settings files; nothing starts yet."""
        self._block = AddressBlock()
        self.folder = Path(tempfile.mkdtemp(prefix="peppershore-scale-"))
        replica_members = self._members("replica", replicas, layout.zones)
        relay_members = self._members("relay", layout.relays, layout.zones)
        self.replicas = tuple(
            PeerReplica(name=member.name, address=member.link_address)
            for member in replica_members
        )
        self.relays = tuple(
            PeerRelay(name=member.name, zone=member.zone, address=member.link_address)
            for member in relay_members
        )
        self._layout = layout
        self._batching_milliseconds = batching_milliseconds
        self.replica_processes = [
            self._process("control", member, self._control_settings(member))
            for member in replica_members
        ]
        self.relay_processes = [
            self._process("relay", member, self._relay_settings(member))
            for member in relay_members
        ]

    def __enter__(self) -> RealCluster:
        """Start every process."""
        for process in self._processes():
            process.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        problem: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop every process by its id and remove the folder, whatever happened."""
        for process in self._processes():
            process.ask_to_stop()
        for process in self._processes():
            process.wait_or_kill()
        self._block.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def replica_costs(self) -> list[ProcessCost]:
        """What each replica has used so far."""
        return [_cost(process) for process in self.replica_processes if process.running]

    def relay_costs(self) -> list[ProcessCost]:
        """What each relay has used so far."""
        return [_cost(process) for process in self.relay_processes if process.running]

    def log_tail(self, name: str, lines: int = 5) -> str:
        """The last lines of a process's log."""
        path = self.folder / f"{name}.log"
        return "\n".join(path.read_text(encoding="utf-8").splitlines()[-lines:])

    def _processes(self) -> list[ManagedProcess]:
        return [*self.replica_processes, *self.relay_processes]

    def _members(self, role: str, count: int, zones: int) -> tuple[Member, ...]:
        return tuple(
            Member(
                name=f"{role}{number:02d}",
                host=self._block.next_host(),
                zone=zone_name(number % zones),
            )
            for number in range(count)
        )

    def _control_settings(self, member: Member) -> ControlSettings:
        return ControlSettings(
            cluster=self._layout.cluster,
            replica=member.name,
            listen=member.link_address,
            data_folder=str(self.folder / member.name),
            replicas=self.replicas,
        )

    def _relay_settings(self, member: Member) -> RelaySettings:
        return RelaySettings(
            cluster=self._layout.cluster,
            relay=member.name,
            zone=member.zone,
            listen=member.link_address,
            replicas=self.replicas,
            relays=self.relays,
            batching_milliseconds=self._batching_milliseconds,
        )

    def _process(
        self, role: str, member: Member, settings: SettingsValue
    ) -> ManagedProcess:
        path = self.folder / f"{member.name}.toml"
        path.write_text(settings_text(settings), encoding="utf-8")
        arguments = (str(PROGRAM), "serve", role, "--settings", str(path))
        return ManagedProcess(member.name, arguments, self.folder / f"{member.name}.log")


def _cost(process: ManagedProcess) -> ProcessCost:
    handle = psutil.Process(process.pid)
    times = handle.cpu_times()
    return ProcessCost(
        name=process.name,
        cpu_seconds=times.user + times.system,
        resident_bytes=handle.memory_info().rss,
    )
