"""Expands the fault steps of an experiment into the faults of one seeded run."""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from peppershore_lab.experiments.definition import LINK_ACTIONS, FaultStep
from peppershore_lab.links.model import matches


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault at one moment; ``targets`` are the names of processes or links."""

    at_seconds: float
    step: FaultStep
    targets: tuple[str, ...]

    @property
    def ends_at_seconds(self) -> float | None:
        """When it is undone; None: at the end of the run."""
        return self.at_seconds + self.step.seconds if self.step.seconds else None


class NoTarget(msgspec.Struct, frozen=True):
    """A step whose patterns match nothing in this fleet."""

    step: FaultStep


def plan_faults(
    steps: Sequence[FaultStep],
    processes: Sequence[str],
    links: Sequence[str],
    seed: int,
) -> Result[tuple[PlannedFault, ...], NoTarget]:
    """Give all faults in order of time; the same seed gives the same faults."""
    generator = random.Random(seed)
    planned: list[PlannedFault] = []
    for step in steps:
        targets = _targets(step, processes, links, generator)
        if not targets:
            return Failure(NoTarget(step))
        planned += _spread(step, targets, generator)
    return Success(tuple(sorted(planned, key=lambda fault: fault.at_seconds)))


def _targets(
    step: FaultStep,
    processes: Sequence[str],
    links: Sequence[str],
    generator: random.Random,
) -> tuple[str, ...]:
    is_link = step.action in LINK_ACTIONS
    names, patterns = (links, step.links) if is_link else (processes, step.processes)
    found = [name for name in names if matches(name, patterns)]
    if step.pick and step.pick < len(found):
        found = sorted(generator.sample(found, step.pick), key=found.index)
    return tuple(found)


def _spread(
    step: FaultStep, targets: tuple[str, ...], generator: random.Random
) -> list[PlannedFault]:
    if not step.spread_seconds:
        return [PlannedFault(step.at_seconds, step, targets)]
    return [
        PlannedFault(
            step.at_seconds + generator.random() * step.spread_seconds, step, (target,)
        )
        for target in targets
    ]
