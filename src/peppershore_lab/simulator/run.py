"""Runs one seed: faults for a while, then healing, then convergence."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from peppershore.process.node.core import NodeCore
from peppershore_lab.simulator.cluster import Cluster
from peppershore_lab.simulator.faults import FaultInjector
from peppershore_lab.simulator.operator import OperatorCore
from peppershore_lab.simulator.payout_run import PayoutRun
from peppershore_lab.simulator.payout_site import PayoutSite
from peppershore_lab.simulator.profiles import PayoutProfile, Profile
from peppershore_lab.simulator.rotation_check import (
    check_refusals,
    check_rotations,
)
from peppershore_lab.simulator.violations import PromiseBrokenError, require

CONVERGED = "after the faults every node soon holds the newest version"
REPORTED = "what every node holds is soon reported in force"
INVARIANT = "no core breaks an invariant of its own"
SLICE_SECONDS = 0.1
"""How often the conditions that concern the whole cluster are looked at."""
REPORT_BOUND_SECONDS = 40.0
"""Relays settle 8 s after a start, and one that is gone counts for 30 s."""
QUIET_SECONDS = 1.0
"""How long the cluster must stay converged to be taken as such."""


@dataclass(frozen=True)
class SeedResult:
    """What one run did; ``promise`` is empty if everything held."""

    profile: str
    seed: int
    steps: int
    messages: int
    faults: int
    accepted_edits: int
    versions_taken: int
    convergence_seconds: float
    replaced_replicas: int
    largest_step: int = 0
    """Versions that one node passed over at most when it took a newer one."""
    calls_run: int = 0
    """Calls under a key that back ends ran."""
    promise: str = ""
    detail: str = ""
    trace: tuple[str, ...] = ()

    @property
    def passed(self) -> bool:
        """Whether every promise held."""
        return not self.promise


def run_seed(profile: Profile | PayoutProfile, seed: int) -> SeedResult:
    """Run one seed of a profile with the real cores."""
    if isinstance(profile, PayoutProfile):
        return _run_payouts(profile, seed)
    cluster = Cluster(profile.shape, seed)
    run = _Run(cluster, profile)
    promise, detail = _broken_promise(run.play)
    return SeedResult(
        profile=profile.name,
        seed=seed,
        steps=cluster.steps,
        messages=cluster.network.messages,
        faults=run.injector.injected,
        accepted_edits=cluster.checks.log.edits,
        versions_taken=cluster.checks.swaps,
        convergence_seconds=run.convergence_seconds,
        replaced_replicas=cluster.replacements.done,
        largest_step=cluster.checks.largest_step,
        promise=promise,
        detail=detail,
        trace=tuple(cluster.trace.lines()) if promise else (),
    )


def _run_payouts(profile: PayoutProfile, seed: int) -> SeedResult:
    site = PayoutSite(profile.shape, seed)
    run = PayoutRun(site, profile.faults)
    promise, detail = _broken_promise(
        lambda: run.play(profile.fault_seconds, profile.convergence_bound_seconds)
    )
    return SeedResult(
        profile=profile.name,
        seed=seed,
        steps=site.steps,
        messages=site.network.messages,
        faults=run.injector.injected,
        accepted_edits=0,
        versions_taken=0,
        convergence_seconds=run.convergence_seconds,
        replaced_replicas=site.replacements.done,
        calls_run=site.journal.runs.total(),
        promise=promise,
        detail=detail,
        trace=tuple(site.trace.lines()) if promise else (),
    )


def _broken_promise(play: Callable[[], None]) -> tuple[str, str]:
    """Play a run; the promise that broke and how it was seen, both empty if none."""
    try:
        play()
    except PromiseBrokenError as broken:
        return broken.promise, broken.detail
    except AssertionError as broken:
        return INVARIANT, str(broken) or "assertion without text"
    return "", ""


class _Run:
    """The phases of one run."""

    def __init__(self, cluster: Cluster, profile: Profile) -> None:
        self.convergence_seconds = 0.0
        self._cluster = cluster
        self._profile = profile
        self.injector = FaultInjector(cluster, profile.faults)

    def play(self) -> None:
        self._cluster.start()
        self._advance(self._profile.fault_seconds)
        self.injector.heal()
        self._cluster.set_operators_active(False)
        healed_at = self._cluster.scheduler.now
        self._await_convergence(healed_at + self._profile.convergence_bound_seconds)
        self.convergence_seconds = self._cluster.scheduler.now - healed_at - QUIET_SECONDS
        self._check_end()
        if self._profile.awaits_report:
            self._await_report()

    def _await_report(self) -> None:
        """Operators ask for the state until the newest version is in force."""
        cluster = self._cluster
        deadline = cluster.scheduler.now + REPORT_BOUND_SECONDS
        cluster.set_operators_watching(True)
        while cluster.checks.in_force < cluster.checks.log.newest:
            self._slice()
            newest = cluster.checks.log.newest
            detail = f"{cluster.checks.in_force} is reported, {newest} is the newest"
            require(cluster.scheduler.now < deadline, REPORTED, detail)

    def _advance(self, seconds: float) -> None:
        end = self._cluster.scheduler.now + seconds
        while self._cluster.scheduler.now < end:
            self._slice()

    def _slice(self) -> None:
        scheduler = self._cluster.scheduler
        scheduler.run_until(scheduler.now + SLICE_SECONDS)
        running = {
            process.name: process.core
            for process in self._cluster.nodes
            if isinstance(process.core, NodeCore)
        }
        undisturbed = {
            name: core
            for name, core in running.items()
            if name not in self.injector.disturbed
        }
        for name, core in undisturbed.items():
            self._cluster.checks.check_in_force(name, core)
        check_rotations(running, undisturbed)
        for process in self._cluster.nodes:
            if process.name in running:
                self._cluster.answered.check_confirmed(process, scheduler.now)
        self._check_refusals(running)

    def _check_refusals(self, running: dict[str, NodeCore]) -> None:
        """Whoever runs and is not standing still may refuse a token at this moment."""
        processes = {process.name: process for process in self._cluster.nodes}
        awake = {
            name: core for name, core in running.items() if not processes[name].is_frozen
        }
        check_refusals(running, awake, lambda name: processes[name].clock.now)

    def _await_convergence(self, deadline: float) -> None:
        scheduler = self._cluster.scheduler
        quiet_since = scheduler.now
        while scheduler.now - quiet_since < QUIET_SECONDS:
            self._slice()
            if not self._is_settled():
                quiet_since = scheduler.now
            require(scheduler.now < deadline, CONVERGED, self._unsettled())

    def _is_settled(self) -> bool:
        idle = all(
            core.is_idle
            for process in self._cluster.operators
            if isinstance(core := process.core, OperatorCore)
        )
        whole = not self._cluster.replacements
        return idle and whole and self._cluster.is_converged()

    def _unsettled(self) -> str:
        newest = self._cluster.checks.log.newest
        behind = [
            process.name
            for process in self._cluster.nodes
            if not self._cluster.holds_newest(process)
        ]
        waiting = len(self._cluster.replacements)
        return f"newest {newest}, not held by {behind}; {waiting} replicas to be replaced"

    def _check_end(self) -> None:
        log = self._cluster.checks.log
        for process in self._cluster.replicas:
            self._cluster.checks.after_step(process)
        require(log.newest >= log.confirmed, CONVERGED, "an answered edit is missing")
