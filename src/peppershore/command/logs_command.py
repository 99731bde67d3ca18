"""``peppershore logs``: what a heap of log lines amounts to."""

from __future__ import annotations

from collections import Counter
from typing import TextIO

import click
import msgspec

from peppershore.command.log_files import LogFiles, LogLine, read_logs
from peppershore.command.lost_calls import CALL_EVENT, lost_calls
from peppershore.command.output import show_json, show_table

CALL_HEADER = ("calls", "service", "route", "outcome", "reason", "an example")
CAUSE_HEADER = ("calls", "cause", "target", "reason", "an example")
SECOND_HEADER = ("second", "cause", "calls")
NODE_HEADER = ("last node", "cause", "calls")
SHOWN_NODES = 20
"""Nodes with most failed calls that people are shown; --json has all."""

EVENT_HEADER = ("lines", "level", "event", "processes")
MILLISECONDS = 1_000


class CallEnds(msgspec.Struct, frozen=True):
    """Logged calls that ended alike; ``example`` is the last one's request id."""

    calls: int
    service: str
    route: str
    outcome: str
    reason: str
    example: str


class EventLines(msgspec.Struct, frozen=True):
    """Lines of one event, and how many processes wrote them."""

    lines: int
    level: str
    event: str
    processes: int


class Summary(msgspec.Struct, frozen=True):
    """All that was read, the most frequent first; times are Unix milliseconds."""

    lines: int
    foreign: int
    from_time: int
    to_time: int
    calls: tuple[CallEnds, ...]
    events: tuple[EventLines, ...]


@click.group()
def logs() -> None:
    """Read log files of processes."""


@logs.command()
@click.argument("files", nargs=-1, required=True, type=click.File("r", errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def summary(files: tuple[TextIO, ...], as_json: bool) -> None:
    """Count ends of calls and events in log FILES (- is standard input)."""
    found = summarize(read_logs(files))
    if as_json:
        show_json(found)
        return
    seconds = (found.to_time - found.from_time) / MILLISECONDS
    click.echo(f"{found.lines} lines over {seconds:.1f} s, {found.foreign} of others")
    show_table(CALL_HEADER, [msgspec.structs.astuple(each) for each in found.calls])
    show_table(EVENT_HEADER, [msgspec.structs.astuple(each) for each in found.events])


@logs.command()
@click.argument("files", nargs=-1, required=True, type=click.File("r", errors="replace"))
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def causes(files: tuple[TextIO, ...], as_json: bool) -> None:
    """Tell why calls failed, by cause, second and back end, from FILES of all nodes."""
    found = lost_calls(read_logs(files).lines)
    if as_json:
        show_json(found)
        return
    click.echo(f"{found.calls} calls failed")
    show_table(CAUSE_HEADER, [msgspec.structs.astuple(each) for each in found.by_cause])
    show_table(SECOND_HEADER, found.by_second)
    show_table(NODE_HEADER, found.by_node[:SHOWN_NODES])


def summarize(files: LogFiles) -> Summary:
    """Count the lines by what they tell."""
    times = [line.time for line in files.lines] or [0]
    return Summary(
        lines=len(files.lines),
        foreign=files.foreign,
        from_time=min(times),
        to_time=max(times),
        calls=_call_ends(files.lines),
        events=_events(files.lines),
    )


def _call_ends(lines: list[LogLine]) -> tuple[CallEnds, ...]:
    counts: Counter[tuple[str, str, str, str]] = Counter()
    examples: dict[tuple[str, str, str, str], str] = {}
    for line in lines:
        if line.event != CALL_EVENT:
            continue
        kind = (line.service, line.route, line.outcome, line.reason)
        counts[kind] += 1
        examples[kind] = line.request_id
    return tuple(
        CallEnds(count, *kind, example=examples[kind])
        for kind, count in counts.most_common()
    )


def _events(lines: list[LogLine]) -> tuple[EventLines, ...]:
    counts: Counter[tuple[str, str]] = Counter()
    processes: dict[tuple[str, str], set[str]] = {}
    for line in lines:
        kind = (line.level, line.event)
        counts[kind] += 1
        processes.setdefault(kind, set()).add(line.process)
    return tuple(
        EventLines(count, *kind, processes=len(processes[kind]))
        for kind, count in counts.most_common()
    )
