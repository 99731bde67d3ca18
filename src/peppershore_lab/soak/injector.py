"""Carries out a soak's faults from outside: signals, lost disks, changed files."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Mapping, Sequence

from peppershore_lab.soak.back_end import SoakBackEnd
from peppershore_lab.soak.faults import Fault
from peppershore_lab.soak.machines import HUB, Machine, Site
from peppershore_lab.soak.observations import Disturbance, Record
from peppershore_lab.soak.settings import STOP_GRACE_SECONDS

BETWEEN_SIGNALS_SECONDS = 0.3
POLL_SECONDS = 0.01
CATCH_UP_SECONDS = 6.0
"""Time after its start for which a hub with an emptied disk counts as lost."""


class Injector:
    """Runs faults that overlap; one machine has one at a time."""

    def __init__(
        self, site: Site, back_ends: Mapping[str, SoakBackEnd], record: Record
    ) -> None:
        """Inject faults into these machines and record them."""
        self._site = site
        self._back_ends = back_ends
        self._record = record
        self._begun = 0.0
        self._wiped_until = 0.0

    async def run(self, faults: Sequence[Fault]) -> None:
        """Inject all faults; return once every machine runs again."""
        self._begun = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._at_its_time(fault))

    async def _at_its_time(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self._begun + fault.at - time.monotonic()))
        machines = self._machines(fault)
        if not machines or any(machine.busy for machine in machines):
            return
        for machine in machines:
            machine.busy = True
        begun_at = time.monotonic()
        try:
            await self._strike(fault, machines)
        finally:
            ended_at = time.monotonic()
            for machine in machines:
                machine.busy = False
                self._note(fault, machine, begun_at, ended_at)

    def _machines(self, fault: Fault) -> tuple[Machine, ...]:
        if fault.kind == "kill-hubs":
            return self._site.hubs
        if fault.kind == "kill-all":
            return self._site.machines
        return (self._site.named(fault.machine),)

    def _note(
        self, fault: Fault, machine: Machine, begun_at: float, ended_at: float
    ) -> None:
        planned = fault.kind in ("stop", "stop-twice", "reload", "leave")
        done = Disturbance(fault.kind, machine.name, begun_at, ended_at, planned)
        self._record.disturbances.append(done)

    async def _strike(self, fault: Fault, machines: tuple[Machine, ...]) -> None:
        match fault.kind:
            case "kill" | "kill-hubs" | "kill-all":
                await self._kill(machines, fault.seconds)
            case "pause":
                await _pause(machines[0], fault.seconds)
            case "stop" | "stop-twice":
                await self._stop(machines[0], twice=fault.kind == "stop-twice")
            case "reload":
                await self._reload(machines[0])
            case "wipe":
                await self._wipe(machines[0], fault.seconds)
            case "leave":
                await self._back_ends[machines[0].name].leave_for(fault.seconds)

    async def _kill(self, machines: tuple[Machine, ...], seconds: float) -> None:
        for machine in machines:
            machine.process.kill()
        await asyncio.sleep(seconds)
        for machine in machines:
            self._start(machine)

    async def _stop(self, machine: Machine, twice: bool) -> None:
        """Request a planned stop; kill the process at the end of the grace time."""
        machine.process.ask_to_stop()
        if twice:
            await asyncio.sleep(BETWEEN_SIGNALS_SECONDS)
            machine.process.ask_to_stop()
        try:
            async with asyncio.timeout(STOP_GRACE_SECONDS):
                await machine.process.ended()
        except TimeoutError:
            machine.process.kill()
        self._start(machine)

    async def _reload(self, machine: Machine) -> None:
        """Change the seeds in the settings file and send SIGHUP.

        What strikes the interpreter before the product's first line is nobody's fault.
        """
        while not machine.takes_hangups:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        machine.write_settings(self._site.some_seeds())
        os.kill(machine.process.pid, signal.SIGHUP)
        await asyncio.sleep(BETWEEN_SIGNALS_SECONDS)

    async def _wipe(self, machine: Machine, seconds: float) -> None:
        """Lose one disk; the next one only after this hub had time to catch up.

        Other hubs may be down meanwhile: none of them has lost its disk.
        """
        if machine.role != HUB or time.monotonic() < self._wiped_until:
            return
        self._wiped_until = float("inf")
        machine.process.kill()
        machine.wipe()
        await asyncio.sleep(seconds)
        self._start(machine)
        self._wiped_until = time.monotonic() + CATCH_UP_SECONDS

    def _start(self, machine: Machine) -> None:
        machine.write_settings(self._site.some_seeds())
        machine.process.start()


async def _pause(machine: Machine, seconds: float) -> None:
    machine.process.freeze()
    try:
        await asyncio.sleep(seconds)
    finally:
        machine.process.unfreeze()
