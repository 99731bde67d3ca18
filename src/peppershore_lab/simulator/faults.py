"""Brings seeded faults about over time, each undone again after a while."""

from __future__ import annotations

from random import Random

from peppershore_lab.simulator.fault_actions import Action, FaultActions
from peppershore_lab.simulator.fault_kinds import Fault, FaultPlan
from peppershore_lab.simulator.site import SimulatedSite

MIN_FAULT_SECONDS = 0.05


class FaultInjector:
    """Brings faults about while ``is_active`` and undoes each after its time."""

    def __init__(self, cluster: SimulatedSite, plan: FaultPlan) -> None:
        """Plan the first fault."""
        self.is_active = True
        self.injected = 0
        self.disturbed: set[str] = set()
        """Nodes that were themselves stopped, frozen or cut off."""
        self._cluster = cluster
        self._plan = plan
        self._randomness: Random = cluster.randomness
        self._actions = FaultActions(cluster)
        self._undo: list[Action] = []
        self._plan_next()

    def heal(self) -> None:
        """End all faults at once and bring no new ones."""
        self.is_active = False
        undo = self._undo
        self._undo = []
        for action in undo:
            action()
        self._cluster.network.heal()
        for process in self._cluster.processes:
            process.disk_fails = False
            process.disk_slowness = 1.0
            if process.is_frozen:
                process.wake()
            if not process.is_running:
                process.start()
        self._cluster.trace.note(self._cluster.scheduler.now, "all faults end")

    def _plan_next(self) -> None:
        wait = self._randomness.expovariate(1.0 / self._plan.mean_gap_seconds)
        self._cluster.scheduler.after(wait, self._inject)

    def _inject(self) -> None:
        if not self.is_active:
            return
        self._bring_about(self._randomness.choice(self._plan.kinds))
        self._plan_next()

    def _bring_about(self, kind: Fault) -> None:
        self.injected += 1
        effect = self._actions.bring_about(kind)
        names = ", ".join(process.name for process in effect.victims)
        self._cluster.trace.note(self._cluster.scheduler.now, f"{kind.value}: {names}")
        nodes = self._cluster.nodes
        self.disturbed.update(each.name for each in effect.victims if each in nodes)
        self._undo.append(effect.undo)
        span = self._plan.max_fault_seconds - MIN_FAULT_SECONDS
        duration = MIN_FAULT_SECONDS + span * self._randomness.random() ** 2
        self._cluster.scheduler.after(duration, lambda: self._end(kind, effect.undo))

    def _end(self, kind: Fault, undo: Action) -> None:
        if undo in self._undo:
            self._undo.remove(undo)
            undo()
            self._repeat(kind)

    def _repeat(self, kind: Fault) -> None:
        share = self._plan.repeat_share
        if share and self._randomness.random() < share:
            self._bring_about(kind)
