"""How long a claim waits while the group's leader makes snapshots of a large table.

Run: ``python -m benchmarks.claims_snapshot [--records N] [--output FILE]``

Three claims replicas as processes.  The table is filled through the client;
then claims come at a steady rate, each completed with an answer, while a probe
asks the leader's ``/healthz`` every few milliseconds: its longest answer bounds
the longest turn of the leader's loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import shutil
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from benchmarks.measuring import (
    Machine,
    command_of,
    machine_now,
    resident_bytes,
    write_result,
)
from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.client import ClaimClientShell
from peppershore.process.settings import ClaimsSettings, PeerReplica
from peppershore_lab.calls.client import ClientConnection, ClientRequest
from peppershore_lab.fleet.addresses import AddressBlock
from peppershore_lab.fleet.managed_process import ManagedProcess
from peppershore_lab.fleet.members import Member, settings_text
from peppershore_lab.fleet.readiness import fetch, wait_ready
from peppershore_lab.hollow.cluster import PROGRAM
from peppershore_lab.hollow.measure import Distribution, distribution

REPLICAS = 3
READY_SECONDS = 10.0
CLAIM_SECONDS = 10.0
FILL_CONCURRENCY = 512
PROBE_SECONDS = 0.005
MILLISECONDS = 1_000.0
ANSWER = KeptAnswer(
    200, (("content-type", "application/json"),), b'{"status":"paid"}' + b" " * 111
)


class SnapshotCost(msgspec.Struct, frozen=True):
    """One run; times in milliseconds, ``terms`` counts leaders until the end."""

    command: str
    machine: Machine
    records: int
    fill_claims_per_second: float
    steady_claims_per_second: float
    steady_seconds: float
    snapshots: int
    refused: int
    claim: Distribution
    leader_probe: Distribution
    terms: int
    leader_resident_bytes: int


class Group:
    """Three replicas; the folder and the processes go with it."""

    def __init__(self) -> None:
        """Choose addresses."""
        self.block = AddressBlock()
        self.folder = Path(tempfile.mkdtemp(prefix="peppershore-snapshot-"))
        self.members = tuple(
            Member(name=f"claims-{number}", host=self.block.next_host(), zone="a")
            for number in range(REPLICAS)
        )
        self.processes = {each.name: self._process(each) for each in self.members}

    def _process(self, member: Member) -> ManagedProcess:
        peers = tuple(
            PeerReplica(name=each.name, address=each.link_address) for each in self.members
        )
        settings = ClaimsSettings(
            cluster="bench",
            replica=member.name,
            listen=member.link_address,
            admin_listen=member.admin_address,
            data_folder=str(self.folder / member.name),
            replicas=peers,
        )
        path = self.folder / f"{member.name}.toml"
        path.write_text(settings_text(settings), encoding="utf-8")
        command = (str(PROGRAM), "serve", "claims", "--settings", str(path))
        return ManagedProcess(member.name, command, self.folder / f"{member.name}.log")

    async def metric(self, member: Member, name: str) -> float:
        """Read one gauge; 0 if the replica doesn't answer."""
        page = await fetch(member.admin_address, "/metrics")
        if page is None:
            return 0.0
        found = re.search(rf"^peppershore_{name} (\S+)$", page.body.decode(), re.MULTILINE)
        return float(found.group(1)) if found else 0.0

    async def leader(self) -> Member:
        """Give the replica that leads."""
        while True:
            for member in self.members:
                if await self.metric(member, "leads") == 1.0:
                    return member
            await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def running_group() -> AsyncIterator[Group]:
    """Start the group; stop it by the ids of its processes at the end."""
    group = Group()
    try:
        for process in group.processes.values():
            process.start()
        for member in group.members:
            process = group.processes[member.name]
            await wait_ready(process, member.admin_address, READY_SECONDS)
        yield group
    finally:
        for process in group.processes.values():
            process.ask_to_stop()
        for process in group.processes.values():
            process.wait_or_kill()
        group.block.close()
        shutil.rmtree(group.folder, ignore_errors=True)


