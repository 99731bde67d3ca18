"""The machines of a soak: one real process each, on an address of its own."""

from __future__ import annotations

import shutil
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random

from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.program import PROGRAM
from peppershore_lab.soak import settings
from peppershore_lab.soak.observations import ProcessEnded, Record

HUB, NODE = "hub", "node"
SEEDS = 2
BROKEN_INVARIANT = "Traceback (most recent call last)"


class Machine:
    """A machine with the process that runs there; faults take its turn by ``busy``."""

    def __init__(self, name: str, role: str, host: str, folder: Path) -> None:
        """Describe the machine; ``process`` starts it."""
        self.name = name
        self.role = role
        self.host = host
        self.busy = False
        self.service = ""
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        arguments = (str(PROGRAM), "serve", role, "--settings", str(self._settings))
        self.process = ManagedProcess(name, arguments, self.log)

    @property
    def life(self) -> int:
        """Number of starts of the process so far."""
        return self.process.starts

    @property
    def takes_hangups(self) -> bool:
        """Whether the process handles SIGHUP yet; until then the signal ends it."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":\t", 1) for line in status.splitlines())
        handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(handled >> (signal.SIGHUP - 1) & 1)

    def write_settings(self, seeds: Sequence[str]) -> None:
        """Write the settings of the next start, or of a change while it runs."""
        if self.role == HUB:
            text = settings.hub_settings(
                self.host, str(self._data_folder), seeds, self.life == 0
            )
        else:
            text = settings.node_settings(self.name, self.host, self.service, seeds)
        aside = self._settings.with_suffix(".new")
        aside.write_text(text)
        aside.rename(self._settings)

    def wipe(self) -> None:
        """Delete the disk's contents; the process must not run."""
        shutil.rmtree(self._data_folder, ignore_errors=True)

    def note_end(self, record: Record) -> None:
        """Record a process that exited though nothing stopped it."""
        if not self.busy and not self.process.running:
            what = f"exit status {self.process.exit_status}"
            record.ends.append(ProcessEnded(self.name, what, time.monotonic()))
            self.busy = True

    def note_broken_invariants(self, record: Record) -> None:
        """Record an unhandled error that the log contains."""
        if BROKEN_INVARIANT in self.log.read_text(errors="replace"):
            record.ends.append(ProcessEnded(self.name, "a traceback", time.monotonic()))

    @property
    def _data_folder(self) -> Path:
        return self._folder / f"data-{self.name}"


class Site:
    """All machines of a soak."""

    def __init__(self, folder: Path, hubs: int, nodes: int, seed: int) -> None:
        """Create the machines; ``start`` starts them."""
        self._random = Random(seed)
        self._block = AddressBlock()
        self.hubs = tuple(
            Machine(f"hub-{number}", HUB, self._block.next_host(), folder)
            for number in range(1, hubs + 1)
        )
        self.nodes = tuple(
            Machine(f"node-{number}", NODE, self._block.next_host(), folder)
            for number in range(1, nodes + 1)
        )

    @property
    def machines(self) -> tuple[Machine, ...]:
        """Hubs and nodes."""
        return (*self.hubs, *self.nodes)

    def named(self, name: str) -> Machine:
        """Return the machine with this name."""
        return next(each for each in self.machines if each.name == name)

    def start(self) -> None:
        """Start all machines; every hub has the addresses of all hubs."""
        founders = [hub.host for hub in self.hubs]
        for machine in self.machines:
            machine.write_settings(founders)
            machine.process.start()

    def some_seeds(self) -> list[str]:
        """Return a random choice of hubs as seeds."""
        return [hub.host for hub in self._random.sample(self.hubs, SEEDS)]

    def stop(self) -> None:
        """Kill every process that this soak started, and free the addresses."""
        for machine in self.machines:
            machine.process.kill()
        self._block.close()
