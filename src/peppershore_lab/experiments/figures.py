"""The figures of a result: as rows for people, and as numbers to compare."""

from __future__ import annotations

import msgspec

from peppershore_lab.experiments.measures import CallMeasure
from peppershore_lab.experiments.result import ExperimentResult


class Figure(msgspec.Struct, frozen=True):
    """One measured number and its unit ("" for a count)."""

    name: str
    value: float
    unit: str = ""


def figures_of(result: ExperimentResult) -> list[Figure]:
    """Give all figures of a result, in a fixed order."""
    reached = result.convergence
    figures = [
        Figure("edits in force", reached.versions),
        Figure("convergence p50", reached.p50_milliseconds, "ms"),
        Figure("convergence p99", reached.p99_milliseconds, "ms"),
        Figure("convergence max", reached.max_milliseconds, "ms"),
        Figure("convergence p99 while reachable", reached.judged_p99_milliseconds, "ms"),
        Figure("convergence max while reachable", reached.judged_max_milliseconds, "ms"),
        Figure("control bytes", result.control_bytes.total, "B"),
        Figure("control bytes per edit", result.control_bytes.per_edit, "B"),
        *_call_figures("calls", result.calls),
    ]
    for baseline in result.baselines:
        figures += [
            Figure(f"{baseline.name}: convergence p99", baseline.p99_milliseconds, "ms"),
            Figure(f"{baseline.name}: control bytes", baseline.control_bytes, "B"),
        ]
    if result.plain_calls is not None:
        figures += _call_figures("plain proxy: calls", result.plain_calls)
    return figures


def _call_figures(name: str, calls: CallMeasure) -> list[Figure]:
    return [
        Figure(f"{name} offered", calls.offered),
        Figure(f"{name} answered", calls.answered),
        Figure(f"{name} latency p50", calls.p50_milliseconds, "ms"),
        Figure(f"{name} latency p99", calls.p99_milliseconds, "ms"),
    ]


def figure_rows(result: ExperimentResult) -> list[tuple[str, str]]:
    """Give the figures as text, with the counts by outcome."""
    rows = [(each.name, shown(each)) for each in figures_of(result)]
    rows.append(("calls by outcome", counts_text(result.calls.outcomes)))
    if result.plain_calls is not None:
        outcomes = counts_text(result.plain_calls.outcomes)
        rows.append(("plain proxy: calls by outcome", outcomes))
    rows.append(("edits by outcome", counts_text(result.edits.outcomes)))
    rows.append(("processes", str(result.processes)))
    rows.append(("machine", result.machine))
    return rows


def shown(figure: Figure) -> str:
    """Give a figure as text."""
    if not figure.unit:
        return f"{figure.value:.0f}"
    digits = 0 if figure.unit == "B" else 1
    return f"{figure.value:,.{digits}f} {figure.unit}"


def counts_text(counts: dict[str, int]) -> str:
    """Give counts as text."""
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"
