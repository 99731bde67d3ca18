"""Cost of control replicas against edits and relays: processor time, memory, disk.

Run: ``python -m benchmarks.slopes_control [--output results/slopes_control.json]``

Five control replicas at the two-year tree, first without relays, then with 16:
edits at several rates.  Then the replicated state alone, in this process: its
memory and its snapshot against the edits it remembers.
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from pathlib import Path

import click
import msgspec

from benchmarks.measuring import (
    Line,
    Machine,
    command_of,
    fitted_line,
    folder_bytes,
    machine_now,
    processor_seconds,
    resident_bytes,
    write_result,
)
from peppershore.process.control.state import (
    ControlState,
    EditAdmitted,
    encode_command,
)
from peppershore_lab.hollow.cluster import RealCluster
from peppershore_lab.hollow.layout import ChangePlan, FleetLayout, initial_edit
from peppershore_lab.hollow.measure import MILLISECONDS, Distribution, distribution
from peppershore_lab.hollow.operator import ScaleOperator
from peppershore_lab.run import run_to_end

REPLICAS = 5
RELAY_COUNTS = (0, 16)
RATES = (0.0, 10.0, 20.0, 40.0)
STARTS_SECONDS = 2.5
REMEMBERED_EDITS = (0, 1_250, 2_500, 5_000)
OUTCOMES_KEPT = 20_000
HISTORY_KEPT = 5_000


class ControlLoad(msgspec.Struct, frozen=True):
    """Edits at one rate; follower figures are means over the followers."""

    relays: int
    edits_per_second: float
    seconds: float
    edits: int
    answer_milliseconds: Distribution
    leader_core_share: float
    follower_core_share: float
    leader_resident_bytes: int
    disk_bytes_per_replica: float


class StateCost(msgspec.Struct, frozen=True):
    """The replicated state after so many edits."""

    edits: int
    bytes_in_memory: int
    snapshot_bytes: int
    snapshot_milliseconds: float
    log_bytes_per_edit: float


class ControlSlopes(msgspec.Struct, frozen=True):
    """All results of one run; lines are over edits a second or edits remembered."""

    command: str
    machine: Machine
    replicas: int
    loads: list[ControlLoad]
    states: list[StateCost]
    leader_core_share: Line
    follower_core_share: Line
    memory_bytes: Line
    snapshot_bytes: Line
    snapshot_milliseconds: Line


async def measure_relays(relays: int, seconds: float) -> list[ControlLoad]:
    """Measure every rate with so many relays."""
    layout = FleetLayout(nodes=0, relays=relays)
    changes = ChangePlan(layout, 1)
    with RealCluster(layout, REPLICAS) as cluster:
        operator = ScaleOperator(cluster.replicas)
        await operator.submit(initial_edit(layout))
        await asyncio.sleep(STARTS_SECONDS)
        return [
            await measure_rate(cluster, operator, changes, rate, seconds) for rate in RATES
        ]


async def measure_rate(
    cluster: RealCluster,
    operator: ScaleOperator,
    changes: ChangePlan,
    rate: float,
    seconds: float,
) -> ControlLoad:
    """Make edits at one rate for a time."""
    processes = cluster.replica_processes
    before = [processor_seconds(process) for process in processes]
    began = time.monotonic()
    made = await operator.change_at_rate(changes, rate, seconds) if rate else []
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    elapsed = time.monotonic() - began
    now = [processor_seconds(process) for process in processes]
    shares = sorted((end - start) / elapsed for end, start in zip(now, before, strict=True))
    folders = [cluster.folder / process.name for process in processes]
    return ControlLoad(
        relays=len(cluster.relay_processes),
        edits_per_second=rate,
        seconds=round(elapsed, 3),
        edits=len(made),
        answer_milliseconds=distribution(
            (each.accepted_at - each.submitted_at) * MILLISECONDS for each in made
        ),
        leader_core_share=round(shares[-1], 4),
        follower_core_share=round(sum(shares[:-1]) / (REPLICAS - 1), 4),
        leader_resident_bytes=max(resident_bytes(process) for process in processes),
        disk_bytes_per_replica=sum(map(folder_bytes, folders)) / REPLICAS,
    )


def state_after(edits: int) -> tuple[ControlState, int]:
    """Give a state that took so many edits, and the bytes of their log entries."""
    layout = FleetLayout()
    state = ControlState(layout.cluster, OUTCOMES_KEPT, HISTORY_KEPT)
    changes = ChangePlan(layout, 1)
    state.apply(1, encode_command(EditAdmitted(initial_edit(layout))))
    log_bytes = 0
    for number in range(edits):
        payload = encode_command(EditAdmitted(changes.next_change().edit))
        log_bytes += len(payload)
        state.apply(number + 2, payload)
    state.take_new_edits()
    state.take_new_outcomes()
    return state, log_bytes


def measure_state(edits: int) -> StateCost:
    """Measure the state after so many edits."""
    gc.collect()
    tracemalloc.start()
    state, log_bytes = state_after(edits)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.process_time()
    snapshot = state.snapshot()
    spent = time.process_time() - began
    return StateCost(
        edits=edits,
        bytes_in_memory=size,
        snapshot_bytes=len(snapshot),
        snapshot_milliseconds=round(spent * MILLISECONDS, 2),
        log_bytes_per_edit=round(log_bytes / edits, 1) if edits else 0.0,
    )


@click.command()
@click.option("--seconds", type=float, default=8.0, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(seconds: float, output: Path | None) -> None:
    """Measure five control replicas, then their state alone."""
    loads = [
        load
        for relays in RELAY_COUNTS
        for load in run_to_end(measure_relays(relays, seconds))
    ]
    states = [measure_state(edits) for edits in REMEMBERED_EDITS]
    with_relays = [load for load in loads if load.relays]
    rates = [load.edits_per_second for load in with_relays]
    remembered = [float(state.edits) for state in states]
    result = ControlSlopes(
        command=command_of("slopes_control"),
        machine=machine_now(),
        replicas=REPLICAS,
        loads=loads,
        states=states,
        leader_core_share=fitted_line(rates, [e.leader_core_share for e in with_relays]),
        follower_core_share=fitted_line(
            rates, [e.follower_core_share for e in with_relays]
        ),
        memory_bytes=fitted_line(remembered, [float(s.bytes_in_memory) for s in states]),
        snapshot_bytes=fitted_line(remembered, [float(s.snapshot_bytes) for s in states]),
        snapshot_milliseconds=fitted_line(
            remembered, [s.snapshot_milliseconds for s in states]
        ),
    )
    write_result(result, output)


if __name__ == "__main__":
    main()
