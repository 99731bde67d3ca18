"""What the slope benchmarks share: processor time of processes, lines, result files."""

from __future__ import annotations

import os
import shlex
import statistics
import sys
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec
import psutil

from peppershore_lab.fleet.managed_process import ManagedProcess


class Line(msgspec.Struct, frozen=True):
    """A straight line through measured points; ``residual`` is the largest miss."""

    at_zero: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Give the value of the line at a size."""
        return self.at_zero + self.slope * size


class Machine(msgspec.Struct, frozen=True):
    """The machine's state when a run ended."""

    cores: int
    load_average: float
    python: str


def fitted_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line by least squares."""
    slope, at_zero = statistics.linear_regression(sizes, values)
    misses = [
        abs(value - at_zero - slope * size)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Line(at_zero, slope, max(misses))


def processor_seconds(process: ManagedProcess) -> float:
    """Processor time of a running process since its start; resolution 10 ms."""
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)


def resident_bytes(process: ManagedProcess) -> int:
    """Memory of a running process that is resident now."""
    return int(psutil.Process(process.pid).memory_info().rss)


def folder_bytes(folder: Path) -> int:
    """Bytes of all files in a folder."""
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def machine_now() -> Machine:
    """Describe the machine now."""
    return Machine(
        cores=os.cpu_count() or 1,
        load_average=round(os.getloadavg()[0], 2),
        python=sys.version.split()[0],
    )


def command_of(module: str) -> str:
    """Give the command that runs this benchmark, without output file and folders."""
    arguments = [each for each in sys.argv[1:] if not each.endswith(".json")]
    arguments = [each for each in arguments if each != "--output"]
    shown = ["FOLDER" if each.startswith("/") else each for each in arguments]
    return shlex.join(["python", "-m", f"benchmarks.{module}", *shown])


def write_result(result: msgspec.Struct, output: Path | None) -> None:
    """Write a result as JSON to a file, or to standard output."""
    encoded = msgspec.json.format(msgspec.json.encode(result), indent=1)
    if output is None:
        click.echo(encoded)
    else:
        output.write_bytes(encoded + b"\n")
