"""What each role holds, sends and spends at the letter's size."""

from __future__ import annotations

from benchmarks.capacity import sizes
from benchmarks.capacity.figures import Figure
from benchmarks.capacity.loads import (
    CHANGE_IDS_KEPT,
    FRESHNESS_PER_SECOND,
    HEARTBEATS_PER_SECOND,
    MICROSECOND,
    control_memory,
    endpoint_news_per_second,
    node_bytes_per_second,
    node_churn_seconds,
    node_core_share,
    node_memory,
    nodes_per_change,
    relay_core_share,
    relay_memory,
    restart_seconds,
)
from benchmarks.capacity.measured import Measured
from benchmarks.capacity.tables import (
    megabytes,
    milliseconds,
    number,
    percent,
)
from peppershore.process.claims.table import DEFAULT_MAX_RECORDS
from peppershore.process.control.core import HISTORY_CAPACITY
from peppershore.process.relay.source import CONFIRM_SECONDS

GIGABYTE = 1e9


def control_figures(measured: Measured) -> list[Figure]:
    """Give the lines of a control replica."""
    control = measured.control
    peak = sizes.PEAK_CHANGES_PER_SECOND
    log_bytes = max(state.log_bytes_per_edit for state in control.states)
    route = measured.resolution_of("route in one zone", all_zones=False)
    relay_messages = sizes.RELAYS * 2 / CONFIRM_SECONDS
    source = "`slopes_control`"
    return [
        Figure(
            "state in memory",
            f"{number(control.memory_bytes.slope)} B an edit remembered",
            f"{CHANGE_IDS_KEPT:,} change ids, {HISTORY_CAPACITY:,} edits of history",
            megabytes(control_memory(measured)),
            "bounded outcome table and history",
            source,
        ),
        Figure(
            "snapshot",
            f"{megabytes(control.snapshot_bytes.at_zero)}"
            f" + {number(control.snapshot_bytes.slope)} B an edit",
            f"{HISTORY_CAPACITY:,} edits",
            f"{megabytes(control.snapshot_bytes.at(HISTORY_CAPACITY))},"
            f" {milliseconds(control.snapshot_milliseconds.at(HISTORY_CAPACITY))}",
            "log compaction each 2,000 entries",
            source,
        ),
        Figure(
            "log",
            f"{number(log_bytes)} B an edit",
            f"{sizes.CHANGES_PER_DAY:,} a day",
            f"{megabytes(log_bytes * sizes.CHANGES_PER_DAY)} a day before compaction",
            "synced SQLite log, group commit",
            source,
        ),
        Figure(
            "leader's processor time",
            f"{percent(control.leader_core_share.at_zero)} of a core"
            f" + {percent(control.leader_core_share.slope)} an edit a second",
            f"{number(peak)} edits a second in the worst hour, {sizes.RELAYS} relays",
            f"{percent(control.leader_core_share.at(peak))} of a core",
            "validation by what an edit touches; replication in batches",
            source,
        ),
        Figure(
            "follower's processor time",
            f"{percent(control.follower_core_share.at_zero)}"
            f" + {percent(control.follower_core_share.slope)} an edit a second",
            f"{number(peak)} edits a second",
            f"{percent(control.follower_core_share.at(peak))} of a core",
            "appends in batches",
            source,
        ),
        Figure(
            "validation of an edit",
            f"{number(route.accept_microseconds)} us at {route.tree_nodes:,} tree nodes",
            f"{number(peak)} a second",
            f"{percent(route.accept_microseconds * peak * MICROSECOND)} of a core",
            "index carried from tree to tree",
            "`resolution_slope`",
        ),
        Figure(
            "messages a second",
            f"heartbeat each {number(1_000 / HEARTBEATS_PER_SECOND)} ms a peer;"
            f" confirmation each {number(CONFIRM_SECONDS)} s a relay",
            f"{sizes.REPLICAS - 1} peers, {sizes.RELAYS} relays over all replicas",
            f"{number(2 * HEARTBEATS_PER_SECOND * (sizes.REPLICAS - 1))} with peers,"
            f" {number(relay_messages)} with relays, and"
            f" {number(peak * (2 * (sizes.REPLICAS - 1) + sizes.RELAYS))} for edits",
            "relays are the only readers; no node talks to a replica",
            "settings",
        ),
    ]


