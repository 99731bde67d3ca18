"""Bytes of updates on the wire against the least they could be.

Run: ``python -m benchmarks.update_bytes [--output results/update_bytes.json]``

Pure computation: the changes of a scale run are applied to the catalog, and
every update that a relay would send is packed, put in its message and framed.
The ideal is the changed resources alone, compressed, once per node.

Messages of endpoints are measured plain, as between relays, and packed, as to
nodes; addresses and incarnations are drawn at random.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from random import Random

import click
import msgspec
import zstandard

from benchmarks.measuring import Machine, command_of, machine_now, write_result
from peppershore.connection.codec import encode_message
from peppershore.connection.endpoint_packing import pack_endpoints
from peppershore.connection.framing import encode_frame
from peppershore.connection.messages.endpoints import Endpoint, EndpointsChanged
from peppershore.connection.messages.node import UpdateApplied, UpdateOffered
from peppershore.connection.update_packing import pack_update
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.editor import AppliedEdit
from peppershore.version.model import Scope, Update, Version
from peppershore.version.tree import apply_edit, empty_tree
from peppershore_lab.hollow.layout import (
    ChangePlan,
    FleetLayout,
    initial_edit,
    placed_nodes,
    service_name,
    zone_name,
)

IDEAL_LEVEL = 3
CONFIRMED_AT_MILLISECONDS = 86_400_250
"""By the clock of a node whose machine has run for a day."""
CALLED_SERVICES = 4
ENDPOINT_COUNTS = (1, 2, 10, 116)
START_MILLISECONDS = 1_764_000_000_000
MONTH_MILLISECONDS = 30 * 86_400_000
FULL_STATE = "full state of a scope"
MISSED = "missed changes in one update"


class KindBytes(msgspec.Struct, frozen=True):
    """Updates of one kind: bytes of the frames sent, of their answers, and the ideal."""

    kind: str
    updates: int
    bytes_per_update: float
    answer_bytes_per_update: float
    ideal_bytes_per_update: float
    times_ideal: float
    microseconds_per_packing: float


class EndpointBytes(msgspec.Struct, frozen=True):
    """Frames that tell of so many endpoints of four services."""

    endpoints: int
    plain_bytes: int
    packed_bytes: int


class UpdateBytes(msgspec.Struct, frozen=True):
    """The result: each kind, and all single changes together."""

    command: str
    machine: Machine
    changes: int
    missed_changes: int
    kinds: list[KindBytes]
    all_changes: KindBytes
    endpoints: list[EndpointBytes]


class Tally:
    """Adds up the updates of one kind."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._compressor = zstandard.ZstdCompressor(IDEAL_LEVEL)
        self._updates = 0
        self._bytes = 0
        self._answers = 0
        self._ideal = 0
        self._seconds = 0.0
        self._packings = 0

    def add(self, update: Update, receivers: int) -> None:
        """Count an update that so many nodes receive."""
        started = time.perf_counter()
        packed = pack_update(update)
        self._seconds += time.perf_counter() - started
        self._packings += 1
        offer = UpdateOffered(packed, CONFIRMED_AT_MILLISECONDS)
        answer = UpdateApplied(update.version, update.digest)
        self._updates += receivers
        self._bytes += receivers * len(encode_frame(encode_message(offer)))
        self._answers += receivers * len(encode_frame(encode_message(answer)))
        self._ideal += receivers * self._compressed(update)

    def result(self, kind: str) -> KindBytes:
        """Give the means."""
        return KindBytes(
            kind=kind,
            updates=self._updates,
            bytes_per_update=round(self._bytes / self._updates, 1),
            answer_bytes_per_update=round(self._answers / self._updates, 1),
            ideal_bytes_per_update=round(self._ideal / self._updates, 1),
            times_ideal=round(self._bytes / self._ideal, 3),
            microseconds_per_packing=round(1e6 * self._seconds / self._packings, 1),
        )

    def _compressed(self, update: Update) -> int:
        content = b"".join(
            resource.name.encode() + resource.payload for resource in update.changed
        )
        return len(self._compressor.compress(content))


