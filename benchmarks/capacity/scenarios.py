"""The worst hour, a zone lost and a region cut off, worked through."""

from __future__ import annotations

import math

from benchmarks.capacity import loads, sizes
from benchmarks.capacity.measured import Measured
from benchmarks.capacity.tables import (
    NOT_MEASURED,
    markdown_table,
    megabytes,
    milliseconds,
    number,
    percent,
)
from peppershore.process.claims.table import DEFAULT_MAX_RECORDS
from peppershore.process.control.core import HISTORY_CAPACITY
from peppershore_lab.hollow.results import RecoveryPhase, ScaleRun

HEADER = ("", "figure", "how")
ZONE = "all nodes of a zone restart"
HERD_BEHIND = "herd reconnects after missed changes"
RELAY = "one relay is killed"


def recovery(measured: Measured, name: str) -> RecoveryPhase:
    """Give a recovery of the scale run."""
    return next(each for each in measured.scale.recoveries if each.name == name)


def worst_hour_table(measured: Measured) -> str:
    """Give the worst hour."""
    peak = sizes.PEAK_CHANGES_PER_SECOND
    steady = measured.scale.phases[0]
    relay = loads.relay_core_share(measured, sizes.NODES_PER_RELAY, peak)
    node_bytes = loads.node_bytes_per_second(measured, peak)
    fleet_bytes = node_bytes * sizes.NODES
    baseline = measured.scale.baseline
    assert baseline is not None
    pushed = baseline.bytes_per_change * peak
    rows = [
        (
            "changes",
            f"{number(peak)} a second, {number(peak * 3_600)} in the hour",
            f"{sizes.CHANGES_PER_DAY:,} a day, times {sizes.PEAK_FACTOR} (assumed)",
        ),
        (
            "nodes that need a change",
            number(loads.nodes_per_change(measured)),
            "mean of the scale run's mix of changes",
        ),
        (
            "restarts",
            f"{number(sizes.PEAK_RESTARTS_PER_SECOND)} a second",
            f"{sizes.RESTARTS_PER_DAY:,} a day, times {sizes.PEAK_FACTOR} (assumed)",
        ),
        (
            "leader",
            f"{percent(measured.control.leader_core_share.at(peak))} of a core",
            "`slopes_control`",
        ),
        ("each relay", f"{percent(relay)} of a core", "`slopes_relay`"),
        (
            "each node",
            f"{percent(loads.node_core_share(measured, peak))} of a core,"
            f" {number(node_bytes)} B a second",
            "`slopes_node`, `slopes_relay`",
        ),
        (
            "whole fleet",
            f"{number(fleet_bytes / 1e3)} kB a second",
            f"pushing the whole tree would take {number(pushed / 1e9)} GB a second",
        ),
        (
            "in force everywhere",
            f"p50 {milliseconds(steady.convergence.per_change.p50)},"
            f" p99 {milliseconds(steady.convergence.per_change.p99)}",
            f"scale run, {steady.changes} changes at this rate, none missing"
            if not steady.convergence.missing
            else f"scale run; {steady.convergence.missing} were not seen",
        ),
    ]
    return markdown_table(HEADER, rows)


def zone_loss_table(measured: Measured) -> str:
    """Give the loss of a zone and its return."""
    zone = recovery(measured, ZONE)
    relay = recovery(measured, RELAY)
    nodes = sizes.NODES_PER_ZONE
    lost_each = sizes.ENDPOINTS_PER_NODE / sizes.ZONES
    news_bytes = max(measured.node.churn_bytes_per_endpoint) * lost_each
    cpu = loads.restart_seconds(measured) * nodes
    rows = [
        (
            "lost at once",
            f"{number(nodes)} nodes, one or two relays, at most one control replica",
            f"{sizes.NODES:,} nodes over {sizes.ZONES} zones; replicas in five zones",
        ),
        (
            "endpoints that each other node loses",
            f"{number(lost_each)}, about {number(news_bytes)} B of news",
            "endpoints a node may call, over the zones; `slopes_node`",
        ),
        (
            "news to all others together",
            megabytes(news_bytes * (sizes.NODES - nodes)),
            "once, over the endpoint lease",
        ),
        (
            "a relay alone is lost",
            f"its {relay.nodes} nodes at others:"
            f" p99 {milliseconds(relay.milliseconds.p99)}",
            "scale run",
        ),
        (
            "all nodes of the zone come back without memory",
            f"{zone.recovered} of {zone.nodes} current:"
            f" p99 {milliseconds(zone.milliseconds.p99)}",
            "scale run",
        ),
        (
            "relay work for that",
            f"{number(cpu)} s of processor time, over the zone's relays",
            f"{milliseconds(max(measured.relay.restart_milliseconds))} a restart,"
            " `slopes_relay`",
        ),
        (
            "changes elsewhere meanwhile",
            f"p99 {milliseconds(measured.scale.phases[1].convergence.per_change.p99)}",
            "scale run, the zone's own nodes left out",
        ),
    ]
    return markdown_table(HEADER, rows)


