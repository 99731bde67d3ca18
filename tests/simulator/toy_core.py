"""A core that only remembers what it was handed, for tests of the simulator itself."""

from __future__ import annotations

import itertools
from random import Random

from peppershore.process import commands, events
from peppershore_lab.simulator.host_clock import HostClock
from peppershore_lab.simulator.network import Network
from peppershore_lab.simulator.process import SimulatedProcess
from peppershore_lab.simulator.roles import PlainRole
from peppershore_lab.simulator.scheduler import Scheduler


class ToyCore:
    """Carries out what the test wants at its next step and keeps all events."""

    def __init__(self, seen: list[events.Event], wanted: list[commands.Command]) -> None:
        self._seen = seen
        self._wanted = wanted

    def step(self, event: events.Event, now: float) -> list[commands.Command]:
        del now
        self._seen.append(event)
        out = list(self._wanted)
        self._wanted.clear()
        return out


class ToyRole(PlainRole):
    """Keeps the records that were synced."""

    def __init__(self, core: ToyCore) -> None:
        super().__init__(lambda: core)
        self.written: list[commands.PersistRecords] = []
        self.retries: set[int] = set()

    def write(self, command: commands.PersistRecords) -> None:
        self.written.append(command)

    def stands_alone(self, command: commands.PersistRecords) -> bool:
        return command.token in self.retries


class ToyMachine:
    """One process whose commands the test gives."""

    def __init__(self, site: ToySite, name: str) -> None:
        self.seen: list[events.Event] = []
        self._wanted: list[commands.Command] = []
        self.role = ToyRole(ToyCore(self.seen, self._wanted))
        self.process = SimulatedProcess(
            name,
            f"{name}:1",
            self.role,
            scheduler=site.scheduler,
            network=site.network,
            clock=HostClock(site.scheduler, 100.0, 1.0),
            randomness=site.randomness,
            trace=site,
        )
        self.process.start()

    def do(self, *wanted: commands.Command) -> None:
        """Carry out commands now."""
        self._wanted.extend(wanted)
        self.process.take(events.TimerFired("test"))

    def seen_of(self, kind: type[events.Event]) -> list[events.Event]:
        return [event for event in self.seen if isinstance(event, kind)]


class ToySite:
    """A scheduler, a network, and toy machines."""

    def __init__(self) -> None:
        self.scheduler = Scheduler()
        self.randomness = Random(7)
        self.network = Network(self.scheduler, self.randomness)
        self.steps = itertools.count()

    def stepped(
        self,
        process: SimulatedProcess,
        event: events.Event,
        out: list[commands.Command],
    ) -> None:
        del process, event, out
        next(self.steps)

    def machine(self, name: str) -> ToyMachine:
        return ToyMachine(self, name)

    def run(self, seconds: float) -> None:
        self.scheduler.run_until(self.scheduler.now + seconds)