class Claimer:
    """Claims and completes; remembers each wait in milliseconds."""

    def __init__(self, client: ClaimClientShell) -> None:
        """Use this client."""
        self._client = client
        self.next_number = 0
        self.refused = 0
        self.waits: list[float] = []

    async def one(self) -> None:
        """Claim a new key, then complete it."""
        self.next_number += 1
        key = f"kassa/payout/0123456789abcdef/payout-{self.next_number:012d}"
        attempt = f"0123456789ab-{self.next_number:x}"
        began = time.perf_counter()
        granted = await self._client.claim(key, attempt, CLAIM_SECONDS)
        self.waits.append((time.perf_counter() - began) * MILLISECONDS)
        if isinstance(granted, Failure):
            self.refused += 1
            return
        self._client.complete(key, attempt, ANSWER)

    async def fill(self, records: int) -> float:
        """Claim until there are so many; gives the claims a second."""
        began = time.perf_counter()

        async def worker() -> None:
            while self.next_number < records:
                await self.one()

        async with asyncio.TaskGroup() as tasks:
            for _ in range(FILL_CONCURRENCY):
                tasks.create_task(worker())
        return records / (time.perf_counter() - began)

    async def steady(self, per_second: float, seconds: float) -> None:
        """Claim at a steady rate, whatever became of earlier claims."""
        self.waits.clear()
        self.refused = 0
        began = time.perf_counter()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(per_second * seconds)):
                delay = began + number / per_second - time.perf_counter()
                if delay > 0:
                    await asyncio.sleep(delay)
                tasks.create_task(self.one())


async def probe(address: str, waits: list[float]) -> None:
    """Ask a process for its health without a pause worth mentioning."""
    connection = ClientConnection(address)
    while True:
        began = time.perf_counter()
        await connection.call(ClientRequest("GET", "/healthz", ()))
        waits.append((time.perf_counter() - began) * MILLISECONDS)
        await asyncio.sleep(PROBE_SECONDS)


async def measure(records: int, per_second: float, seconds: float) -> SnapshotCost:
    """Fill, then measure at a steady rate."""
    async with running_group() as group:
        addresses = tuple(member.link_address for member in group.members)
        client = ClaimClientShell(addresses, lambda notice: None)
        claimer = Claimer(client)
        filled = await claimer.fill(records)
        await asyncio.sleep(2.0)
        leader = await group.leader()
        waits: list[float] = []
        watching = asyncio.create_task(probe(leader.admin_address, waits))
        before = await group.metric(leader, "commit_index")
        await claimer.steady(per_second, seconds)
        watching.cancel()
        after = await group.metric(leader, "commit_index")
        process = group.processes[leader.name]
        result = SnapshotCost(
            command=command_of("claims_snapshot"),
            machine=machine_now(),
            records=records,
            fill_claims_per_second=round(filled, 1),
            steady_claims_per_second=per_second,
            steady_seconds=seconds,
            snapshots=int(after // 20_000 - before // 20_000),
            refused=claimer.refused,
            claim=distribution(claimer.waits),
            leader_probe=distribution(waits),
            terms=int(await group.metric(leader, "term")),
            leader_resident_bytes=resident_bytes(process),
        )
        await client.close()
        return result


@click.command()
@click.option("--records", default=300_000, show_default=True)
@click.option("--rate", default=2_000.0, show_default=True, help="Steady claims a second.")
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--output", type=click.Path(path_type=Path))
def main(records: int, rate: float, seconds: float, output: Path | None) -> None:
    """Measure claims while snapshots of a large table are made."""
    result = asyncio.run(measure(records, rate, seconds))
    click.echo(msgspec.json.format(msgspec.json.encode(result), indent=1).decode())
    if output is not None:
        write_result(result, output)


if __name__ == "__main__":
    main()
