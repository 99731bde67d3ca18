"""Output of results and failures: text tables, or one JSON object with --json.

No value of type bytes is ever shown, as key material is always bytes.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import NoReturn

import click
import msgspec

from peppershore.command.failures import Failed
from peppershore.process.public_value import public_value

COLUMN_GAP = "  "
EMPTY_CELL = "-"


def show_json(value: object) -> None:
    """Print one JSON value on one line."""
    click.echo(msgspec.json.encode(public_value(value)).decode())


def show_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print aligned columns under a header."""
    click.echo(format_table(header, rows))


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return aligned columns under a header, without a trailing line feed."""
    lines = [list(header), *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(_format_line(line, widths) for line in lines)


def stop_with(failed: Failed, as_json: bool) -> NoReturn:
    """Show a failure and exit with its code.

    Text goes to standard error, JSON to standard output.
    """
    if as_json:
        show_json({"failed": failed})
    else:
        click.echo(format_failure(failed), err=True)
    sys.exit(int(failed.code))


def format_failure(failed: Failed) -> str:
    """Return a failure as text: the message, each problem, and the next step."""
    lines = [f"error: {failed.message}"]
    for problem in failed.problems:
        allowed = f" (allowed: {problem.allowed})" if problem.allowed else ""
        lines.append(f"  {problem.subject}: {problem.reason}{allowed}")
    lines.append(f"next: {failed.next_step}")
    return "\n".join(lines)


def _cell(value: object) -> str:
    if value is None or value == "":
        return EMPTY_CELL
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value) or EMPTY_CELL
    return str(public_value(value))


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()
