"""Cost of a claim: rate, processor time, bytes in memory, in a snapshot and on disk.

Run: ``python -m benchmarks.slopes_claims [--output results/slopes_claims.json]``

Three claims replicas as processes with a synced log each, one client in this
process; a number of claims is kept under way.  Then the table alone, in this
process, for its memory and the time of its snapshot.
"""

from __future__ import annotations

import asyncio
import gc
import shutil
import tempfile
import time
import tracemalloc
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from benchmarks.measuring import (
    Machine,
    command_of,
    folder_bytes,
    machine_now,
    processor_seconds,
    resident_bytes,
    write_result,
)
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.client import ClaimClientShell
from peppershore.process.claims.entries import (
    ClaimEntry,
    CompletionEntry,
)
from peppershore.process.claims.table import ClaimTable
from peppershore.process.settings import ClaimsSettings, PeerReplica
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.members import Member, settings_text
from peppershore_lab.hollow.cluster import PROGRAM
from peppershore_lab.hollow.measure import Distribution, distribution
from peppershore_lab.run import run_to_end

REPLICAS = 3
CONCURRENCIES = (1, 16, 64, 256)
CLAIM_TIMEOUT_SECONDS = 10.0
ELECTION_SECONDS = 3.0
ANSWER_BODY = b'{"status":"paid"}' + b" " * 239
TABLE_SIZES = (25_000, 50_000, 100_000)
MILLISECONDS = 1_000.0
HORIZON_MILLISECONDS = 86_400_000


class ClaimLoad(msgspec.Struct, frozen=True):
    """Claims kept under way for a time, each completed with an answer.

    Processor time is of all entries that one whole call makes: claim and completion.
    """

    concurrency: int
    seconds: float
    granted: int
    refused: int
    calls_per_second: float
    milliseconds: Distribution
    leader_core_share: float
    leader_microseconds_per_call: float
    follower_microseconds_per_call: float
    disk_bytes_per_call: float


class TableCost(msgspec.Struct, frozen=True):
    """A table of ``records`` completed claims with answers of ``answer_bytes``."""

    records: int
    answer_bytes: int
    bytes_per_record: float
    snapshot_bytes_per_record: float
    snapshot_milliseconds: float


class ClaimSlopes(msgspec.Struct, frozen=True):
    """All results of one run."""

    command: str
    machine: Machine
    replicas: int
    resident_bytes_at_start: int
    resident_bytes_at_end: int
    records_at_end: int
    loads: list[ClaimLoad]
    tables: list[TableCost]


class ClaimsGroup:
    """Claims replicas, started on entry and stopped on exit."""

    def __init__(self) -> None:
        """Choose addresses and write settings."""
        self._block = AddressBlock()
        self.folder = Path(tempfile.mkdtemp(prefix="peppershore-claims-"))
        members = [
            Member(name=f"claims{number}", host=self._block.next_host(), zone="a")
            for number in range(REPLICAS)
        ]
        self.addresses = tuple(member.link_address for member in members)
        peers = tuple(PeerReplica(name=m.name, address=m.link_address) for m in members)
        self.processes = [self._process(member, peers) for member in members]

    def __enter__(self) -> ClaimsGroup:
        """Start all."""
        for process in self.processes:
            process.start()
        return self

    def __exit__(self, *_problem: object) -> None:
        """Stop all, by their ids, and remove the folder."""
        for process in self.processes:
            process.ask_to_stop()
        for process in self.processes:
            process.wait_or_kill()
        self._block.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def processor_seconds(self) -> list[float]:
        """Processor time of each replica so far."""
        return [processor_seconds(process) for process in self.processes]

    def disk_bytes(self) -> float:
        """Bytes on the disk of one replica, on average."""
        return folder_bytes(self.folder) / len(self.processes)

    def _process(self, member: Member, peers: tuple[PeerReplica, ...]) -> ManagedProcess:
        settings = ClaimsSettings(
            cluster="bench",
            replica=member.name,
            listen=member.link_address,
            data_folder=str(self.folder / member.name),
            replicas=peers,
        )
        path = self.folder / f"{member.name}.toml"
        path.write_text(settings_text(settings), encoding="utf-8")
        command = (str(PROGRAM), "serve", "claims", "--settings", str(path))
        return ManagedProcess(member.name, command, self.folder / f"{member.name}.log")


