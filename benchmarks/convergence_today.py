"""Convergence at today's sizes: real processes, the brief's delays between zones.

Run: ``python -m benchmarks.convergence_today [--output results/convergence_today.json]``

Both users' deployments, with the link emulator between zones, without callers.
Edits are sent straight to the control group, one at a time, for a service, for
a route everywhere and for a route in one zone in turn.  Acceptance is the
leader's log line, in force each proxy's own; both are clocks of one machine.

The limit beside each figure is what no design can be faster than: from
acceptance on, one delay from the leader to another zone's replica or relay and
one more to a proxy; from the sending of the edit, a quorum commit besides.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click
import msgspec
from returns.result import Success

from benchmarks.measuring import Machine, command_of, machine_now, write_result
from peppershore.version.model import (
    Edit,
    EditAccepted,
    Overrides,
    SetOverrides,
    Version,
)
from peppershore_lab.convergence import (
    Convergence,
    accepted_at,
    convergence,
    steps_back,
    versions_held,
)
from peppershore_lab.fleet.bring_up import bring_up
from peppershore_lab.fleet.deployment import GUILD, REFUND_NETWORK, Deployment
from peppershore_lab.fleet.fleet import Fleet
from peppershore_lab.hollow.measure import MILLISECONDS, Distribution, distribution
from peppershore_lab.operator_client import Operator, control_bytes
from peppershore_lab.reference import HistoryIncomplete, needed_by, read_reference
from peppershore_lab.run import run_to_end

SETTLE_SECONDS = 2.0
ONE_WAY_DELAYS = 2


class TodayResult(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment; milliseconds.

    ``per_change`` is the last proxy of each change, ``per_proxy`` all pairs.
    """

    deployment: str
    batching_milliseconds: int
    zone_delay_milliseconds: float
    processes: int
    changes: int
    missing: int
    steps_back: int
    answered: Distribution
    per_change: Distribution
    per_proxy: Distribution
    limit_after_acceptance: float
    limit_from_sending_p50: float
    control_bytes_per_change: float
    proxies_per_change: float


class TodayResults(msgspec.Struct, frozen=True):
    """All deployments of one run."""

    command: str
    machine: Machine
    runs: list[TodayResult]


class SentEdit(msgspec.Struct, frozen=True):
    """An accepted edit and how long its answer took."""

    version: Version
    answered_milliseconds: float


def planned_edit(deployment: Deployment, number: int) -> Edit:
    """Give the next edit; each kind changes a setting of its own."""
    service = deployment.services[number % len(deployment.services)]
    route = service.routes[0].name
    zone = deployment.zones[number % len(deployment.zones)].name
    operation = (
        SetOverrides(f"/{service.name}", Overrides(queue_limit=100 + number)),
        SetOverrides(
            f"/{service.name}/*/{route}", Overrides(max_body_bytes=65_536 + number)
        ),
        SetOverrides(
            f"/{service.name}/{zone}/{route}",
            Overrides(timeout_milliseconds=2_000 + number),
        ),
    )[number % 3]
    return Edit(change_id=f"today-{number}", operations=(operation,), author="benchmark")


async def measure(deployment: Deployment, changes: int, pause: float) -> TodayResult:
    """Bring one deployment up, make the edits, judge by the logs."""
    async with Fleet(deployment) as fleet:
        operator = Operator(fleet.replica_addresses)
        await bring_up(fleet, operator)
        await asyncio.sleep(SETTLE_SECONDS)
        before = control_bytes((await operator.status()).unwrap())
        sent = []
        for number in range(changes):
            sent.append(await _send(operator, planned_edit(deployment, number)))
            await asyncio.sleep(pause)
        await asyncio.sleep(SETTLE_SECONDS)
        used = control_bytes((await operator.status()).unwrap()) - before
        return await _judge(fleet, sent, used)


async def _send(operator: Operator, edit: Edit) -> SentEdit:
    began = time.monotonic()
    result = await operator.submit(edit)
    assert isinstance(result, Success), result
    outcome = result.unwrap()
    assert isinstance(outcome, EditAccepted), outcome
    return SentEdit(outcome.version, (time.monotonic() - began) * MILLISECONDS)


async def _judge(fleet: Fleet, sent: list[SentEdit], used: int) -> TodayResult:
    layout = fleet.layout
    deployment = layout.deployment
    logs = fleet.folder / "logs"
    held = versions_held(logs, [member.name for member in layout.proxies])
    reference = await read_reference(
        deployment.cluster, fleet.replica_addresses, layout.proxies
    )
    assert not isinstance(reference, HistoryIncomplete), reference
    replicas = [member.name for member in layout.replicas]
    reached: list[Convergence] = []
    for edit in sent:
        accepted = accepted_at(logs, replicas, edit.version)
        assert accepted is not None, f"no replica logged version {edit.version}"
        proxies = needed_by(reference, edit.version, layout.proxies)
        reached.append(convergence(edit.version, accepted, proxies, held))
    answered = distribution(edit.answered_milliseconds for edit in sent)
    delays = deployment.zone_delay_milliseconds * ONE_WAY_DELAYS
    return TodayResult(
        deployment=deployment.name,
        batching_milliseconds=deployment.batching_milliseconds,
        zone_delay_milliseconds=deployment.zone_delay_milliseconds,
        processes=len(fleet.processes),
        changes=len(sent),
        missing=sum(len(each.missing) for each in reached),
        steps_back=len(steps_back(held)),
        answered=answered,
        per_change=distribution(each.max_milliseconds for each in reached),
        per_proxy=distribution(
            value for each in reached for value in each.by_proxy.values()
        ),
        limit_after_acceptance=delays,
        limit_from_sending_p50=round(answered.p50 + delays, 3),
        control_bytes_per_change=round(used / len(sent), 1),
        proxies_per_change=sum(each.proxies for each in reached) / len(sent),
    )


@click.command()
@click.option("--changes", type=int, default=60, show_default=True)
@click.option("--pause", type=float, default=0.25, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(changes: int, pause: float, output: Path | None) -> None:
    """Measure both users' deployments, the Guild's also without its batching."""
    unbatched = msgspec.structs.replace(GUILD, batching_milliseconds=0)
    runs = [
        run_to_end(measure(deployment, changes, pause))
        for deployment in (REFUND_NETWORK, unbatched, GUILD)
    ]
    write_result(TodayResults(command_of("convergence_today"), machine_now(), runs), output)


if __name__ == "__main__":
    main()
