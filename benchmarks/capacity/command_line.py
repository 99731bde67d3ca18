"""What the command line spends."""

from __future__ import annotations

from benchmarks.capacity import sizes
from benchmarks.capacity.figures import Figure
from benchmarks.capacity.measured import Measured
from benchmarks.capacity.tables import megabytes, milliseconds, number, percent


def command_figures(measured: Measured) -> list[Figure]:
    """Give the lines of the command line."""
    set_cost = next(c for c in measured.command.commands if c.command == "tree set")
    peak = sizes.PEAK_CHANGES_PER_SECOND
    at_peak = peak * set_cost.processor_milliseconds / 1e3
    lines = [
        Figure(
            f"`{cost.command}`",
            f"{milliseconds(cost.processor_milliseconds)} of processor time",
            f"{sizes.SERVICES} services",
            f"{milliseconds(cost.milliseconds)}, {megabytes(cost.resident_bytes)}",
            "a process of its own, holds nothing",
            "`slopes_command`",
        )
        for cost in measured.command.commands
    ]
    lines.append(
        Figure(
            "messages",
            "a question and its answer, on a link of its own, to the leader",
            f"{number(peak)} edits a second",
            f"{number(2 * peak)} a second",
            "a follower names the leader",
            "design",
        )
    )
    lines.append(
        Figure(
            "the worst hour's edits, one command each",
            f"{milliseconds(set_cost.processor_milliseconds)} an edit",
            f"{number(peak)} a second",
            f"{percent(at_peak)} of a core, on the operators' machines",
            "several edits go in one atomic change",
            "`slopes_command`",
        )
    )
    return lines