class Claimer:
    """Keeps a number of calls under way at a group."""

    def __init__(self, client: ClaimClientShell) -> None:
        """Use this client."""
        self._client = client
        self._made = 0
        self.latencies: list[float] = []
        self.refused = 0

    async def keep_claiming(self, until: float) -> None:
        """Claim and complete, one call after the other."""
        while time.monotonic() < until:
            await self._one_call()

    async def _one_call(self) -> None:
        self._made += 1
        key = f"kassa/0193a5c0-7d52-7c6f-9a63-{self._made:012d}"
        attempt = f"node00001.{self._made}"
        began = time.monotonic()
        answer = await self._client.claim(key, attempt, CLAIM_TIMEOUT_SECONDS)
        if isinstance(answer, Failure):
            self.refused += 1
            return
        self.latencies.append((time.monotonic() - began) * MILLISECONDS)
        self._client.complete(key, attempt, kept_answer())


def kept_answer() -> KeptAnswer:
    """Give the answer that each call keeps, 256 bytes of body."""
    body = bytes(bytearray(ANSWER_BODY))
    return KeptAnswer(200, (("content-type", "application/json"),), body)


async def measure_load(
    group: ClaimsGroup, claimer: Claimer, concurrency: int, seconds: float
) -> ClaimLoad:
    """Keep ``concurrency`` calls under way for a time."""
    claimer.latencies = []
    claimer.refused = 0
    before = group.processor_seconds()
    disk = group.disk_bytes()
    began = time.monotonic()
    until = began + seconds
    await asyncio.gather(*(claimer.keep_claiming(until) for _ in range(concurrency)))
    elapsed = time.monotonic() - began
    used = [
        after - start
        for after, start in zip(group.processor_seconds(), before, strict=True)
    ]
    leader = max(used)
    granted = len(claimer.latencies)
    assert granted, "no claim was granted"
    return ClaimLoad(
        concurrency=concurrency,
        seconds=round(elapsed, 3),
        granted=granted,
        refused=claimer.refused,
        calls_per_second=round(granted / elapsed, 1),
        milliseconds=distribution(claimer.latencies),
        leader_core_share=round(leader / elapsed, 3),
        leader_microseconds_per_call=round(leader * 1e6 / granted, 1),
        follower_microseconds_per_call=round(
            (sum(used) - leader) * 1e6 / (granted * (REPLICAS - 1)), 1
        ),
        disk_bytes_per_call=round((group.disk_bytes() - disk) / granted, 1),
    )


async def measure_group(seconds: float) -> tuple[list[ClaimLoad], int, int, int]:
    """Measure every concurrency; give loads, memory before and after, and records."""
    with ClaimsGroup() as group:
        await asyncio.sleep(ELECTION_SECONDS)
        client = ClaimClientShell(group.addresses, lambda _notice: None)
        client.start()
        claimer = Claimer(client)
        at_start = max(resident_bytes(process) for process in group.processes)
        loads = [
            await measure_load(group, claimer, concurrency, seconds)
            for concurrency in CONCURRENCIES
        ]
        at_end = max(resident_bytes(process) for process in group.processes)
        await client.close()
    return loads, at_start, at_end, sum(load.granted for load in loads)


def filled_table(records: int, with_answers: bool) -> ClaimTable:
    """Give a table of that many completed claims, each with bytes of its own."""
    table = ClaimTable(HORIZON_MILLISECONDS, max_records=records)
    for number in range(records):
        key = f"kassa/0193a5c0-7d52-7c6f-9a63-{number:012d}"
        attempt = f"node00001.{number}"
        table.apply_entry(ClaimEntry(key, attempt))
        answer = kept_answer() if with_answers else None
        table.apply_entry(CompletionEntry(key, attempt, answer))
    return table


def measure_table(records: int, with_answers: bool) -> TableCost:
    """Measure memory and snapshot of a table."""
    gc.collect()
    tracemalloc.start()
    table = filled_table(records, with_answers)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.process_time()
    snapshot = table.snapshot()
    spent = time.process_time() - began
    return TableCost(
        records=records,
        answer_bytes=len(ANSWER_BODY) if with_answers else 0,
        bytes_per_record=round(size / records, 1),
        snapshot_bytes_per_record=round(len(snapshot) / records, 1),
        snapshot_milliseconds=round(spent * MILLISECONDS, 1),
    )


@click.command()
@click.option("--seconds", type=float, default=5.0, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Where to write the JSON.")
def main(seconds: float, output: Path | None) -> None:
    """Measure a claims group of three replicas, then its table."""
    loads, at_start, at_end, records = run_to_end(measure_group(seconds))
    tables = [
        measure_table(size, with_answers)
        for with_answers in (False, True)
        for size in TABLE_SIZES
    ]
    result = ClaimSlopes(
        command=command_of("slopes_claims"),
        machine=machine_now(),
        replicas=REPLICAS,
        resident_bytes_at_start=at_start,
        resident_bytes_at_end=at_end,
        records_at_end=records,
        loads=loads,
        tables=tables,
    )
    write_result(result, output)


if __name__ == "__main__":
    main()
