"""``peppershore trace``: the log lines of all processes on one request, in order."""

from __future__ import annotations

from typing import TextIO

import click
import msgspec

from peppershore.command.failures import not_found
from peppershore.command.log_files import LogLine, of_request, read_logs
from peppershore.command.output import show_json, show_table, stop_with
from peppershore.process.node.data.call_story import CallStep

HEADER = ("ms", "process", "what", "node", "outcome or reason", "inputs")


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File("r", errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def trace(request_id: str, files: tuple[TextIO, ...], as_json: bool) -> None:
    """Show every logged decision on REQUEST_ID in log FILES (- is standard input)."""
    logs = read_logs(files)
    lines = list(of_request(logs.lines, request_id))
    if not lines:
        step = (
            f"{len(logs.lines)} log lines were read, {logs.foreign} of others; answered "
            "calls have lines only as log_answered_every says"
        )
        stop_with(not_found(f"a line of request {request_id}", step), as_json)
    if as_json:
        show_json({"request_id": request_id, "lines": [line.fields for line in lines]})
        return
    start = min(line.time - line.milliseconds for line in lines)
    rows = [row for line in lines for row in _rows(line, start)]
    rows.sort(key=lambda row: row.at_milliseconds)
    show_table(HEADER, [msgspec.structs.astuple(row) for row in rows])


class TraceRow(msgspec.Struct, frozen=True):
    """One decision; its time counts from when the request was first read."""

    at_milliseconds: int
    process: str
    what: str
    node: str
    outcome: str
    inputs: str


def _rows(line: LogLine, start: int) -> list[TraceRow]:
    """Return a row for each step in a log line, and one for the outcome."""
    began = line.time - line.milliseconds - start
    rows = [_step_row(line.process, began, step) for step in line.steps]
    at = line.time - start
    outcome = f"{line.outcome} {line.reason}".strip()
    rows.append(TraceRow(at, line.process, line.event, "", outcome, _inputs(line)))
    return rows


def _step_row(process: str, began: int, step: CallStep) -> TraceRow:
    at = began + step.at_milliseconds
    return TraceRow(at, process, step.step, step.node, step.reason, _step_inputs(step))


def _step_inputs(step: CallStep) -> str:
    if step.step != "sent":
        advice = step.retry_after_milliseconds
        return f"come back after {advice} ms" if advice else ""
    seen = (
        f"own calls there {step.in_flight}, others told {step.load} "
        f"{step.load_age_milliseconds} ms ago"
    )
    if not step.pace_source:
        return seen
    pace, age = step.pace_percent, step.pace_age_milliseconds
    return f"{seen}, pace {pace} % {age} ms ago ({step.pace_source})"


def _inputs(line: LogLine) -> str:
    shown = (
        "version",
        "configuration_age_milliseconds",
        "running",
        "waiting",
        "slots",
        "waited_milliseconds",
        "pace_percent",
    )
    parts = [f"{name} {line.fields[name]}" for name in shown if name in line.fields]
    return ", ".join([f"status {line.status}", *parts])
