"""Experiment files: every committed one is valid; bad ones name every problem."""

from pathlib import Path

import pytest

from peppershore_lab.experiments.definition import Experiment, FaultStep, FleetChange
from peppershore_lab.experiments.loading import deployment_of, load_experiment
from peppershore_lab.experiments.timeline import plan_faults
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.deployment import GUILD
from peppershore_lab.fleet.plan import lay_out
from peppershore_lab.links.table import LinkTable
from peppershore_lab.standin.behaviour import BehaviourChange

FILES = sorted((Path(__file__).parents[2] / "experiments").glob("*.toml"))
PROCESSES = ("control-1", "control-2", "relay-a", "relay-b", "relay-c")


def step(**fields):
    return FaultStep(**({"at_seconds": 1.0, "action": "kill"} | fields))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_experiment_is_valid_and_every_step_hits_something(path):
    experiment = load_experiment(path).unwrap()
    assert experiment.name == path.stem
    block = AddressBlock()
    layout = lay_out(deployment_of(experiment), block)
    links = [spec.name for spec in LinkTable(layout, block.next_host()).specs]
    block.close()
    groups = (layout.replicas, layout.claims, layout.relays, layout.backends)
    names = [member.name for group in (*groups, layout.proxies) for member in group]
    planned = plan_faults(experiment.faults, names, links, experiment.seed).unwrap()
    assert len(planned) >= len(experiment.faults)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_experiment_has_its_page_in_the_list(path):
    pages = path.parents[1] / "docs" / "experiments"
    assert (
        f"peppershore-lab run experiments/{path.name}"
        in (pages / f"{path.stem}.md").read_text()
    )
    assert f"]({path.stem}.md)" in (pages / "README.md").read_text()


def test_every_problem_of_a_file_is_told_at_once(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(
        'name = "bad"\ntitle = ""\nshows = ""\ndeployment = "nowhere"\n'
        "duration_seconds = 900\n"
        '[[faults]]\nat_seconds = 1\naction = "cut"\nprocesses = ["relay-*"]\n'
        '[[faults]]\nat_seconds = 1\naction = "full-disk"\nprocesses = ["control-1"]\n'
        '[[faults]]\nat_seconds = 1\naction = "replace"\nprocesses = ["relay-a"]\n'
        '[[faults]]\nat_seconds = 1\naction = "damage-file"\nprocesses = ["control-1"]\n'
    )
    problems = load_experiment(path).failure().problems
    assert len(problems) == 6


@pytest.mark.parametrize(
    "text", ["name = ", "unknown = 1", 'name = "x"\nseed = "one"', "\x00"]
)
def test_a_file_that_is_no_experiment_is_refused(tmp_path, text):
    path = tmp_path / "bad.toml"
    path.write_text(text)
    assert load_experiment(path).failure().problems


def test_a_kind_of_call_that_the_deployment_lacks_is_refused(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(
        'name = "bad"\ntitle = ""\nshows = ""\ndeployment = "guild"\n'
        "duration_seconds = 1\n[[calls]]\n"
        "rate = [{ at_seconds = 0, calls_per_second = 1 }]\n"
        '[calls.kinds."kassa/payout"]\nshare = 1.0\n'
    )
    (problem,) = load_experiment(path).failure().problems
    assert "kassa/payout" in problem


def test_the_same_seed_draws_the_same_targets_and_moments():
    steps = [
        step(processes=("relay-*",), pick=2),
        step(processes=("*",), spread_seconds=5.0, at_seconds=0.5),
    ]
    first = plan_faults(steps, PROCESSES, (), seed=7).unwrap()
    assert first == plan_faults(steps, PROCESSES, (), seed=7).unwrap()
    assert first != plan_faults(steps, PROCESSES, (), seed=8).unwrap()
    assert [fault.at_seconds for fault in first] == sorted(
        fault.at_seconds for fault in first
    )
    picked = next(fault for fault in first if fault.step.pick)
    assert len(picked.targets) == 2
    assert sum(len(fault.targets) for fault in first) == 2 + len(PROCESSES)


def test_a_step_that_matches_nothing_is_refused():
    nothing = step(processes=("edge-*",))
    assert plan_faults([nothing], PROCESSES, (), seed=1).failure().step == nothing


def test_changes_of_the_fleet_reach_the_deployment():
    experiment = Experiment(
        name="x",
        title="",
        shows="",
        deployment="guild",
        duration_seconds=1.0,
        fleet=FleetChange(replicas=5, behaviour=BehaviourChange(work_milliseconds=40.0)),
    )
    deployment = deployment_of(experiment)
    assert (deployment.replicas, deployment.claims_replicas) == (5, GUILD.claims_replicas)
    works = {service.behaviour.work_milliseconds for service in deployment.services}
    slots = {service.behaviour.slots for service in deployment.services}
    assert (works, slots) == ({40.0}, {10})
