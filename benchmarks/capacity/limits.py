"""The letter's limits with headroom or shortfall, and what breaks first."""

from __future__ import annotations

import msgspec

from benchmarks.capacity import loads, sizes
from benchmarks.capacity.measured import Measured
from benchmarks.capacity.tables import (
    markdown_table,
    megabytes,
    milliseconds,
    number,
    percent,
)
from peppershore.process.claims.table import DEFAULT_MAX_RECORDS

FULL_SHARE = 0.5
"""A process is taken as full at half of its core: the other half is for storms."""


class Limit(msgspec.Struct, frozen=True):
    """A limit of the letter and what was worked out or measured for it."""

    name: str
    limit: float
    value: float
    shown_limit: str
    shown_value: str
    basis: str

    @property
    def verdict(self) -> str:
        """Say how far the value is below or above the limit."""
        if self.value <= self.limit:
            return f"met, {number(self.limit / self.value)} times below"
        return f"**missed, {number(self.value / self.limit)} times above**"


def limits(measured: Measured) -> list[Limit]:
    """Give every limit of the letter."""
    peak = sizes.PEAK_CHANGES_PER_SECOND
    share = loads.node_core_share(measured, peak)
    memory = loads.node_memory(measured)
    traffic = loads.node_bytes_per_second(measured, peak)
    steady = measured.scale.phases[0].convergence.per_change
    restarting = measured.scale.phases[1].convergence.per_change
    found = [
        Limit(
            "control work of a node",
            sizes.CORE_SHARE_LIMIT,
            share,
            f"{percent(sizes.CORE_SHARE_LIMIT)} of a core",
            percent(share),
            "slopes, worst hour",
        ),
        Limit(
            "memory of a node, whole process",
            sizes.MEMORY_LIMIT_BYTES,
            memory,
            megabytes(sizes.MEMORY_LIMIT_BYTES),
            megabytes(memory),
            "slopes, real node",
        ),
        Limit(
            "control traffic of a node",
            sizes.CONTROL_BYTES_PER_SECOND_LIMIT,
            traffic,
            "19 kB a second",
            f"{number(traffic)} B a second",
            "slopes, worst hour",
        ),
        _time_limit("in force everywhere, steady", steady.p99, "scale run, p99"),
        _time_limit(
            "in force elsewhere while a zone restarts", restarting.p99, "scale run, p99"
        ),
    ]
    added = measured.calls.added_at_122_calls_per_second
    for path, name in (("node-direct", "one hop"), ("node-owner", "two hops")):
        value = added[f"{path}_added_p99_ms"]
        found.append(
            Limit(
                f"added to a call, p99, {name}",
                sizes.ADDED_MILLISECONDS_LIMIT,
                value,
                milliseconds(sizes.ADDED_MILLISECONDS_LIMIT),
                milliseconds(value),
                _forwarder_basis(measured, path),
            )
        )
    claim = measured.claims_one_by_one.milliseconds.p99
    found.append(
        Limit(
            "added to a call by its claim, p99",
            sizes.ADDED_MILLISECONDS_LIMIT,
            claim,
            milliseconds(sizes.ADDED_MILLISECONDS_LIMIT),
            milliseconds(claim),
            "`slopes_claims`, loopback, beside the hops",
        )
    )
    return found


def limits_table(measured: Measured) -> str:
    """Give the table of limits."""
    return markdown_table(
        ("limit", "allowed", "at the letter's size", "verdict", "from"),
        [
            (each.name, each.shown_limit, each.shown_value, each.verdict, each.basis)
            for each in limits(measured)
        ],
    )


def breaks_table(measured: Measured) -> str:
    """Give what is full at which size, the nearest first."""
    rows = sorted(_breaking_points(measured), key=lambda row: row[0])
    return markdown_table(
        ("what is full", "at", "letter's size", "room", "what is then done"),
        [(name, at, size, _room(room), remedy) for room, name, at, size, remedy in rows],
    )


def _room(times: float) -> str:
    if times >= 1.0:
        return f"{number(times)} times"
    return f"**{number(1 / times)} times short**"


def _time_limit(name: str, value: float, basis: str) -> Limit:
    limit = sizes.CONVERGENCE_LIMIT_SECONDS * 1e3
    return Limit(name, limit, value, milliseconds(limit), milliseconds(value), basis)


