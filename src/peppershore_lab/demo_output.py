"""The demo's result as a table for people."""

from __future__ import annotations

import click

from peppershore_lab.demo import DemoResult

NAME_WIDTH = 34


def show_demo(result: DemoResult) -> None:
    """Print the result."""
    reached = result.convergence
    rows = [
        ("processes", str(result.processes)),
        ("bring-up", f"{result.bring_up_seconds:.1f} s"),
        ("version of the edit", str(result.version)),
        (
            "proxies that need it and hold it",
            f"{reached.proxies - len(reached.missing)} of {reached.proxies}",
        ),
        (
            "convergence time p50 / p99 / max",
            f"{reached.p50_milliseconds:.0f} / {reached.p99_milliseconds:.0f} / "
            f"{reached.max_milliseconds:.0f} ms",
        ),
        ("control bytes of the edit", str(result.control_bytes)),
        ("moved route, answers before", _counts(result.moved_calls_before)),
        ("moved route, answers after", _counts(result.moved_calls_after)),
        ("calls by outcome", _counts(result.audit.outcomes)),
        ("runs in the back ends' journals", str(result.audit.runs)),
        (
            "latency p50 / p99",
            f"{result.latency.p50_milliseconds:.1f} / "
            f"{result.latency.p99_milliseconds:.1f} ms",
        ),
    ]
    for name, value in rows:
        click.echo(f"{name:<{NAME_WIDTH}} {value}")
    for promise, judged in result.audit.judged.items():
        click.echo(f"{judged:>6} records judged: {promise}")
    for violation in result.audit.violations:
        click.echo(f"VIOLATION {violation.request_id}: {violation.detail}")
    for problem in result.problems:
        click.echo(f"PROBLEM {problem}")
    click.echo("audit clean" if result.clean else "AUDIT NOT CLEAN")


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "none"