def claims_figures(measured: Measured) -> list[Figure]:
    """Give the lines of a claims replica."""
    best = measured.claims_at_best
    alone = measured.claims_one_by_one
    bare = measured.claim_table(with_answers=False)
    answered = measured.claim_table(with_answers=True)
    full = DEFAULT_MAX_RECORDS
    snapshot = answered.snapshot_milliseconds * full / answered.records
    per_day = full * sizes.SECONDS_PER_DAY / sizes.CLAIM_RECORD_SECONDS
    source = "`slopes_claims`"
    return [
        Figure(
            "calls a second a group, short term",
            f"{number(best.leader_microseconds_per_call)} us of the leader a call"
            " (claim and kept answer)",
            "one core of the leader",
            f"{number(1 / best.leader_microseconds_per_call / MICROSECOND)} by"
            f" processor time; {number(best.calls_per_second)} seen with"
            f" {best.concurrency} under way",
            "group commit of a log of its own",
            source,
        ),
        Figure(
            "calls a day a group",
            f"{full:,} records, each kept 24 h",
            "one group",
            f"{number(per_day)} a day,"
            f" {number(per_day / sizes.SECONDS_PER_DAY)} a second on average",
            "a full table refuses and never forgets early",
            "settings",
        ),
        Figure(
            "memory",
            f"{number(bare.bytes_per_record)} B a record,"
            f" {number(answered.bytes_per_record)} B with an answer of"
            f" {answered.answer_bytes} B",
            f"{full:,} records",
            f"{megabytes(bare.bytes_per_record * full)} to"
            f" {megabytes(answered.bytes_per_record * full)}, beside the process's"
            f" {megabytes(measured.claims.resident_bytes_at_start)}",
            "bounded table",
            source,
        ),
        Figure(
            "records in a gigabyte",
            f"{number(bare.bytes_per_record)} to {number(answered.bytes_per_record)} B"
            " a record",
            "1 GB of each replica",
            f"{number(GIGABYTE / answered.bytes_per_record)} to"
            f" {number(GIGABYTE / bare.bytes_per_record)}; over 24 h"
            f" {number(GIGABYTE / answered.bytes_per_record / sizes.SECONDS_PER_DAY)} to"
            f" {number(GIGABYTE / bare.bytes_per_record / sizes.SECONDS_PER_DAY)}"
            " calls a second",
            "`max_records`, `max_answer_megabytes`, `horizon_seconds`",
            source,
        ),
        Figure(
            "snapshot",
            f"{number(answered.snapshot_milliseconds * 1e3 / answered.records)} us and"
            f" {number(answered.snapshot_bytes_per_record)} B a record",
            f"{full:,} records",
            f"{milliseconds(snapshot)} of processor time to encode,"
            f" {megabytes(answered.snapshot_bytes_per_record * full)}",
            "by segments: only those that changed are written, between commits",
            source,
        ),
        Figure(
            "messages of a call",
            "claim and grant; completion and its note",
            f"{number(best.calls_per_second)} calls a second",
            f"{number(4 * best.calls_per_second)} a second with nodes, and those of"
            " the log in batches",
            "one link a node, kept open",
            "design",
        ),
        Figure(
            "time of a claim",
            "one quorum commit",
            "three replicas on loopback, one call at a time",
            f"p50 {milliseconds(alone.milliseconds.p50)},"
            f" p99 {milliseconds(alone.milliseconds.p99)}",
            "claim before dispatch",
            source,
        ),
        Figure(
            "follower's processor time",
            f"{number(best.follower_microseconds_per_call)} us a call",
            f"{number(best.calls_per_second)} calls a second",
            f"{percent(best.follower_microseconds_per_call * MICROSECOND * best.calls_per_second)}"  # noqa: E501
            " of a core",
            "appends in batches",
            source,
        ),
    ]


