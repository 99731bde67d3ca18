"""Cost of the command line: processor time, memory and time of single commands.

Run: ``python -m benchmarks.slopes_command [--output results/slopes_command.json]``

One control replica with the two-year tree; each command is a process of its own.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import time
from pathlib import Path

import click
import msgspec

from benchmarks.measuring import Machine, command_of, machine_now, write_result
from peppershore_lab.hollow.cluster import PROGRAM, RealCluster
from peppershore_lab.hollow.layout import FleetLayout, initial_edit
from peppershore_lab.hollow.operator import ScaleOperator

REPETITIONS = 7
STARTS_SECONDS = 2.0
KIBIBYTE = 1024


class CommandCost(msgspec.Struct, frozen=True):
    """One command: medians over its repetitions."""

    command: str
    processor_milliseconds: float
    milliseconds: float
    resident_bytes: int


class CommandSlopes(msgspec.Struct, frozen=True):
    """All results of one run."""

    command: str
    machine: Machine
    commands: list[CommandCost]


def run_once(arguments: tuple[str, ...]) -> tuple[float, float, int]:
    """Run a command; give processor seconds, seconds, and its largest memory."""
    began = time.monotonic()
    output = os.open(os.devnull, os.O_WRONLY)
    pid = os.posix_spawn(
        arguments[0],
        arguments,
        os.environ,
        file_actions=[(os.POSIX_SPAWN_DUP2, output, sys.stdout.fileno())],
    )
    _, status, usage = os.wait4(pid, 0)
    os.close(output)
    assert os.waitstatus_to_exitcode(status) == 0, arguments
    seconds = time.monotonic() - began
    return usage.ru_utime + usage.ru_stime, seconds, usage.ru_maxrss * KIBIBYTE


def measure(name: str, arguments: tuple[str, ...], replica: str) -> CommandCost:
    """Measure one command, each time as a new process."""
    full = (str(PROGRAM), *arguments, "--replica", replica)
    runs = [run_once(full) for _ in range(REPETITIONS)]
    return CommandCost(
        command=name,
        processor_milliseconds=round(statistics.median(run[0] for run in runs) * 1e3, 1),
        milliseconds=round(statistics.median(run[1] for run in runs) * 1e3, 1),
        resident_bytes=max(run[2] for run in runs),
    )


async def _load(cluster: RealCluster, layout: FleetLayout) -> None:
    await ScaleOperator(cluster.replicas).submit(initial_edit(layout))
    await asyncio.sleep(STARTS_SECONDS)


@click.command()
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(output: Path | None) -> None:
    """Measure the commands operators use most."""
    layout = FleetLayout(nodes=0, relays=1)
    with RealCluster(layout, replicas=1) as cluster:
        asyncio.run(_load(cluster, layout))
        replica = cluster.replicas[0].address
        route = "/service000/zone00/route0"
        commands = {
            "tree set": ("tree", "set", route, "timeout_milliseconds=900"),
            "tree get": ("tree", "get", route),
            "tree show": ("tree", "show"),
            "status": ("status",),
        }
        costs = [measure(name, each, replica) for name, each in commands.items()]
    result = CommandSlopes(command_of("slopes_command"), machine_now(), costs)
    write_result(result, output)


if __name__ == "__main__":
    main()