class UpdateBench:
    """A catalog that the changes of a scale run go through."""

    def __init__(self, layout: FleetLayout) -> None:
        """Take the layout's tree; every scope with nodes is in use."""
        self.nodes: dict[Scope, int] = defaultdict(int)
        for node in placed_nodes(layout):
            self.nodes[node.scope] += 1
        self.catalog = ScopeCatalog()
        first = apply_edit(empty_tree(layout.cluster), initial_edit(layout), 1)
        self._tree = first.unwrap().tree
        self.catalog.load(self._tree)
        self._plan = ChangePlan(layout, seed=1)
        for scope in self.nodes:
            self.catalog.use(scope)

    def change(self, tallies: dict[str, Tally], everything: Tally) -> None:
        """Make the next change and count the updates that it leads to."""
        planned = self._plan.next_change()
        before = self._tree.version
        scopes = [scope for scope in planned.scopes if scope in self.nodes]
        held = {scope: self.catalog.digest(scope) for scope in scopes}
        applied: AppliedEdit = apply_edit(self._tree, planned.edit, before + 1).unwrap()
        self._tree = applied.tree
        self.catalog.advance(applied)
        for scope, digest in held.items():
            update = self.catalog.update_since(scope, before, digest)
            if update is None:
                continue
            tallies[planned.kind].add(update, self.nodes[scope])
            everything.add(update, self.nodes[scope])

    def catch_up(self, held: dict[Scope, int], version: Version, tally: Tally) -> None:
        """Count the update of each scope from what it held at ``version``."""
        for scope, digest in held.items():
            update = self.catalog.update_since(scope, version, digest)
            if update is not None:
                tally.add(update, self.nodes[scope])


def _endpoint_bytes(count: int) -> EndpointBytes:
    random = Random(1)
    message = EndpointsChanged(tuple(_endpoint(random, count) for _ in range(count)))
    return EndpointBytes(
        count,
        len(encode_frame(encode_message(message))),
        len(encode_frame(encode_message(pack_endpoints(message)))),
    )


def _endpoint(random: Random, count: int) -> Endpoint:
    number = random.randrange(100_000)
    service = service_name(random.randrange(min(count, CALLED_SERVICES)))
    host = ".".join(str(random.randrange(1, 255)) for _ in range(4))
    return Endpoint(
        node=f"node{number:05d}",
        service=service,
        zone=zone_name(number % FleetLayout().zones),
        incarnation=START_MILLISECONDS + random.randrange(MONTH_MILLISECONDS),
        sequence=random.randrange(2, 9),
        state="ready",
        address=f"{host}:8080",
        owner_address=f"{host}:7443",
        slots=20,
        connections=130,
    )


def _digests(bench: UpdateBench, scopes: Iterable[Scope]) -> dict[Scope, int]:
    return {scope: bench.catalog.digest(scope) for scope in scopes}


@click.command()
@click.option("--changes", default=300, show_default=True, help="Changes to make.")
@click.option("--output", type=click.Path(path_type=Path), default=None)
def main(changes: int, output: Path | None) -> None:
    """Measure and write the result."""
    bench = UpdateBench(FleetLayout())
    tallies: dict[str, Tally] = defaultdict(Tally)
    everything = Tally()
    bench.catch_up(dict.fromkeys(bench.nodes, 0), 0, tallies[FULL_STATE])
    held = _digests(bench, bench.nodes)
    version = bench.catalog.version
    for _ in range(changes):
        bench.change(tallies, everything)
    bench.catch_up(held, version, tallies[MISSED])
    result = UpdateBytes(
        command=command_of("update_bytes"),
        machine=machine_now(),
        changes=changes,
        missed_changes=changes,
        kinds=[tally.result(kind) for kind, tally in sorted(tallies.items())],
        all_changes=everything.result("all single changes"),
        endpoints=[_endpoint_bytes(count) for count in ENDPOINT_COUNTS],
    )
    write_result(result, output)


if __name__ == "__main__":
    main()