def relay_figures(measured: Measured) -> list[Figure]:
    """Give the lines of a relay."""
    relay = measured.relay
    nodes = sizes.NODES_PER_RELAY
    peak = sizes.PEAK_CHANGES_PER_SECOND
    needing = nodes_per_change(measured) * nodes / sizes.NODES
    share = relay_core_share(measured, nodes, peak)
    route = measured.resolution_of("route in one zone", all_zones=False)
    root = measured.resolution_of("root", all_zones=False)
    bytes_a_node = node_bytes_per_second(measured, peak)
    idle_messages = 2 * FRESHNESS_PER_SECOND
    source = "`slopes_relay`"
    return [
        Figure(
            "memory",
            f"{megabytes(relay.memory_bytes.at_zero)}"
            f" + {number(relay.memory_bytes.slope)} B a node",
            f"{number(nodes)} nodes",
            megabytes(relay_memory(measured, nodes)),
            "one encoded copy a scope, shared by its nodes",
            source,
        ),
        Figure(
            "processor time, idle",
            f"{percent(relay.idle_core_share.at_zero)}"
            f" + {percent(relay.idle_core_share.slope * 1_000)} for 1,000 nodes",
            f"{number(nodes)} nodes",
            f"{percent(relay.idle_core_share.at(nodes))} of a core",
            "heartbeats in slots, one encoding for all",
            source,
        ),
        Figure(
            "processor time of a change",
            f"{number(relay.change_microseconds.at_zero)} us"
            f" + {number(relay.change_microseconds.slope)} us a node that needs it",
            f"{number(peak)} changes a second, {number(needing)} nodes each",
            f"{percent(peak * relay.change_microseconds.at(needing) * MICROSECOND)}"
            " of a core",
            "resolved once a scope; nobody else is sent anything",
            source,
        ),
        Figure(
            "processor time of a node's restart",
            f"{milliseconds(max(relay.restart_milliseconds))} a restart",
            f"{number(sizes.PEAK_RESTARTS_PER_SECOND)} a second in the fleet",
            f"{percent(sizes.PEAK_RESTARTS_PER_SECOND / sizes.RELAYS * restart_seconds(measured))}"  # noqa: E501
            " of a core",
            "admission, packed snapshots kept a scope",
            source,
        ),
        Figure(
            "processor time in the worst hour",
            "sum of the above",
            "",
            f"{percent(share)} of a core",
            "",
            source,
        ),
        Figure(
            "resolving a route, the root",
            f"{number(route.catalog_microseconds)} us,"
            f" {milliseconds(root.catalog_microseconds / 1e3)}",
            "one zone's scopes",
            "within one turn of the loop",
            "index of who holds a resource",
            "`resolution_slope`",
        ),
        Figure(
            "messages and bytes",
            f"{number(idle_messages)} messages a second a node when idle;"
            f" {number(max(relay.update_bytes))} B an update",
            f"{number(nodes)} nodes",
            f"{number(nodes * idle_messages)} messages and"
            f" {number(nodes * bytes_a_node / 1e3)} kB a second, both ways",
            "deltas of state, packed with a dictionary",
            source,
        ),
    ]


def node_figures(measured: Measured) -> list[Figure]:
    """Give the lines of a node."""
    node = measured.node
    peak = sizes.PEAK_CHANGES_PER_SECOND
    resources = sizes.RESOURCES_PER_NODE
    needed = peak * nodes_per_change(measured) / sizes.NODES
    change = node.change_milliseconds.at(resources)
    churn = node_churn_seconds(measured)
    source = "`slopes_node`"
    calls = measured.calls.at_122_calls_per_second
    direct = calls["node-direct"].processor_ms_per_call
    owner = calls["node-owner"].processor_ms_per_call
    per_node = sizes.CALLS_PER_NODE / 1e3
    return [
        Figure(
            "memory, the whole process",
            f"{megabytes(node.memory_bytes.at_zero)}"
            f" + {number(node.memory_bytes.slope)} B a resource",
            f"{resources} resources, {number(sizes.ENDPOINTS_PER_NODE)} endpoints",
            megabytes(node_memory(measured)),
            "one snapshot, swapped whole",
            source,
        ),
        Figure(
            "processor time, idle",
            f"{percent(node.idle_core_share.at_zero)}"
            f" + {percent(node.idle_core_share.slope * 100)} for 100 resources",
            f"{resources} resources",
            f"{percent(node.idle_core_share.at(resources))} of a core",
            "heartbeats, probe of its back end each 0.25 s",
            source,
        ),
        Figure(
            "processor time of changes",
            f"{milliseconds(change)} a change that it needs",
            f"{number(needed)} a second",
            f"{percent(needed * change / 1e3)} of a core",
            "only what a scope holds is sent to it",
            source,
        ),
        Figure(
            "endpoints",
            f"{number(churn / MICROSECOND)} us and"
            f" {number(max(node.churn_bytes_per_endpoint))} B"
            " an endpoint that leaves and comes",
            f"{number(endpoint_news_per_second())} a second",
            f"{percent(endpoint_news_per_second() * churn)} of a core",
            "only the services it may call",
            source,
        ),
        Figure(
            "control work in the worst hour",
            "sum of the above",
            "",
            f"{percent(node_core_share(measured, peak))} of a core,"
            f" {number(node_bytes_per_second(measured, peak))} B a second",
            "",
            f"{source}, `slopes_relay`",
        ),
        Figure(
            "carrying calls, one hop",
            f"{milliseconds(direct)} of processor time a call",
            f"{number(sizes.CALLS_PER_NODE)} calls a second",
            f"{percent(direct * per_node)} of a core",
            "caller's node straight to the back end",
            "`call_path`",
        ),
        Figure(
            "carrying calls, two hops",
            f"{milliseconds(owner)} a call, at both nodes together",
            f"{number(sizes.CALLS_PER_NODE)} calls a second",
            f"{percent(owner * per_node)} of a core",
            "the back end's own node decides on slots and claims",
            "`call_path`",
        ),
    ]
