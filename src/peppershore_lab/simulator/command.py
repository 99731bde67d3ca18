"""The command that runs many seeds and sums them up."""

from __future__ import annotations

import json
import multiprocessing
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import click

from peppershore_lab.simulator.profiles import (
    PROFILES,
    PayoutProfile,
    Profile,
    profile_named,
)
from peppershore_lab.simulator.run import SeedResult, run_seed

SHOWN_FAILURES = 3
PERCENTILE_99 = 0.99


@dataclass(frozen=True)
class Job:
    """One seed of one profile."""

    profile: Profile | PayoutProfile
    seed: int


@click.command()
@click.option("--seeds", default=50, show_default=True, help="Number of seeds a profile.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--profile", "profile_name", default="", help="Only this profile.")
@click.option("--workers", default=1, show_default=True, help="Worker processes.")
@click.option("--json", "json_file", default="", help="Add the summary to this file.")
def simulate(
    seeds: int, first: int, profile_name: str, workers: int, json_file: str
) -> None:
    """Run the real cores under virtual time with seeded faults.

    Exit code 0 if every promise held in every seed, 1 otherwise.
    """
    jobs = [
        Job(profile, seed)
        for profile in _chosen(profile_name)
        for seed in range(first, first + seeds)
    ]
    started = time.perf_counter()
    results = list(_run_all(jobs, workers))
    seconds = time.perf_counter() - started
    failures = [result for result in results if not result.passed]
    for result in failures[:SHOWN_FAILURES]:
        _show_failure(result)
    summary = summarize(results, seconds)
    click.echo(json.dumps(summary, indent=2))
    if json_file:
        add_to_file(Path(json_file), {"first_seed": first, **summary})
    sys.exit(1 if failures else 0)


def add_to_file(target: Path, summary: dict[str, object]) -> None:
    """Add one run to a file of runs, which need not exist yet."""
    runs = json.loads(target.read_text())["runs"] if target.exists() else []
    runs.append(summary)
    totals = {
        "seeds": sum(run["seeds"] for run in runs),
        "failed": sum(run["failed"] for run in runs),
        "steps": sum(run["steps"] for run in runs),
        "wall_seconds": round(sum(run["wall_seconds"] for run in runs), 1),
    }
    target.write_text(json.dumps({"total": totals, "runs": runs}, indent=2) + "\n")


def summarize(results: list[SeedResult], seconds: float) -> dict[str, object]:
    """Sum up the results, for each profile and for all."""
    names = sorted({result.profile for result in results})
    return {
        "seeds": len(results),
        "failed": sum(1 for result in results if not result.passed),
        "wall_seconds": round(seconds, 1),
        "steps": sum(result.steps for result in results),
        "profiles": {
            name: _summarize_profile([each for each in results if each.profile == name])
            for name in names
        },
        "failures": [
            f"{each.profile} {each.seed}: {each.promise}"
            for each in results
            if not each.passed
        ],
    }


def _summarize_profile(results: list[SeedResult]) -> dict[str, object]:
    times = sorted(each.convergence_seconds for each in results if each.passed)
    promises = Counter(each.promise for each in results if not each.passed)
    return {
        "seeds": len(results),
        "failed": sum(promises.values()),
        "broken_promises": dict(promises),
        "faults": sum(each.faults for each in results),
        "accepted_edits": sum(each.accepted_edits for each in results),
        "versions_taken_by_nodes": sum(each.versions_taken for each in results),
        "largest_step_in_versions": max(each.largest_step for each in results),
        "calls_run_under_a_key": sum(each.calls_run for each in results),
        "replaced_replicas": sum(each.replaced_replicas for each in results),
        "convergence_seconds": {
            "median": round(median(times), 2) if times else None,
            "p99": round(times[int(PERCENTILE_99 * (len(times) - 1))], 2)
            if times
            else None,
            "max": round(times[-1], 2) if times else None,
        },
    }


def _chosen(name: str) -> tuple[Profile | PayoutProfile, ...]:
    if not name:
        return PROFILES
    profile = profile_named(name)
    if profile is None:
        names = ", ".join(each.name for each in PROFILES)
        raise click.UsageError(f"no profile is called {name!r}; there are: {names}")
    return (profile,)


def _run_all(jobs: list[Job], workers: int) -> Iterator[SeedResult]:
    if workers == 1:
        yield from map(_run_job, jobs)
        return
    with multiprocessing.get_context("fork").Pool(workers) as pool:
        yield from pool.imap(_run_job, jobs, chunksize=4)


def _run_job(job: Job) -> SeedResult:
    return run_seed(job.profile, job.seed)


def _show_failure(result: SeedResult) -> None:
    for line in result.trace:
        click.echo(line)
    click.echo(f"BROKEN: {result.promise}: {result.detail}")
    click.echo(
        "replay: python -m peppershore_lab.simulator "
        f"--profile {result.profile} --first {result.seed} --seeds 1"
    )
