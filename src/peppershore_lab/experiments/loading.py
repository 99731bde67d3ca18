"""Reads an experiment's TOML file and checks it: every problem at once, with its place."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from peppershore_lab.experiments.definition import (
    INJECTED_ACTIONS,
    LINK_ACTIONS,
    PROCESS_ACTIONS,
    Experiment,
    FaultStep,
)
from peppershore_lab.fleet.deployment import DEPLOYMENTS, Deployment, call_kinds
from peppershore_lab.standin.behaviour import changed

MAXIMUM_SECONDS = 600.0
BACKEND_PATTERN_PREFIX = "backend-"


class BadExperiment(msgspec.Struct, frozen=True):
    """An experiment file that can't be run, and everything wrong with it."""

    path: str
    problems: tuple[str, ...]


def load_experiment(path: Path) -> Result[Experiment, BadExperiment]:
    """Read and check one file."""
    try:
        experiment = msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as problem:
        return Failure(BadExperiment(str(path), (str(problem),)))
    problems = tuple(_problems(experiment))
    if problems:
        return Failure(BadExperiment(str(path), problems))
    return Success(experiment)


def deployment_of(experiment: Experiment) -> Deployment:
    """Give the deployment with the experiment's changes."""
    base = DEPLOYMENTS[experiment.deployment]
    fleet = experiment.fleet
    given = {
        name: value
        for name in (
            "replicas",
            "relays_per_zone",
            "claims_replicas",
            "batching_milliseconds",
            "emulated_links",
        )
        if (value := getattr(fleet, name)) is not None
    }
    services = tuple(
        msgspec.structs.replace(
            service, behaviour=changed(service.behaviour, fleet.behaviour)
        )
        for service in base.services
    )
    return msgspec.structs.replace(base, services=services, **given)


def _problems(experiment: Experiment) -> Iterator[str]:
    if experiment.deployment not in DEPLOYMENTS:
        allowed = ", ".join(sorted(DEPLOYMENTS))
        yield f"deployment: {experiment.deployment!r} is not one of {allowed}"
    if not 0 < experiment.duration_seconds <= MAXIMUM_SECONDS:
        yield f"duration_seconds: must be above 0 and at most {MAXIMUM_SECONDS:.0f}"
    for number, load in enumerate(experiment.calls):
        if not load.rate:
            yield f"calls[{number}].rate: at least one point is needed"
        for name in sorted(load.kinds.keys() - _kind_names(experiment)):
            yield f"calls[{number}].kinds: {experiment.deployment} has no call {name!r}"
    for number, step in enumerate(experiment.faults):
        for problem in _step_problems(experiment, step):
            yield f"faults[{number}] ({step.action}): {problem}"


def _kind_names(experiment: Experiment) -> frozenset[str]:
    deployment = DEPLOYMENTS.get(experiment.deployment)
    kinds = call_kinds(deployment) if deployment is not None else ()
    return frozenset(kind.name for kind in kinds)


def _step_problems(experiment: Experiment, step: FaultStep) -> Iterator[str]:
    if not 0 <= step.at_seconds <= experiment.duration_seconds:
        yield "at_seconds lies outside the run"
    if step.action in LINK_ACTIONS:
        if not step.links or step.processes:
            yield "needs links and takes no processes"
    elif not step.processes or step.links:
        yield "needs processes and takes no links"
    if step.action == "damage-file" and not step.file:
        yield "needs file"
    if step.action in INJECTED_ACTIONS and not experiment.fleet.injected:
        yield "needs fleet.injected to name the processes that run with the fault shim"
    if step.action == "behaviour" and not all(
        pattern.startswith(BACKEND_PATTERN_PREFIX) for pattern in step.processes
    ):
        yield "only back ends have a behaviour"
    if step.action == "replace" and not all(
        pattern.startswith("control-") for pattern in step.processes
    ):
        yield "only control replicas can be replaced"
    if step.action in PROCESS_ACTIONS and step.direction != "both":
        yield "direction is for links"
