"""What counting tenants' limits over all nodes costs on the wire, and how long calls wait.

    python -m benchmarks.quota_control

Real decisions of nodes, relays and a leader under virtual time, without network: the
bytes are those of the encoded messages with their frame headers.  One JSON line a case:
messages and bytes a second of one node, one relay and the leader, both directions.
"""

from __future__ import annotations

import json
import time

import msgspec

from peppershore.process.quotas.limits import Limit
from peppershore_lab.quota_world import Process, World

SKEW = 1.2
LIMIT_SHARE = 1.6
"""A tenant's limit as a multiple of what it usually sends; the burst is one second's."""

SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 6.0
QUICK_SECONDS = 0.002
"""A call that waited less was answered by its relay at once."""


class Case(msgspec.Struct, frozen=True):
    """A site; the largest tenant sends so many times its usual."""

    tenants: int = 82
    nodes: int = 72
    relays: int = 11
    hot: float = 1.0
    calls_per_second: float = 1_000.0


CASES = (
    Case(),
    Case(hot=9.0),
    Case(tenants=20),
    Case(tenants=320),
    Case(nodes=36),
    Case(nodes=144),
    Case(relays=4),
    Case(relays=22),
    Case(calls_per_second=4_000.0),
)


def usual_rates(tenants: int, calls_per_second: float) -> dict[str, float]:
    """Give what each tenant usually sends, a few of them large."""
    weights = {f"t{number}": (number + 1) ** -SKEW for number in range(tenants)}
    whole = sum(weights.values())
    return {name: calls_per_second * each / whole for name, each in weights.items()}


def offer(world: World, rates: dict[str, float], hot: float, seconds: float) -> None:
    """Let all tenants send for a while; the largest one is the first."""
    for number, (tenant, rate) in enumerate(rates.items()):
        world.offer(tenant, rate * (hot if number == 0 else 1.0), seconds)
    world.run(seconds)


def a_second(processes: list[Process], before: dict[str, Counts]) -> dict[str, float]:
    """Give one process's messages and bytes a second, both directions."""
    messages = sum(each.sent + each.received for each in processes)
    size = sum(each.bytes_sent + each.bytes_received for each in processes)
    for each in processes:
        messages -= before[each.name].messages
        size -= before[each.name].size
    share = len(processes) * MEASURED_SECONDS
    return {"messages": round(messages / share, 1), "bytes": round(size / share)}


class Counts(msgspec.Struct, frozen=True):
    """Messages and bytes of a process so far."""

    messages: int
    size: int


def counts(process: Process) -> Counts:
    """Give what a process sent and received so far."""
    return Counts(
        process.sent + process.received, process.bytes_sent + process.bytes_received
    )


def measure(case: Case) -> dict[str, object]:
    """Play one case."""
    rates = usual_rates(case.tenants, case.calls_per_second)
    limits = {
        tenant: Limit(rate * LIMIT_SHARE, rate * LIMIT_SHARE)
        for tenant, rate in rates.items()
    }
    world = World(limits, nodes=case.nodes, relays=case.relays)
    offer(world, rates, 1.0, SETTLE_SECONDS)
    assert world.leader is not None
    nodes: list[Process] = list(world.nodes.values())
    relays: list[Process] = list(world.relays.values())
    leader: Process = world.leader
    before = {each.name: counts(each) for each in (*nodes, *relays, leader)}
    world.waits.clear()
    asked = {tenant: len(world.calls(tenant, "asked")) for tenant in rates}
    denied = {tenant: len(world.calls(tenant, "denied")) for tenant in rates}
    began = time.process_time()
    offer(world, rates, case.hot, MEASURED_SECONDS)
    seconds = time.process_time() - began
    below = [tenant for tenant in rates if tenant != "t0" or case.hot == 1.0]
    asked_below = sum(len(world.calls(each, "asked")) - asked[each] for each in below)
    denied_below = sum(len(world.calls(each, "denied")) - denied[each] for each in below)
    waits = sorted(world.waits)
    return {
        **msgspec.structs.asdict(case),
        "node": a_second(nodes, before),
        "relay": a_second(relays, before),
        "leader": a_second([leader], before),
        "answered_at_once": round(sum(w < QUICK_SECONDS for w in waits) / len(waits), 3),
        "wait_p99_milliseconds": round(1_000 * waits[int(0.99 * len(waits))], 2),
        "refused_below_limit": round(denied_below / asked_below, 5),
        "processor_seconds_of_all": round(seconds, 2),
    }


def main() -> None:
    """Print all cases."""
    for case in CASES:
        print(json.dumps(measure(case)))


if __name__ == "__main__":
    main()
