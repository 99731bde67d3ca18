"""``peppershore-lab run``, ``report`` and ``compare``."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from peppershore_lab.experiments.compare import compare as compare_results
from peppershore_lab.experiments.compare import comparison_rows
from peppershore_lab.experiments.definition import Experiment
from peppershore_lab.experiments.figures import figure_rows
from peppershore_lab.experiments.loading import load_experiment
from peppershore_lab.experiments.result import ExperimentResult, read_result, write_result
from peppershore_lab.experiments.runner import ExperimentRun
from peppershore_lab.experiments.verdict import Verdict
from peppershore_lab.run import run_to_end

EXISTING_FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False)
DEFAULT_OUTPUT = Path("results/experiments")
NAME_WIDTH = 40
EXIT_BROKEN = 1
EXIT_BAD_INPUT = 2


@click.command()
@click.argument("experiment_file", type=EXISTING_FILE)
@click.option("--output", type=FOLDER, default=DEFAULT_OUTPUT, show_default=True)
@click.option("--seed", type=int, help="Instead of the file's seed.")
@click.option("--keep", type=FOLDER, help="Keep logs and journals in this folder.")
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON last.")
def run(
    experiment_file: Path,
    output: Path,
    seed: int | None,
    keep: Path | None,
    as_json: bool,
) -> None:
    """Run one experiment; write NAME.json and NAME.html.

    Exits with 0 only if no promise broke, with 2 if the file is wrong.
    """
    experiment = _experiment(experiment_file, seed)
    work = ExperimentRun(experiment, keep, lambda line: click.echo(line, err=True))
    result = run_to_end(work.run())
    write_result(output / f"{experiment.name}.json", result)
    _write_report(output / f"{experiment.name}.html", result)
    if as_json:
        click.echo(msgspec.json.encode(result).decode())
    else:
        _show(result)
    sys.exit(0 if result.clean else EXIT_BROKEN)


@click.command()
@click.argument("result_file", type=EXISTING_FILE)
@click.option("--output", type=click.Path(path_type=Path, dir_okay=False))
def report(result_file: Path, output: Path | None) -> None:
    """Draw the HTML report of a result again."""
    _write_report(output or result_file.with_suffix(".html"), _result(result_file))


@click.command()
@click.argument("a", type=EXISTING_FILE)
@click.argument("b", type=EXISTING_FILE)
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def compare(a: Path, b: Path, as_json: bool) -> None:
    """Set two results side by side; the ratio is B's figure by A's."""
    comparison = compare_results(_result(a), _result(b))
    if as_json:
        click.echo(msgspec.json.encode(comparison).decode())
        return
    rows = [("", comparison.a, comparison.b, "B / A"), *comparison_rows(comparison)]
    for name, left, right, ratio in rows:
        click.echo(f"{name:<55} {left:>18} {right:>18} {ratio:>8}")


def _write_report(path: Path, result: ExperimentResult) -> None:
    """Draw the page; the plots' library takes a second to import, so only here."""
    from peppershore_lab.experiments.report import write_report  # noqa: PLC0415

    write_report(path, result)


def _experiment(path: Path, seed: int | None) -> Experiment:
    loaded = load_experiment(path)
    if isinstance(loaded, Failure):
        bad = loaded.failure()
        for problem in bad.problems:
            click.echo(f"{bad.path}: {problem}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    experiment: Experiment = loaded.unwrap()
    return experiment if seed is None else msgspec.structs.replace(experiment, seed=seed)


def _result(path: Path) -> ExperimentResult:
    read = read_result(path)
    if isinstance(read, Failure):
        bad = read.failure()
        click.echo(f"{bad.path}: {bad.reason}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    return read.unwrap()


def _show(result: ExperimentResult) -> None:
    for name, value in figure_rows(result):
        click.echo(f"{name:<{NAME_WIDTH}} {value}")
    for verdict in result.verdicts:
        _show_verdict(verdict)
    for verdict in result.plain_verdicts:
        click.echo(f"plain proxy: {verdict.state} ({verdict.judged}): {verdict.promise}")
    click.echo("every judged promise held" if result.clean else "A PROMISE BROKE")


def _show_verdict(verdict: Verdict) -> None:
    click.echo(f"{verdict.state:>10}  {verdict.promise} ({verdict.judged} judged)")
    for detail in verdict.details:
        click.echo(f"            {detail}")
    if verdict.broken > len(verdict.details):
        click.echo(f"            and {verdict.broken - len(verdict.details)} more")
