"""One simulated machine and the process on it: timers, disk, crash, freeze."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from peppershore.connection.codec import encode_message
from peppershore.process import commands, events
from peppershore.process.core import Core
from peppershore_lab.simulator.host_clock import HostClock
from peppershore_lab.simulator.network import Network
from peppershore_lab.simulator.scheduler import Planned, Scheduler

FIRST_ACCEPTED_LINK = 2
ACCEPTED_LINK_STEP = 2
SYNCED_UNTOLD_SHARE = 0.5
"""Chance that a write was synced when the process died before it was told."""
CLOCK_TOLERANCE_SECONDS = 1e-6
"""What rounding makes of a timer's time; earlier than that it is not due yet."""
SYNC_SECONDS = 0.002
"""Typical time of one synced write; single ones take up to ten times as long."""


class Role(Protocol):
    """What is particular to a kind of process: its core and its disk."""

    def boot(self) -> Core:
        """Make a core from what the disk holds."""
        ...

    def write(self, command: commands.PersistRecords) -> None:
        """Put durable records on the disk; they are synced from now on."""
        ...

    def stands_alone(self, command: commands.PersistRecords) -> bool:
        """Whether a write may be taken although an earlier one was refused."""
        ...

    def execute(self, process: SimulatedProcess, command: commands.Command) -> None:
        """Carry out a command that only this kind of process has."""
        ...

    def lose_disk(self) -> None:
        """Forget everything on the disk."""
        ...


NO_LINK = 0
"""In place of the link of what is due by time."""


class _Waiting(NamedTuple):
    """What waits until a process goes on, and the link it came on."""

    link: events.LinkId
    action: Callable[[], None]


class Life(NamedTuple):
    """One run of the process on a machine, from its start to its end."""

    machine: str
    number: int


class Trace(Protocol):
    """Takes note of what happens, for people and for the checks."""

    def stepped(
        self, process: SimulatedProcess, event: events.Event, out: list[commands.Command]
    ) -> None:
        """A core took an event."""
        ...


class _PendingTimer:
    """A timer that is set: its time on the machine's own clock."""

    __slots__ = ("due", "planned")

    def __init__(self, due: float) -> None:
        self.due = due
        self.planned: Planned | None = None