def region_cut_table(measured: Measured) -> str:
    """Give a region that is cut off for minutes."""
    behind = recovery(measured, HERD_BEHIND)
    nodes = sizes.NODES_PER_ZONE * sizes.LARGEST_REGION_ZONES
    missed = sizes.PEAK_CHANGES_PER_SECOND * sizes.REGION_CUT_SECONDS
    log_bytes = max(state.log_bytes_per_edit for state in measured.control.states)
    relays = math.ceil(sizes.RELAYS * sizes.LARGEST_REGION_ZONES / sizes.ZONES)
    covers = HISTORY_CAPACITY / sizes.PEAK_CHANGES_PER_SECOND / 60
    rows = [
        (
            "cut off",
            f"{number(nodes)} nodes, {relays} relays, two control replicas at most",
            f"the largest region, {sizes.LARGEST_REGION_ZONES} of {sizes.ZONES} zones",
        ),
        (
            "changes accepted meanwhile",
            f"{number(missed)}, by the three replicas outside",
            f"{sizes.REGION_CUT_SECONDS // 60} minutes of the worst hour (assumed)",
        ),
        (
            "what the cut-off side does",
            "accepts nothing, serves on with what it holds, says how old that is",
            "freshness from quorum confirmation",
        ),
        (
            "a relay's catch-up from the log",
            f"{number(missed * log_bytes / 1e3)} kB",
            f"{number(log_bytes)} B an edit; the history covers {number(covers)} minutes",
        ),
        (
            "a node's catch-up",
            f"{number(behind.bytes_per_node)} B in one delta",
            f"scale run, {behind.changes_missed} changes missed, all nodes reconnecting",
        ),
        (
            "all current again",
            f"p50 {milliseconds(behind.milliseconds.p50)},"
            f" p99 {milliseconds(behind.milliseconds.p99)},"
            f" last {milliseconds(behind.milliseconds.max)}",
            f"scale run, {behind.recovered} of {behind.nodes} nodes at once;"
            f" the region has {number(nodes / behind.nodes * 100)}% of them",
        ),
    ]
    return markdown_table(HEADER, rows)


def herds_table(run: ScaleRun | None) -> str:
    """Give the storms of a scale run."""
    if run is None:
        return NOT_MEASURED
    found = [run.start, *run.recoveries]
    rows = [
        (
            each.name,
            f"{each.recovered:,} of {each.nodes:,}",
            milliseconds(each.milliseconds.p50),
            milliseconds(each.milliseconds.p99),
            milliseconds(each.milliseconds.max),
            f"{number(each.bytes_per_node)} B" if each.bytes_per_node else "-",
            megabytes(each.relay_peak_resident_bytes)
            if each.relay_peak_resident_bytes
            else "-",
        )
        for each in found
    ]
    header = ("storm", "current again", "p50", "p99", "last", "a node", "largest relay")
    return markdown_table(header, rows)


def claims_table(measured: Measured) -> str:
    """Give the claims groups needed for shares of calls that may not be repeated."""
    rate = measured.claims_at_best.calls_per_second
    bytes_each = measured.claim_table(with_answers=False).bytes_per_record
    rows = []
    for share in sizes.CLAIM_SHARES:
        claims = sizes.CALLS_PER_SECOND * share
        records = claims * sizes.CLAIM_RECORD_SECONDS
        rows.append(
            (
                percent(share),
                number(claims),
                str(math.ceil(claims / rate)),
                str(math.ceil(records / DEFAULT_MAX_RECORDS)),
                megabytes(records * bytes_each),
            )
        )
    header = (
        "share of calls",
        "claims a second",
        "groups by rate",
        "groups by records",
        "memory of a day's records, at one replica of each group",
    )
    return markdown_table(header, rows)


def machines_table(measured: Measured) -> str:
    """Give the layout of the 21 machines."""
    peak = sizes.PEAK_CHANGES_PER_SECOND
    relay_share = loads.relay_core_share(measured, sizes.NODES_PER_RELAY, peak)
    leader = measured.control.leader_core_share.at(peak)
    spare = sizes.RELAYS - sizes.ZONES
    claims = measured.claims
    rows = [
        (
            str(sizes.REPLICAS),
            "five zones, two in one region and one in each other",
            "one control replica, with a disk",
            f"{percent(leader)} of a core, {megabytes(loads.control_memory(measured))}",
        ),
        (
            str(sizes.ZONES),
            "one in each zone",
            "one relay; on five of them, in one region, a claims replica with a disk",
            f"{percent(relay_share)} of a core,"
            f" {megabytes(loads.relay_memory(measured, sizes.NODES_PER_RELAY))};"
            f" claims: one core, {megabytes(claims.resident_bytes_at_start)} and records",
        ),
        (
            str(spare),
            "the regions of the largest zones",
            "one more relay each, always in use",
            "as above",
        ),
    ]
    return markdown_table(("machines", "where", "processes", "each needs"), rows)
