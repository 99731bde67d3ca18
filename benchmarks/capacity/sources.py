"""Which command measured what, and how busy the machine was."""

from __future__ import annotations

from benchmarks.capacity.measured import Measured
from benchmarks.capacity.tables import markdown_table, number


def sources_table(measured: Measured) -> str:
    """Give the table of result files."""
    machines = [
        ("slopes_control", measured.control.command, measured.control.machine),
        ("slopes_claims", measured.claims.command, measured.claims.machine),
        ("slopes_relay", measured.relay.command, measured.relay.machine),
        ("slopes_node", measured.node.command, measured.node.machine),
        ("slopes_command", measured.command.command, measured.command.machine),
        ("batching_curve", measured.batching.command, measured.batching.machine),
    ]
    if measured.today is not None:
        today = measured.today
        machines.append(("convergence_today", today.command, today.machine))
    rows = [
        (f"`results/{name}.json`", f"`{command}`", number(machine.load_average))
        for name, command, machine in machines
    ]
    rows += [
        (
            "`results/scale_run.json`",
            "`make scale`",
            f"{number(measured.scale.machine_load_before)} before,"
            f" {number(measured.scale.machine_load_after)} after",
        ),
        (
            "`results/call_path.json`",
            "`python benchmarks/call_path.py`",
            number(measured.calls.load_average_at_end),
        ),
        (
            "`results/resolution_slope.json`",
            "`python -m benchmarks.resolution_slope`",
            "not noted",
        ),
    ]
    return markdown_table(("result", "command", "load average"), rows)
