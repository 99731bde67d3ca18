"""The scale run as a command: ``python -m benchmarks.scale_run --help``."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click

from benchmarks.measuring import command_of, write_result
from peppershore_lab.hollow.layout import FleetLayout
from peppershore_lab.hollow.plan import ScalePlan
from peppershore_lab.hollow.results import ScaleResults, ScaleRun
from peppershore_lab.hollow.run import run_scale
from peppershore_lab.run import run_to_end

NODES_PER_HOLLOW_PROCESS = 1_125


@click.command()
@click.option("--nodes", type=int, multiple=True, default=(9_000,), show_default=True)
@click.option("--relays", type=int, default=16, show_default=True)
@click.option("--replicas", type=int, default=5, show_default=True)
@click.option("--steady-seconds", type=float, default=60.0, show_default=True)
@click.option("--idle-seconds", type=float, default=15.0, show_default=True)
@click.option("--missed-changes", type=int, default=300, show_default=True)
@click.option("--baseline-changes", type=int, default=3, show_default=True)
@click.option("--batching-milliseconds", type=int, default=0, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(
    nodes: tuple[int, ...], relays: int, output: Path | None, **plan_options: Any
) -> None:
    """Measure the system with real replicas and relays and hollow nodes.

    ``--nodes`` may be given several times; each size is a run of its own.
    """
    plans = [
        ScalePlan(
            layout=FleetLayout(nodes=count, relays=relays),
            hollow_processes=-(-count // NODES_PER_HOLLOW_PROCESS),
            **plan_options,
        )
        for count in nodes
    ]
    runs = tuple(_run(plan) for plan in plans)
    write_result(ScaleResults(command=command_of("scale_run"), runs=runs), output)


def _run(plan: ScalePlan) -> ScaleRun:
    started = time.monotonic()

    def progress(phase: str) -> None:
        elapsed = time.monotonic() - started
        click.echo(f"{elapsed:7.1f} s  {plan.layout.nodes} nodes: {phase}", err=True)

    return run_to_end(run_scale(plan, progress))


if __name__ == "__main__":
    main()
