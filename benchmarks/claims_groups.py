"""Calls a second through one claims group and through two, paired in one run.

Run: ``python -m benchmarks.claims_groups [--output FILE]``

Two groups of three replicas as processes.  Worker processes keep claims under
way, each completed with an answer: first all on one group, then over both by the
hash of the key, as nodes do.  The order is repeated, and medians are given.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import statistics
import sys
import time
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from benchmarks.claims_snapshot import ANSWER, CLAIM_SECONDS, Group, running_group
from benchmarks.measuring import Machine, command_of, machine_now, write_result
from peppershore.process.claims.client import ClaimClientShell
from peppershore.process.claims.layout import ClaimsLayout
from peppershore.process.claims.router import ClaimsRouter
from peppershore.process.settings import ClaimsGroup, PeerReplica
from peppershore_lab.hollow.measure import Distribution, distribution

MILLISECONDS = 1_000.0
WORKERS = 3
CONCURRENCY = 128
ROUNDS = 3


class WorkerResult(msgspec.Struct, frozen=True):
    """What one worker process did."""

    claims: int
    refused: int
    waits: list[float]


class GroupsRound(msgspec.Struct, frozen=True):
    """One load; ``groups`` took the keys."""

    groups: int
    calls_per_second: float
    refused: int
    claim_milliseconds: Distribution


class GroupsResult(msgspec.Struct, frozen=True):
    """All rounds and the ratio of their medians."""

    command: str
    machine: Machine
    workers: int
    concurrency: int
    one_group: float
    two_groups: float
    ratio: float
    rounds: list[GroupsRound]


def group_settings(name: str, group: Group) -> ClaimsGroup:
    """Give the settings by which nodes know a group."""
    replicas = tuple(
        PeerReplica(name=each.name, address=each.link_address) for each in group.members
    )
    return ClaimsGroup(name=name, replicas=replicas)


async def work(
    groups: tuple[ClaimsGroup, ...], worker: str, seconds: float
) -> WorkerResult:
    """Keep claims under way for a time."""
    layout = ClaimsLayout(groups)
    clients = {
        group.name: ClaimClientShell(
            tuple(replica.address for replica in group.replicas), lambda notice: None
        )
        for group in groups
    }
    router = ClaimsRouter(layout, clients)
    waits: list[float] = []
    refused = 0
    end = time.perf_counter() + seconds

    async def one_after_another(lane: int) -> None:
        nonlocal refused
        number = 0
        while time.perf_counter() < end:
            number += 1
            key = f"kassa/payout/-/{worker}-{lane}-{number:08d}"
            began = time.perf_counter()
            claimed = await router.claim(key, f"{worker}-{lane}", CLAIM_SECONDS)
            waits.append((time.perf_counter() - began) * MILLISECONDS)
            if isinstance(claimed, Failure):
                refused += 1
            else:
                router.complete(key, f"{worker}-{lane}", ANSWER)

    async with asyncio.TaskGroup() as tasks:
        for lane in range(CONCURRENCY):
            tasks.create_task(one_after_another(lane))
    await router.close()
    return WorkerResult(len(waits), refused, waits)


async def load(
    groups: tuple[ClaimsGroup, ...], round_name: str, seconds: float
) -> GroupsRound:
    """Run all workers at once; add them up."""
    encoded = msgspec.json.encode(groups).decode()
    arguments = (
        sys.executable,
        "-m",
        "benchmarks.claims_groups",
        "--seconds",
        str(seconds),
    )
    processes = [
        await asyncio.create_subprocess_exec(
            *arguments,
            *("--worker", f"{round_name}-{number}", "--groups", encoded),
            stdout=asyncio.subprocess.PIPE,
        )
        for number in range(WORKERS)
    ]
    try:
        outputs = [await process.communicate() for process in processes]
    finally:
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
    results = [msgspec.json.decode(output, type=WorkerResult) for output, _ in outputs]
    granted = sum(result.claims - result.refused for result in results)
    return GroupsRound(
        groups=len(groups),
        calls_per_second=round(granted / seconds, 1),
        refused=sum(result.refused for result in results),
        claim_milliseconds=distribution(
            wait for result in results for wait in result.waits
        ),
    )


async def measure(seconds: float) -> GroupsResult:
    """Load one group and both groups in turn."""
    rounds: list[GroupsRound] = []
    async with running_group() as first, running_group() as second:
        both = (group_settings("first", first), group_settings("second", second))
        for number in range(ROUNDS):
            rounds.append(await load(both[:1], f"one-{number}", seconds))
            rounds.append(await load(both, f"two-{number}", seconds))
    one = statistics.median(each.calls_per_second for each in rounds if each.groups == 1)
    two = statistics.median(each.calls_per_second for each in rounds if each.groups == 2)
    return GroupsResult(
        command=command_of("claims_groups"),
        machine=machine_now(),
        workers=WORKERS,
        concurrency=CONCURRENCY,
        one_group=one,
        two_groups=two,
        ratio=round(two / one, 2),
        rounds=rounds,
    )


@click.command()
@click.option("--seconds", default=5.0, show_default=True, help="Of each load.")
@click.option("--output", type=click.Path(path_type=Path))
@click.option("--worker", hidden=True)
@click.option("--groups", hidden=True)
def main(
    seconds: float, output: Path | None, worker: str | None, groups: str | None
) -> None:
    """Measure one claims group against two."""
    if worker is not None and groups is not None:
        named = msgspec.convert(json.loads(groups), tuple[ClaimsGroup, ...])
        result = asyncio.run(work(named, worker, seconds))
        click.echo(msgspec.json.encode(result).decode())
        return
    measured = asyncio.run(measure(seconds))
    click.echo(msgspec.json.format(msgspec.json.encode(measured), indent=1).decode())
    if output is not None:
        write_result(measured, output)


if __name__ == "__main__":
    main()