def _forwarder_basis(measured: Measured, path: str) -> str:
    forwarder = {"node-direct": "forwarder-1", "node-owner": "forwarder-2"}[path]
    added = measured.calls.added_at_122_calls_per_second
    return (
        f"`call_path`; p50 {milliseconds(added[f'{path}_added_p50_ms'])};"
        " a do-nothing forwarder of equal hops adds"
        f" p50 {milliseconds(added[f'{forwarder}_added_p50_ms'])},"
        f" p99 {milliseconds(added[f'{forwarder}_added_p99_ms'])}"
    )


def _breaking_points(measured: Measured) -> list[tuple[float, str, str, str, str]]:
    return [
        _calls_of_node(measured),
        _claims_by_processor(measured),
        _claims_by_records(measured),
        _relay_nodes(measured),
        _relay_memory(measured),
        _leader_edits(measured),
        _node_resources(measured),
    ]


def _calls_of_node(measured: Measured) -> tuple[float, str, str, str, str]:
    calls = measured.calls.saturated_16_connections["node-direct"].calls_per_second
    room = calls / sizes.CALLS_PER_NODE
    return (
        room,
        "a node's core, by calls of one hop",
        f"{number(calls)} calls a second",
        number(sizes.CALLS_PER_NODE),
        "more upstreams; a second node beside an edge",
    )


def _claims_by_processor(measured: Measured) -> tuple[float, str, str, str, str]:
    best = measured.claims_at_best.calls_per_second
    share = best / sizes.CALLS_PER_SECOND
    return (
        share / sizes.CLAIM_SHARES[2],
        "a claims group, by rate",
        f"{number(best)} calls a second, {percent(share)} of all calls",
        f"not given; {percent(sizes.CLAIM_SHARES[2])} taken here",
        "several groups, by key: `claims_groups`",
    )


def _claims_by_records(measured: Measured) -> tuple[float, str, str, str, str]:
    del measured
    rate = DEFAULT_MAX_RECORDS / sizes.CLAIM_RECORD_SECONDS
    share = rate / sizes.CALLS_PER_SECOND
    return (
        share / sizes.CLAIM_SHARES[2],
        "a claims group, by its records of 24 h",
        f"{number(rate)} calls a second all day, {number(share * 1e6)} in a million",
        f"not given; {percent(sizes.CLAIM_SHARES[2])} taken here",
        "more records (memory below), a shorter horizon, several groups",
    )


def _relay_nodes(measured: Measured) -> tuple[float, str, str, str, str]:
    nodes = sizes.NODES_PER_RELAY
    step = sizes.NODES_PER_RELAY
    peak = sizes.PEAK_CHANGES_PER_SECOND
    while loads.relay_core_share(measured, nodes + step, peak) < FULL_SHARE:
        nodes += step
    return (
        nodes / sizes.NODES_PER_RELAY,
        "a relay's core, half of it",
        f"{number(nodes)} nodes",
        number(sizes.NODES_PER_RELAY),
        "more relays; the choice of relay needs no other change",
    )


def _relay_memory(measured: Measured) -> tuple[float, str, str, str, str]:
    line = measured.relay.memory_bytes
    nodes = (sizes.MEMORY_LIMIT_BYTES - line.at_zero) / line.slope
    return (
        nodes / sizes.NODES_PER_RELAY,
        f"a relay's memory, {megabytes(sizes.MEMORY_LIMIT_BYTES)}",
        f"{number(nodes)} nodes",
        number(sizes.NODES_PER_RELAY),
        "more relays",
    )


def _leader_edits(measured: Measured) -> tuple[float, str, str, str, str]:
    line = measured.control.leader_core_share
    edits = (FULL_SHARE - line.at_zero) / line.slope
    return (
        edits / sizes.PEAK_CHANGES_PER_SECOND,
        "the leader's core, half of it",
        f"{number(edits)} edits a second",
        number(sizes.PEAK_CHANGES_PER_SECOND),
        "edits in one atomic change",
    )


def _node_resources(measured: Measured) -> tuple[float, str, str, str, str]:
    line = measured.node.memory_bytes
    slope = max(line.slope, 1.0)
    resources = (sizes.MEMORY_LIMIT_BYTES - line.at_zero) / slope
    return (
        resources / sizes.RESOURCES_PER_NODE,
        f"a node's memory, {megabytes(sizes.MEMORY_LIMIT_BYTES)}",
        f"{number(resources)} resources",
        str(sizes.RESOURCES_PER_NODE),
        "fewer services in `calls`",
    )
