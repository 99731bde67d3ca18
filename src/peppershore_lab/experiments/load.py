"""The callers' plans of an experiment."""

from __future__ import annotations

import msgspec

from peppershore_lab.calls.plan import CallerPlan, CallKind
from peppershore_lab.experiments.definition import CallLoad, Experiment
from peppershore_lab.fleet.deployment import call_kinds
from peppershore_lab.fleet.fleet import Fleet


def caller_plans(experiment: Experiment, fleet: Fleet) -> list[CallerPlan]:
    """Give a plan for each load at each edge node."""
    return [
        _plan(experiment, fleet, load, f"caller-{index}-{number}", number)
        for index, load in enumerate(experiment.calls)
        for number in range(len(fleet.layout.edges))
    ]


def _plan(
    experiment: Experiment, fleet: Fleet, load: CallLoad, caller: str, number: int
) -> CallerPlan:
    edges = [edge.http_address for edge in fleet.layout.edges]
    own_first = edges[number:] + edges[:number]
    return CallerPlan(
        caller=caller,
        nodes=tuple(own_first if load.all_edges else own_first[:1]),
        kinds=_kinds(fleet, load),
        rate=load.rate,
        duration_seconds=experiment.duration_seconds,
        connections=load.connections,
        give_up_seconds=load.give_up_seconds,
        seed=experiment.seed * 1_000 + number,
        journal=str(fleet.journal_path(caller)),
        summary=str(fleet.folder / f"{caller}.json"),
    )


def _kinds(fleet: Fleet, load: CallLoad) -> tuple[CallKind, ...]:
    known = {kind.name: kind for kind in call_kinds(fleet.layout.deployment)}
    if not load.kinds:
        return tuple(known.values())
    return tuple(
        msgspec.structs.replace(
            known[name],
            share=change.share,
            deadline_milliseconds=change.deadline_milliseconds,
            resends=change.resends if known[name].keyed else 0,
            resend_after_milliseconds=change.resend_after_milliseconds,
            abandon_share=change.abandon_share,
            body_bytes=change.body_bytes,
        )
        for name, change in load.kinds.items()
    )
