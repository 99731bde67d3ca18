"""``python -m peppershore_lab.claims_trial``: exits with 0 only if no promise broke."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from peppershore_lab.claims_trial.trial import (
    TrialPlan,
    TrialResult,
    run_trial,
    series_of,
)
from peppershore_lab.run import run_to_end


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=1, show_default=True, help="Trials to run.")
@click.option("--seconds", type=float, default=30.0, show_default=True)
@click.option(
    "--rate", type=float, default=60.0, show_default=True, help="Payouts a second."
)
@click.option("--edges-per-zone", type=int, default=1, show_default=True)
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep logs and journals here."
)
@click.option("--output", type=click.Path(path_type=Path), help="Write the result as JSON.")
def main(
    *,
    seed: int,
    seeds: int,
    seconds: float,
    rate: float,
    edges_per_zone: int,
    keep: Path | None,
    output: Path | None,
) -> None:
    """Send payouts with resends while processes of every role fail; judge the journals."""
    trials: list[TrialResult] = []
    for number in range(seed, seed + seeds):
        plan = TrialPlan(number, seconds, rate, edges_per_zone=edges_per_zone)
        folder = keep / str(number) if keep is not None else None
        trials.append(run_to_end(run_trial(plan, _show, folder)))
    command = (
        f"python -m peppershore_lab.claims_trial --seed {seed} --seeds {seeds} "
        f"--seconds {seconds:g} --rate {rate:g} --edges-per-zone {edges_per_zone}"
    )
    result = series_of(command, tuple(trials))
    text = msgspec.json.format(msgspec.json.encode(result), indent=1).decode()
    if output is not None:
        output.write_text(text + "\n")
    click.echo(text)
    sys.exit(0 if result.clean else 1)


def _show(line: str) -> None:
    click.echo(line, err=True)


if __name__ == "__main__":
    main()
