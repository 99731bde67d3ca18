"""Runs one experiment: fleet, load, edits, faults and baselines, then the verdicts."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from returns.result import Failure

from peppershore.version.model import Version
from peppershore.version.tree import apply_edit, empty_tree
from peppershore_lab.calls.plan import CallerPlan
from peppershore_lab.experiments.availability import Availability
from peppershore_lab.experiments.definition import Experiment
from peppershore_lab.experiments.distribution_baselines import (
    POLL_SECONDS,
    BaselineMeasure,
    DistributionBaseline,
)
from peppershore_lab.experiments.edits import Operators
from peppershore_lab.experiments.evidence import (
    Evidence,
    read_accepted,
    read_held,
    roles_of,
)
from peppershore_lab.experiments.injector import Injector
from peppershore_lab.experiments.load import caller_plans
from peppershore_lab.experiments.loading import deployment_of
from peppershore_lab.experiments.marks import Span
from peppershore_lab.experiments.outcome import RunFacts, conclude
from peppershore_lab.experiments.result import ExperimentResult
from peppershore_lab.experiments.sampling import ControlByteSampler
from peppershore_lab.experiments.timeline import PlannedFault, plan_faults
from peppershore_lab.experiments.twin import TwinFleet, twin_name
from peppershore_lab.fleet.bring_up import FleetUp, bring_up
from peppershore_lab.fleet.fleet import Fleet, FleetFailed
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.tree_edit import creating_edit
from peppershore_lab.journal import (
    BACKEND_JOURNALS,
    CALLER_JOURNALS,
    read_calls,
    read_runs,
)
from peppershore_lab.operator_client import Operator
from peppershore_lab.reference import HistoryIncomplete, read_reference

CALLER_GRACE_SECONDS = 20.0
EDIT_ANSWER_SECONDS = 8.0
PLAIN_PROXY = "plain-proxy"
Progress = Callable[[str], None]


class ExperimentRun:
    """One run; ``run`` gives its result."""

    def __init__(
        self, experiment: Experiment, keep_folder: Path | None, progress: Progress
    ) -> None:
        """Prepare the run; files are kept if a folder is given."""
        self._experiment = experiment
        self._progress = progress
        self._fleet = Fleet(
            deployment_of(experiment),
            keep_folder,
            experiment.seed,
            experiment.fleet.injected,
        )
        replicas = self._fleet.replica_addresses
        self._operator = Operator(replicas)
        self._sampler = ControlByteSampler(self._fleet.layout.relays)
        self._injector = Injector(self._fleet, self._operator, progress)
        self._twin = TwinFleet(self._fleet)
        self._callers: list[ManagedProcess] = []
        self._operators = [
            Operators(
                load,
                self._fleet.layout.deployment,
                (
                    Operator(replicas, EDIT_ANSWER_SECONDS),
                    Operator(tuple(reversed(replicas)), EDIT_ANSWER_SECONDS),
                ),
                self._fleet.folder / f"edits-{number}.jsonl",
                experiment.seed + number,
            )
            for number, load in enumerate(experiment.edits)
        ]
        self._baselines: list[DistributionBaseline] = []

    async def run(self) -> ExperimentResult:
        """Bring the fleet up, run everything, stop it, judge it."""
        async with self._fleet:
            faults = self._planned_faults()
            up = await self._bring_up()
            began = time.time()
            await self._load_and_faults(faults, up.version)
            self._injector.heal()
            await self._settle()
            ended = time.time()
            measures = [await baseline.stop() for baseline in self._baselines]
            evidence = await self._evidence(Span(began, ended))
            return conclude(self._facts(up, evidence, measures))

    # --- stages ----------------------------------------------------------------

    async def _bring_up(self) -> FleetUp:
        experiment = self._experiment
        self._progress(f"{experiment.title}: {len(self._fleet.members)} processes")
        up = await bring_up(self._fleet, self._operator)
        self._progress(f"version {up.version} in force after {up.seconds:.1f} s")
        if PLAIN_PROXY in experiment.baselines:
            await self._twin.start()
        await self._start_baselines()
        return up

    async def _start_baselines(self) -> None:
        deployment = self._fleet.layout.deployment
        applied = apply_edit(empty_tree(deployment.cluster), creating_edit(deployment), 1)
        tree = applied.unwrap().tree
        home = deployment.zones[0].name
        delays = [
            0.0 if proxy.zone == home else deployment.zone_delay_milliseconds / 1_000
            for proxy in self._fleet.layout.proxies
        ]
        for name, poll_seconds in (("full-push", 0.0), ("polling", POLL_SECONDS)):
            if name in self._experiment.baselines:
                baseline = DistributionBaseline(name, tree, delays, poll_seconds)
                await baseline.start()
                self._baselines.append(baseline)
        for operators in self._operators:
            operators.listeners += [baseline.accepted for baseline in self._baselines]

    async def _load_and_faults(
        self, faults: tuple[PlannedFault, ...], version: Version
    ) -> None:
        plans = caller_plans(self._experiment, self._fleet)
        self._callers = [self._fleet.start_caller(plan) for plan in plans]
        self._callers += self._start_twin_callers(plans)
        began = time.monotonic()
        sampling = asyncio.ensure_future(self._sampler.run())
        injecting = asyncio.ensure_future(self._injector.run(faults, began))
        editing = [
            asyncio.ensure_future(operators.run(began, version))
            for operators in self._operators
        ]
        reconnecting = asyncio.ensure_future(self._reconnect_baselines(faults, began))
        await self._watch(began)
        self._injector.heal()
        await asyncio.gather(injecting, reconnecting, *editing)
        await self._sampler.sample()
        sampling.cancel()

    def _start_twin_callers(self, plans: list[CallerPlan]) -> list[ManagedProcess]:
        if PLAIN_PROXY not in self._experiment.baselines:
            return []
        return self._twin.start_callers(plans)

    async def _watch(self, began: float) -> None:
        """Show progress until the run's time is over."""
        duration = self._experiment.duration_seconds
        while (elapsed := time.monotonic() - began) < duration:
            self._progress(self._line(elapsed))
            await asyncio.sleep(min(5.0, duration - elapsed))

    def _line(self, elapsed: float) -> str:
        edits = sum(len(each.records) for each in self._operators)
        sent = self._sampler.samples[-1].control_bytes if self._sampler.samples else 0
        return f"{elapsed:5.1f} s  {edits} edits answered, {sent} control bytes"

    async def _reconnect_baselines(
        self, faults: tuple[PlannedFault, ...], began: float
    ) -> None:
        """Let proxies of the push baseline restart when those of the fleet do."""
        names = [proxy.name for proxy in self._fleet.layout.proxies]
        for fault in faults:
            if fault.step.action not in ("kill", "stop") or fault.ends_at_seconds is None:
                continue
            wait = began + fault.ends_at_seconds - time.monotonic()
            await asyncio.sleep(max(0.0, wait))
            for target in fault.targets:
                if target in names:
                    for baseline in self._baselines:
                        baseline.reconnect(names.index(target))

    async def _settle(self) -> None:
        """Wait for the callers' ends and until the newest version is in force."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALLER_GRACE_SECONDS):
                await asyncio.gather(*(caller.ended() for caller in self._callers))
        status = (await self._operator.status()).value_or(None)
        if status is None:
            self._progress("no control replica answers")
            return
        relays = len(self._fleet.layout.relays)
        settled = await self._operator.wait_in_force(
            status.version, relays, self._experiment.settle_seconds
        )
        told = "is in force" if settled else "is NOT reported in force"
        self._progress(f"version {status.version} {told}")

    # --- evidence --------------------------------------------------------------

    def _planned_faults(self) -> tuple[PlannedFault, ...]:
        names = tuple(self._fleet.members)
        links = tuple(spec.name for spec in self._fleet.links.specs)
        planned = plan_faults(self._experiment.faults, names, links, self._experiment.seed)
        if isinstance(planned, Failure):
            step = planned.failure().step
            raise FleetFailed(f"{step.action} at {step.at_seconds} s matches nothing")
        return tuple(self._with_twins(fault) for fault in planned.unwrap())

    def _with_twins(self, fault: PlannedFault) -> PlannedFault:
        """Change the behaviour of twins of back ends, where there are any, alike."""
        if (
            fault.step.action != "behaviour"
            or PLAIN_PROXY not in self._experiment.baselines
        ):
            return fault
        twins = tuple(twin_name(target) for target in fault.targets)
        return msgspec.structs.replace(fault, targets=fault.targets + twins)

    async def _evidence(self, run: Span) -> Evidence:
        fleet = self._fleet
        layout = fleet.layout
        reference = await read_reference(
            layout.deployment.cluster, fleet.replica_addresses, layout.proxies
        )
        if isinstance(reference, HistoryIncomplete):
            raise FleetFailed(f"the history could not be read: {reference.reason}")
        marks = tuple(sorted(self._injector.marks, key=lambda mark: mark.began))
        journals = fleet.folder / "journals"
        logs = fleet.folder / "logs"
        return Evidence(
            experiment=self._experiment,
            layout=layout,
            run=run,
            marks=marks,
            reference=reference,
            held=read_held(logs, layout),
            accepted=read_accepted(logs, layout),
            edits=tuple(each for group in self._operators for each in group.records),
            calls=read_calls(journals),
            runs=read_runs(journals),
            availability=Availability(roles_of(layout), marks, run),
        )

    def _facts(
        self, up: FleetUp, evidence: Evidence, measures: list[BaselineMeasure]
    ) -> RunFacts:
        journals = self._fleet.folder / "journals"
        return RunFacts(
            evidence=evidence,
            processes=len(self._fleet.processes),
            bring_up_seconds=up.seconds,
            samples=tuple(self._sampler.samples),
            baselines=tuple(measures),
            plain_calls=read_calls(journals, twin_name(CALLER_JOURNALS)),
            plain_runs=read_runs(journals, twin_name(BACKEND_JOURNALS)),
        )
