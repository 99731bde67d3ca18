"""Tables of convergence and control bytes: today's sizes, the batching window."""

from __future__ import annotations

from benchmarks.capacity.measured import Measured
from benchmarks.capacity.tables import NOT_MEASURED, markdown_table, milliseconds, number
from peppershore_lab.hollow.results import ScaleRun


def today_table(measured: Measured) -> str:
    """Give convergence at today's sizes beside its limit."""
    if measured.today is None:
        return NOT_MEASURED
    header = (
        "deployment",
        "window",
        "processes",
        "changes",
        "answered p50, p99",
        "in force everywhere p50, p99",
        "a proxy p50, p99",
        "limit after acceptance",
        "bytes a change",
    )
    rows = [
        (
            run.deployment,
            f"{run.batching_milliseconds} ms",
            str(run.processes),
            str(run.changes)
            if not run.missing
            else f"{run.changes}, {run.missing} missing",
            f"{milliseconds(run.answered.p50)}, {milliseconds(run.answered.p99)}",
            f"{milliseconds(run.per_change.p50)}, {milliseconds(run.per_change.p99)}",
            f"{milliseconds(run.per_proxy.p50)}, {milliseconds(run.per_proxy.p99)}",
            milliseconds(run.limit_after_acceptance),
            number(run.control_bytes_per_change),
        )
        for run in measured.today.runs
    ]
    return markdown_table(header, rows)


def batching_table(measured: Measured) -> str:
    """Give the curve over the batching window."""
    header = (
        "window",
        "in force everywhere p50",
        "p99",
        "updates a change",
        "update bytes a change",
        "times the bytes without a window",
    )
    windows = measured.batching.windows
    without = windows[0].update_bytes_per_change
    rows = [
        (
            f"{each.window_milliseconds} ms",
            milliseconds(each.per_change.p50),
            milliseconds(each.per_change.p99),
            number(each.updates / each.changes),
            number(each.update_bytes_per_change),
            number(each.update_bytes_per_change / without),
        )
        for each in windows
    ]
    return markdown_table(header, rows)


def steady_table(run: ScaleRun | None) -> str:
    """Give a scale run's steady changes: times and bytes, least possible, baseline."""
    if run is None:
        return NOT_MEASURED
    steady = run.phases[0]
    baseline = run.baseline
    assert baseline is not None
    each_change = steady.update_bytes / steady.changes
    idle = run.idle
    reached = steady.convergence.per_change
    rows = [
        (
            "in force everywhere",
            f"p50 {milliseconds(reached.p50)}, p99 {milliseconds(reached.p99)}",
            f"{steady.changes} changes, {steady.convergence.missing} pairs missing;"
            f" load {number(run.machine_load_before)} to"
            f" {number(run.machine_load_after)}",
        ),
        (
            "update bytes a change",
            number(each_change),
            f"{number(steady.update_bytes / steady.ideal_bytes)} times the compressed"
            " changed resources at the nodes that need them (ours to reach: 1.25)",
        ),
        (
            "updates to nodes that need none",
            number(max(0, steady.update_messages - steady.expected_updates)),
            f"of {steady.update_messages:,}",
        ),
        (
            "baseline: whole tree to every node",
            number(baseline.bytes_per_change),
            f"{number(baseline.bytes_per_change / each_change)} times as many;"
            f" in force after {milliseconds(baseline.convergence_milliseconds.p50)}",
        ),
        (
            "an idle node, a second",
            number(idle.received_bytes_per_node_second + idle.sent_bytes_per_node_second),
            "received and sent (ours to reach: 100)",
        ),
    ]
    return markdown_table(("", "figure", ""), rows)
