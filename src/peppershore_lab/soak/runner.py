"""Runs one soak: start, load and faults, calm, and the verdict."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from pathlib import Path

import msgspec

from peppershore_lab.calls.client import ClientAnswer, ClientConnection, ClientRequest
from peppershore_lab.soak import settings
from peppershore_lab.soak.answering_twice import AnsweringTwice
from peppershore_lab.soak.back_end import SoakBackEnd
from peppershore_lab.soak.callers import Callers
from peppershore_lab.soak.checks import find_violations
from peppershore_lab.soak.configurations import SERVICES
from peppershore_lab.soak.failures import Failures
from peppershore_lab.soak.faults import draw_faults
from peppershore_lab.soak.injector import Injector
from peppershore_lab.soak.machines import Machine, Site
from peppershore_lab.soak.needs import Needs
from peppershore_lab.soak.observations import STATUS_OK, Record, Violation
from peppershore_lab.soak.operators import Operators
from peppershore_lab.soak.poison import PoisonCallers

START_SECONDS = 60.0
CALM_SECONDS = 60.0
"""Time-out for everything to be back after the faults, also on a loaded machine."""

POLL_SECONDS = 0.1
HANG_UP_SECONDS = 0.2
"""Time within which back ends see the connections of killed nodes close."""

READY_PATH = "/readyz"


class SoakPlan(msgspec.Struct, frozen=True):
    """Parameters of a soak; ``connections``: those of callers at each node.

    ``poison``: so many requests end whichever back end runs them, and come again.
    ``needs``: so many back ends at a time report a need in their answers.
    Without ``strikes`` nothing else happens.
    """

    seed: int
    seconds: float = 20.0
    hubs: int = 3
    nodes: int = 4
    connections: int = 4
    poison: int = 0
    needs: int = 0
    strikes: bool = True


class SoakResult(msgspec.Struct, frozen=True):
    """Result of a soak, with counts of what was seen; ``kinds`` counts faults by kind."""

    seed: int
    seconds: float
    requests: int
    answered: int
    refused: int
    broken: int
    runs: int
    repeats: int
    second_answers: int
    changes: int
    acknowledged: int
    reads: int
    probes: int
    poison: int
    limits: int
    answered_leavings: int
    kinds: dict[str, int]
    violations: tuple[Violation, ...]

    @property
    def clean(self) -> bool:
        """Whether every promise held."""
        return not self.violations


class Soak:
    """One soak; its folder keeps the logs."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Create the site; ``run`` starts it."""
        self._plan = plan
        self._record = Record()
        self._site = Site(folder, plan.hubs, plan.nodes, plan.seed)
        self._operators = Operators(self._site, self._record, plan.seed)
        numbers = itertools.count(1)
        self._callers = {
            node.name: Callers(node, self._record, plan.seed + place, numbers)
            for place, node in enumerate(self._site.nodes)
        }
        self._back_ends: dict[str, SoakBackEnd] = {}

    async def run(self) -> SoakResult:
        """Run to the end and return the result; every process is killed in any case."""
        try:
            await self._start()
            await self._play()
            await self._calm_down()
        finally:
            self._site.stop()
            await asyncio.sleep(HANG_UP_SECONDS)
            for back_end in self._back_ends.values():
                await back_end.stop()
        for machine in self._site.machines:
            machine.note_broken_invariants(self._record)
        return self._result()

    async def _start(self) -> None:
        for place, node in enumerate(self._site.nodes):
            node.service = SERVICES[place % len(SERVICES)] if place else SERVICES[0]
        self._site.start()
        for place, node in enumerate(self._site.nodes):
            seed = self._plan.seed + place
            back_end = SoakBackEnd(node.name, node.host, node.service, self._record, seed)
            await back_end.start()
            self._back_ends[node.name] = back_end
        async with asyncio.timeout(START_SECONDS):
            await self._operators.send_first()
            for node in self._site.nodes:
                await self._until_served(node)

    async def _play(self) -> None:
        """Apply load and faults; the load continues until the last fault is over."""
        callers = tuple(self._callers.values())
        poison = PoisonCallers(callers, self._plan.poison, self._plan.seed)
        needs = Needs(self._called_back_ends, self._plan.needs, self._plan.seed)
        failures = Failures(self._called_back_ends, self._plan.seed)
        twice = AnsweringTwice(self._called_back_ends, self._plan.seed)
        work = [
            asyncio.create_task(needs.run()),
            asyncio.create_task(failures.run()),
            asyncio.create_task(twice.run()),
            asyncio.create_task(self._operators.run()),
            asyncio.create_task(self._watch_processes()),
            asyncio.create_task(poison.run(self._plan.seconds)),
            *(
                asyncio.create_task(
                    callers.run(self._plan.connections, lambda: self._operators.newest)
                )
                for callers in self._callers.values()
            ),
        ]
        try:
            await self._strike()
        finally:
            for task in work:
                task.cancel()
            for task in work:
                with contextlib.suppress(asyncio.CancelledError):
                    await task

    @property
    def _called_back_ends(self) -> tuple[SoakBackEnd, ...]:
        """Back ends of the service that all routes lead to."""
        return tuple(
            self._back_ends[node.name]
            for node in self._site.nodes
            if node.service == SERVICES[0]
        )

    async def _strike(self) -> None:
        """Inject the faults; without any, wait for as long."""
        if not self._plan.strikes:
            await asyncio.sleep(self._plan.seconds)
            return
        faults = draw_faults(
            self._plan.seed,
            self._plan.seconds,
            tuple(hub.name for hub in self._site.hubs),
            tuple(node.name for node in self._site.nodes),
        )
        await Injector(self._site, self._back_ends, self._record).run(faults)

    async def _calm_down(self) -> None:
        """Wait until every machine is back and every node uses the last change."""
        waiting = {machine.name: machine for machine in self._site.machines}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALM_SECONDS):
                await self._operators.settle()
                for hub in self._site.hubs:
                    await self._until_read(hub)
                    del waiting[hub.name]
                for node in self._site.nodes:
                    await self._until_served(node)
                    await self._until_ready(node)
                    del waiting[node.name]
        self._record.unready.extend(waiting)

    async def _until_read(self, hub: Machine) -> None:
        while await self._operators.read(hub) < self._operators.newest:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)

    async def _until_served(self, node: Machine) -> None:
        callers = self._callers[node.name]
        while await callers.probe(self._operators.newest) != STATUS_OK:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)

    async def _until_ready(self, node: Machine) -> None:
        address = f"{node.host}:{settings.READY_PORT}"
        while True:
            connection = ClientConnection(address)
            answer = await connection.call(ClientRequest("GET", READY_PATH, ()))
            connection.close()
            if isinstance(answer, ClientAnswer) and answer.status == STATUS_OK:
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _watch_processes(self) -> None:
        while True:
            for machine in self._site.machines:
                machine.note_end(self._record)
            await asyncio.sleep(POLL_SECONDS)

    def _result(self) -> SoakResult:
        record = self._record
        kinds: dict[str, int] = {}
        for each in record.disturbances:
            kinds[each.kind] = kinds.get(each.kind, 0) + 1
        return SoakResult(
            seed=self._plan.seed,
            seconds=self._plan.seconds,
            requests=len(record.requests),
            answered=sum(each.status == STATUS_OK for each in record.requests),
            refused=sum(each.status > STATUS_OK for each in record.requests),
            broken=sum(each.status == 0 for each in record.requests),
            runs=len(record.runs),
            repeats=len(record.arrivals) - len({each.request for each in record.arrivals}),
            second_answers=len(record.second_answers),
            changes=len(record.changes),
            acknowledged=sum(each.status == STATUS_OK for each in record.changes),
            reads=len(record.reads),
            probes=len(record.probes),
            poison=len(record.poison),
            limits=len(record.limits),
            answered_leavings=len(record.answered_leavings),
            kinds=kinds,
            violations=find_violations(record),
        )


async def run_soak(plan: SoakPlan, folder: Path) -> tuple[SoakResult, float]:
    """Run one soak with its logs in ``folder``; return the result and its seconds."""
    begun = time.monotonic()
    result = await Soak(plan, folder).run()
    return result, time.monotonic() - begun
