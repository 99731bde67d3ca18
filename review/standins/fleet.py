"""Starts hubs and nodes with the commands of the deploy file, as the platform does.

Every machine has an address of its own in 127.0.0.0/8. Settings are the project's own
templates, filled with fields like those of the smallest deployment (targ-mesh).
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

from fill import fill

ROOT = Path(__file__).resolve().parents[2]
GRACE_SECONDS = 6
RESTART_SECONDS = 0.5
LONGEST_SECONDS = 110.0
COULD_NOT_RUN = 2
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "inTouchMs": 3000,
    "confirmationMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "gracePeriodS": GRACE_SECONDS,
    "lossSlackMs": 200,
    "configurationApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 60,
    "recoveryS": 15,
}


def free_ports(count: int) -> list[int]:
    """Return ports that nobody uses on any address of this machine."""
    held = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(("0.0.0.0", 0))
        held.append(probe)
    ports = [probe.getsockname()[1] for probe in held]
    for probe in held:
        probe.close()
    return ports


class Machine:
    """One machine and the process of one role on it."""

    def __init__(self, fleet: Fleet, name: str, role: str, host: str, zone: str) -> None:
        """Describe a machine; ``start`` starts its process."""
        self.fleet = fleet
        self.name, self.role, self.host, self.zone = name, role, host, zone
        self.service = ""
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.folder = fleet.folder / name
        (self.folder / "data").mkdir(parents=True)
        self.log = self.folder / "log"

    def address(self, port: str) -> str:
        """Return the address of this machine at a port of the day, by the port's name."""
        return f"{self.host}:{self.fleet.ports[port]}"

    def start(self) -> None:
        """Fill the settings file and start the process of this machine's role."""
        self.starts += 1
        settings = self.folder / "settings"
        template = ROOT / self.fleet.roles[self.role]["template"]
        settings.write_text(fill(template.read_text(), self._fields()))
        command = self.fleet.roles[self.role]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PEPPERSHORE_NODE_FILE"] = str(settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.fleet.record(f"{self.name} starts, firstStart {self.starts == 1}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process of this machine."""
        assert self.process is not None
        self.fleet.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process; it is started again after a short delay, as on the platform."""
        self.send(signal.SIGKILL)
        await self.ended()
        await asyncio.sleep(RESTART_SECONDS)
        self.start()

    async def ended(self) -> None:
        """Wait until the process has ended."""
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    async def ready(self) -> None:
        """Wait until the process says that it is ready."""
        while True:
            if b'"process_ready"' in self.log.read_bytes():
                return
            await asyncio.sleep(0.01)

    def _fields(self) -> dict[str, Any]:
        """Return the fields of the platform's settings, as DEPLOY.md lists them."""
        ports = self.fleet.ports
        is_core = self.role == "hub"
        listen = {"controlPlane": self.address("control")}
        if not is_core:
            listen |= {
                "inbound": self.address("inbound"),
                "outbound": self.address("outbound"),
                "ready": self.address("ready"),
            }
        fields: dict[str, Any] = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if is_core else "sidecar",
            "serves": ["control_plane"] if is_core else ["sidecar"],
            "ipAddress": self.host,
            "zone": self.zone,
            "region": "tas",
            "zones": {"hobart": "tas", "launceston": "tas", "burnie": "tas"},
            "listenAddresses": listen,
            "internalPortRange": [ports["internal"], ports["internal"] + 15],
            "seedNodes": self.fleet.seeds,
            "firstStart": self.starts == 1,
            "countedInTolerance": is_core,
            "dataDirectory": str(self.folder / "data") if is_core else None,
            "limits": {
                "cpuShare": 0.645 if is_core else 0.86,
                "cpuCores": 1,
                "memoryMb": 296 if is_core else 260,
                "fileDescriptors": 4100,
                "linkBandwidthMbps": 1000.0,
                "diskMb": 256 if is_core else 0,
            },
            "discovery": "local",
            "entry": "local",
            "heartbeatIntervalMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        if not is_core:
            fields["applicationAddress"] = self.address("application")
            fields["service"] = self.service
        return fields


class Fleet:
    """All machines of one run, its temporary folder and its record."""

    def __init__(self, record: TextIO) -> None:
        """Make a temporary folder; what happens is written to ``record``."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.roles: dict[str, dict[str, Any]] = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]
        names = ("control", "inbound", "outbound", "ready", "application")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.ports["internal"] = _free_range()
        self.net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.machines: list[Machine] = []
        self.seeds: list[str] = []
        self._record = record
        self._began = asyncio.get_running_loop().time()

    def add(self, name: str, role: str, zone: str = "hobart") -> Machine:
        """Add a machine at an address of its own."""
        host = f"{self.net}.{len(self.machines) + 11}"
        machine = Machine(self, name, role, host, zone)
        self.machines.append(machine)
        return machine

    def add_hubs(self, count: int) -> list[Machine]:
        """Add the core; the first three of its machines are the seeds of all machines."""
        hubs = [self.add(f"core-{number}", "hub") for number in range(1, count + 1)]
        self.seeds = [hub.address("control") for hub in hubs[:3]]
        return hubs

    @property
    def seconds(self) -> float:
        """Time since the start of the run, in seconds."""
        return asyncio.get_running_loop().time() - self._began

    def record(self, line: str) -> None:
        """Write a line to the record, with the time since the start of the run."""
        self._record.write(f"{self.seconds:8.3f} s  {line}\n")

    def end(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if "KEEP" in os.environ:
            sys.stderr.write(f"logs are in {self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_range() -> int:
    """Return the first of sixteen ports in a row that nobody uses."""
    while True:
        first = random.randrange(20_000, 30_000)
        try:
            held = []
            for port in range(first, first + 16):
                probe = socket.socket()
                held.append(probe)
                probe.bind(("0.0.0.0", port))
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
        return first


async def run_case(folder: Path, run: Callable[[Fleet], Awaitable[int]]) -> int:
    """Run a case with a record in its folder; end all its processes; return its status."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with (folder / "record.txt").open("w") as record:
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(LONGEST_SECONDS):
                return await run(fleet)
        except (OSError, TimeoutError) as problem:
            fleet.record(f"could not run: {problem!r}")
            return COULD_NOT_RUN
        finally:
            fleet.end()
