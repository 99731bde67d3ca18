"""Checks every specification: ``python -m spec [--only NAME] [--json FILE]``.

Each one is searched by a process of its own.

Exit code 0 only if every search was exhaustive within its bounds and every
property holds; 1 otherwise.
"""

from __future__ import annotations

import json
import multiprocessing
import sys
from pathlib import Path

import click

from spec.catalog import SPECIFICATIONS
from spec.checking import CheckResult, PropertyResult, check
from spec.specification import Specification

DEFAULT_WORKERS = 3
VERDICTS = {True: "holds", False: "BROKEN", None: "UNDETERMINED"}


@click.command()
@click.option("--only", default="", help="Check only the specification of this name.")
@click.option("--json", "json_file", default="", help="Also write the results there.")
@click.option("--workers", default=DEFAULT_WORKERS, help="Specifications at once.")
def main(only: str, json_file: str, workers: int) -> None:
    """Check the specifications and print states, depth, time and verdicts."""
    chosen = [entry for entry in SPECIFICATIONS if only in ("", entry.name)]
    if not chosen:
        names = ", ".join(entry.name for entry in SPECIFICATIONS)
        raise click.UsageError(f"no specification is called {only!r}; there are: {names}")
    results = []
    names = [specification.name for specification in chosen]
    with multiprocessing.get_context("fork").Pool(workers) as pool:
        for result in pool.imap(_check_named, names, chunksize=1):
            _print_result(result)
            results.append(result)
    if json_file:
        _write(Path(json_file), results)
    sys.exit(0 if all(result.passed for result in results) else 1)


def _check_named(name: str) -> CheckResult:
    return check(_specification_named(name))


def _specification_named(name: str) -> Specification:
    return next(entry for entry in SPECIFICATIONS if entry.name == name)


def _print_result(result: CheckResult) -> None:
    coverage = "exhaustive" if result.exhaustive else "NOT EXHAUSTIVE"
    click.echo(
        f"{result.name}: {result.states} states, depth {result.depth}, "
        f"{result.seconds:.1f} s CPU, {coverage}"
    )
    for entry in result.properties:
        click.echo(f"  {VERDICTS[entry.holds]:>12}  {entry.name}")
        _print_counterexample(entry)


def _print_counterexample(entry: PropertyResult) -> None:
    for number, step in enumerate(entry.counterexample):
        click.echo(f"      {number:>3}  {step.label}")
    if entry.counterexample:
        click.echo(f"           reaches {entry.counterexample[-1].state}")


def _write(target: Path, results: list[CheckResult]) -> None:
    entries = [
        {
            "name": result.name,
            "states": result.states,
            "depth": result.depth,
            "cpu_seconds": round(result.seconds, 1),
            "exhaustive": result.exhaustive,
            "properties": {
                entry.name: VERDICTS[entry.holds] for entry in result.properties
            },
        }
        for result in results
    ]
    target.write_text(json.dumps({"specifications": entries}, indent=2) + "\n")


if __name__ == "__main__":
    main()