class SimulatedProcess:
    """Drives one core as a shell would, under virtual time."""

    def __init__(
        self,
        name: str,
        address: str,
        role: Role,
        *,
        scheduler: Scheduler,
        network: Network,
        clock: HostClock,
        randomness: Random,
        trace: Trace,
    ) -> None:
        """Make a machine on which nothing runs yet."""
        self.role = role
        self.clock = clock
        self.core: Core | None = None
        self.started_at = 0.0
        self.is_frozen = False
        self.disk_fails = False
        self.disk_slowness = 1.0
        self._name = name
        self._address = address
        self._scheduler = scheduler
        self._network = network
        self._randomness = randomness
        self._trace = trace
        self.life = Life(name, 0)
        self._timers: dict[str, _PendingTimer] = {}
        self._waiting: list[_Waiting] = []
        self._accepted = itertools.count(FIRST_ACCEPTED_LINK, ACCEPTED_LINK_STEP)
        self._unwritten: list[commands.PersistRecords] = []
        self._being_written: list[commands.PersistRecords] = []
        self._refuses_writes = False
        network.add(self)

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self._name

    @property
    def address(self) -> str:
        """Where the process accepts links."""
        return self._address

    @property
    def is_running(self) -> bool:
        """Whether a process runs (a frozen one does)."""
        return self.core is not None

    def next_accepted_link(self) -> events.LinkId:
        """Give the number of the next accepted link."""
        return next(self._accepted)

    # --- life of the process --------------------------------------------------------

    def start(self) -> None:
        """Boot from the disk."""
        assert self.core is None, f"{self._name} runs already"
        self.life = Life(self._name, self.life.number + 1)
        self.started_at = self._scheduler.now
        self.core = self.role.boot()
        self.take(events.Started(self._randomness.getrandbits(63)))

    def crash(self) -> None:
        """End at once: what was not synced is gone, unless it just was."""
        if self.core is not None:
            self._end_write()
        self.core = None
        self.is_frozen = False
        self._refuses_writes = False
        self._waiting.clear()
        for timer in self._timers.values():
            if timer.planned is not None:
                timer.planned.cancel()
        self._timers.clear()
        self._network.process_gone(self)

    def freeze(self) -> None:
        """Do nothing from now on, in silence."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Go on; what came meanwhile is taken now."""
        self.is_frozen = False
        waiting = self._waiting
        self._waiting = []
        for each in waiting:
            each.action()

    def suspend(self) -> None:
        """The whole machine stands still, its steady clock perhaps as well."""
        self.clock.suspend()
        self.freeze()

    def wake(self) -> None:
        """The machine goes on: of several links any may be read first."""
        self.clock.resume()
        self._waiting = _in_any_order(self._waiting, self._randomness)
        self.thaw()

    def jump_clock(self, seconds: float) -> None:
        """Set the monotonic clock ahead; timers that are due by now fire."""
        self.clock.jump(seconds)
        for name, timer in list(self._timers.items()):
            if timer.planned is not None:
                timer.planned.cancel()
            self._plan(name, timer)

    def take(self, event: events.Event) -> None:
        """Step the core, now or once it is no longer frozen."""
        life = self.life
        if self.is_frozen:
            self._wait(event, life)
        else:
            self._step(event, life)

    def _wait(self, event: events.Event, life: Life) -> None:
        link = getattr(event, "link", NO_LINK)
        self._waiting.append(_Waiting(link, lambda: self._step(event, life)))

    def _step(self, event: events.Event, life: Life) -> None:
        if self.core is None or life != self.life:
            return
        if self.is_frozen:
            self._wait(event, life)
            return
        out = self.core.step(event, self.clock.now)
        self._trace.stepped(self, event, out)
        for command in out:
            if self.core is not None:
                self._execute(command)

    # --- commands -------------------------------------------------------------------

    def _execute(self, command: commands.Command) -> None:
        match command:
            case commands.SendMessage():
                payload = encode_message(command.message)
                self._network.send(self, command.link, payload)
            case commands.SendEncoded():
                self._network.send(self, command.link, command.payload)
            case commands.OpenLink():
                self._network.open(self, command.link, command.address)
            case commands.CloseLink():
                self._network.close(self, command.link)
            case commands.SetTimer():
                self._set_timer(command)
            case commands.CancelTimer():
                self._cancel_timer(command.timer)
            case commands.PersistRecords():
                self._persist(command)
            case commands.Report():
                pass
            case commands.Exit():
                self.crash()
            case _:
                self.role.execute(self, command)

    def _set_timer(self, command: commands.SetTimer) -> None:
        self._cancel_timer(command.timer)
        timer = _PendingTimer(self.clock.now + command.delay_seconds)
        self._timers[command.timer] = timer
        self._plan(command.timer, timer)

    def _plan(self, name: str, timer: _PendingTimer) -> None:
        wait = self.clock.virtual_delay(timer.due - self.clock.now)
        timer.planned = self._scheduler.after(wait, lambda: self._due(name, timer))

    def _due(self, name: str, timer: _PendingTimer) -> None:
        if self.is_frozen:
            self._waiting.append(_Waiting(NO_LINK, lambda: self._due(name, timer)))
            return
        if timer.due - self.clock.now > CLOCK_TOLERANCE_SECONDS:
            self._plan(name, timer)
            return
        if self._timers.get(name) is timer:
            del self._timers[name]
            self.take(events.TimerFired(name))

    def _cancel_timer(self, name: str) -> None:
        timer = self._timers.pop(name, None)
        if timer is not None and timer.planned is not None:
            timer.planned.cancel()

    def _persist(self, command: commands.PersistRecords) -> None:
        self._unwritten.append(command)
        if not self._being_written:
            self._begin_write()

    def _begin_write(self) -> None:
        """Write all that waits in one synced commit, as the shells do."""
        batch = self._unwritten
        self._unwritten = []
        self._being_written = batch
        life = self.life
        slowness = 10.0 ** self._randomness.random() * self.disk_slowness
        self._scheduler.after(SYNC_SECONDS * slowness, lambda: self._written(batch, life))

    def _written(self, batch: list[commands.PersistRecords], life: Life) -> None:
        if self.core is None or life != self.life:
            return
        self._being_written = []
        for command in batch:
            self._synced(command, life)
        if self._unwritten and not self._being_written:
            self._begin_write()

    def _end_write(self) -> None:
        """The process dies during a write: all of it is on the disk or nothing."""
        batch = self._being_written
        self._being_written = []
        self._unwritten = []
        refused = self.disk_fails or self._refuses_writes
        if batch and not refused and self._randomness.random() < SYNCED_UNTOLD_SHARE:
            for command in batch:
                self.role.write(command)

    def _synced(self, command: commands.PersistRecords, life: Life) -> None:
        if self.core is None or life != self.life:
            return
        if self.role.stands_alone(command):
            self._refuses_writes = False
        if self.disk_fails or self._refuses_writes:
            self._refuses_writes = True
            self.take(events.RecordsFailed(command.token, "disk full"))
            return
        self.role.write(command)
        self.take(events.RecordsPersisted(command.token))


def _in_any_order(waiting: list[_Waiting], randomness: Random) -> list[_Waiting]:
    """Mix what came on different links; on one link the order stays."""
    by_link: dict[events.LinkId, list[_Waiting]] = {}
    for each in reversed(waiting):
        by_link.setdefault(each.link, []).append(each)
    links = [each.link for each in waiting]
    randomness.shuffle(links)
    return [by_link[link].pop() for link in links]
