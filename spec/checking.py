"""Runs one specification through the model checker and measures the search."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from minicheck import Protocol, check_liveness, check_safety
from minicheck._core import SearchIncomplete

from spec.specification import Mutant, Specification

State = tuple[Any, ...]
Successors = list[tuple[str, State]]
LIVENESS_PROPERTY = "goal stays reachable"


@dataclass(frozen=True)
class Step:
    """One step of a counterexample: what happened and the state after it."""

    label: str
    state: dict[str, Any]


@dataclass(frozen=True)
class PropertyResult:
    """Verdict on one property; ``holds`` is None when nothing was established."""

    name: str
    holds: bool | None
    counterexample: tuple[Step, ...]


@dataclass(frozen=True)
class CheckResult:
    """Outcome of the search of one model; ``depth`` counts steps, ``seconds`` CPU time."""

    name: str
    states: int
    depth: int
    seconds: float
    exhaustive: bool
    properties: tuple[PropertyResult, ...]

    @property
    def passed(self) -> bool:
        """Whether the search was exhaustive and every property holds."""
        return self.exhaustive and all(entry.holds is True for entry in self.properties)

    def result_of(self, name: str) -> PropertyResult:
        """Give the verdict on one property."""
        return next(entry for entry in self.properties if entry.name == name)


class _DepthCounter:
    """Wraps a transition function and learns the depth of each state on the way.

    The checker searches breadth first, so the first predecessor that names a
    state gives its depth.
    """

    def __init__(self, initial: State, transitions: Callable[[State], Successors]) -> None:
        self._transitions = transitions
        self._depths = {initial: 0}

    def __call__(self, state: State) -> Successors:
        successors = self._transitions(state)
        depth = self._depths[state] + 1
        for _, successor in successors:
            self._depths.setdefault(successor, depth)
        return successors

    @property
    def depth(self) -> int:
        return max(self._depths.values())


class _Found(SearchIncomplete):
    """Ends a search early: the counterexample looked for is at hand."""


class _StopWhenBroken:
    """Wraps a transition function and ends the search at the first broken state."""

    def __init__(
        self, model: Protocol, invariant: Callable[[dict[str, Any]], bool]
    ) -> None:
        self._model = model
        self._invariant = invariant

    def __call__(self, state: State) -> Successors:
        if not self._invariant(self._model.d(state)):
            raise _Found("counterexample found")
        return list(self._model.transitions(state))


def check(specification: Specification) -> CheckResult:
    """Search the whole model of ``specification`` within its bounds."""
    return check_model(specification.model(), specification.max_states)


def find_counterexample(specification: Specification, mutant: Mutant) -> tuple[Step, ...]:
    """Search a mutant until its invariant breaks; () if it never does."""
    model = specification.build(mutant.guard)
    invariants = {mutant.breaks: model.invariants[mutant.breaks]}
    stopping = replace(
        model,
        invariants=invariants,
        transitions=_StopWhenBroken(model, invariants[mutant.breaks]),
        goal=None,
    )
    outcome = check_safety(stopping, max_states=specification.max_states)
    return _steps(outcome["properties"][mutant.breaks]["counterexample"])


def check_model(model: Protocol, max_states: int) -> CheckResult:
    """Check the invariants of ``model`` and, if it has one, its goal."""
    started = time.process_time()
    counter = _DepthCounter(model.initial, model.transitions)
    outcome = check_safety(replace(model, transitions=counter), max_states=max_states)
    results = [
        PropertyResult(name, verdict["holds"], _steps(verdict["counterexample"]))
        for name, verdict in outcome["properties"].items()
    ]
    if model.goal is not None:
        results.append(_check_goal(model))
    return CheckResult(
        name=model.name,
        states=outcome["reachable_states"],
        depth=counter.depth,
        seconds=time.process_time() - started,
        exhaustive=outcome["exhaustive"],
        properties=tuple(results),
    )


def _check_goal(model: Protocol) -> PropertyResult:
    verdict = check_liveness(model)
    steps = _steps(verdict.get("counterexample"))
    return PropertyResult(LIVENESS_PROPERTY, verdict["holds"], steps)


def _steps(trace: list[dict[str, Any]] | None) -> tuple[Step, ...]:
    if trace is None:
        return ()
    return tuple(Step(entry["label"] or "start", entry["state"]) for entry in trace)
