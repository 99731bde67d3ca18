"""``peppershore-lab soak``: runs soaks of several seeds one after the other."""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from peppershore_lab.run import run_to_end
from peppershore_lab.soak.runner import SoakPlan, SoakResult, run_soak

MOST_NODES = 100
"""A node takes about 35 MB, so this many use less than half of 8 GB."""

MOST_HUBS = 7
MOST_CONNECTIONS = 100
MOST_POISON = 20
MOST_NEEDS = 50
SHOWN_VIOLATIONS = 10


@click.command()
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 1_000), default=1, help="So many in a row.")
@click.option(
    "--seconds",
    type=click.FloatRange(5.0, 3_600.0),
    default=20.0,
    show_default=True,
    help="How long faults strike.",
)
@click.option("--hubs", type=click.IntRange(3, MOST_HUBS), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, MOST_NODES), default=4, show_default=True)
@click.option(
    "--connections",
    type=click.IntRange(1, MOST_CONNECTIONS),
    default=4,
    show_default=True,
    help="Callers' connections at each node.",
)
@click.option(
    "--poison",
    type=click.IntRange(0, MOST_POISON),
    default=2,
    show_default=True,
    help="Requests that end whichever back end runs them, and come again.",
)
@click.option(
    "--needs",
    type=click.IntRange(0, MOST_NEEDS),
    default=2,
    show_default=True,
    help="Back ends that report a need at a time: a rate limit, or that they leave.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder that keeps the logs of seeds that found something.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON line a seed.")
def soak(
    *,
    seed: int,
    seeds: int,
    seconds: float,
    hubs: int,
    nodes: int,
    connections: int,
    poison: int,
    needs: int,
    keep: Path | None,
    as_json: bool,
) -> None:
    """Run real hubs and nodes under load and faults from outside; check every promise.

    Exits with 0 only if every promise held at every seed.  A seed that found something is
    played again by its number.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
    plans = [
        SoakPlan(each, seconds, hubs, nodes, connections, poison, needs)
        for each in range(seed, seed + seeds)
    ]
    results = run_to_end(_run_all(plans, keep, as_json))
    failed = [result.seed for result in results if not result.clean]
    if not as_json:
        click.echo(f"{len(results)} seeds, {len(failed)} found something: {failed}")
    sys.exit(1 if failed else 0)


async def _run_all(
    plans: list[SoakPlan], keep: Path | None, as_json: bool
) -> list[SoakResult]:
    results: list[SoakResult] = []
    for plan in plans:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-", dir=keep))
        result, seconds = await run_soak(plan, folder)
        results.append(result)
        await asyncio.to_thread(_put_away, folder, result)
        _show(result, seconds, folder, as_json)
    return results


def _put_away(folder: Path, result: SoakResult) -> None:
    """Keep the folder of a failed seed, with its verdict; delete the others."""
    if not result.clean:
        verdict = msgspec.json.format(msgspec.json.encode(result))
        (folder / "verdict.json").write_bytes(verdict)
        return
    shutil.rmtree(folder)


def _show(result: SoakResult, seconds: float, folder: Path, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(result).decode())
        return
    verdict = "clean" if result.clean else f"{len(result.violations)} found, see {folder}"
    click.echo(
        f"seed {result.seed}: {verdict}; {seconds:.0f} s, "
        f"{sum(result.kinds.values())} faults, {result.requests} requests "
        f"({result.answered} answered, {result.refused} refused, {result.broken} cut), "
        f"{result.poison} back ends ended, {result.limits} named limits, "
        f"{result.answered_leavings} answered that they leave, "
        f"{result.second_answers} second answers, "
        f"{result.acknowledged} of {result.changes} changes taken"
    )
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        click.echo(f"  {violation.promise}: {violation.detail}")
