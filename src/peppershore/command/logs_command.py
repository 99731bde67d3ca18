"""``peppershore logs``: summaries and analyses of collected log lines."""

from __future__ import annotations

from collections import Counter
from typing import TextIO

import click
import msgspec

from peppershore.command.late_calls import late_calls
from peppershore.command.link_loads import BusyLink, KindLoad, link_loads
from peppershore.command.log_files import LogFiles, LogLine, read_logs
from peppershore.command.lost_calls import CALL_EVENT, calls_of, lost_calls
from peppershore.command.output import show_json, show_table
from peppershore.command.version_times import NodeWait, VersionWaits, version_times

CALL_HEADER = ("calls", "service", "route", "outcome", "reason", "an example")
LATE_CALLS_HEADER = ("calls", "cause", "target", "example")
CAUSE_HEADER = (
    "calls",
    "cause",
    "target",
    "reason",
    "an example",
    "from version",
    "to version",
    "unconfirmed ms",
)
SECOND_HEADER = ("second", "cause", "calls")
NODE_HEADER = ("last node", "cause", "calls")
LIMIT_HEADER = (
    "calls",
    "tenant",
    "reason",
    "limit a second",
    "burst",
    "decided by",
    "known at most ms ago",
    "an example",
)
SHOWN_NODES = 20
"""Number of nodes with most failed calls in the text output; --json shows all."""

VERSION_HEADER = ("version", "nodes", "p50 ms", "p99 ms", "last ms", "last node", "cause")
LATE_HEADER = (
    "version",
    "node",
    "relay",
    "ms",
    "used",
    "relay behind ms",
    "without relay ms",
    "on the way ms",
)
SHOWN_LATE = 40
"""Number of late waits in the text output, longest first; --json shows all."""

DEFAULT_BOUND_MILLISECONDS = 2_000
"""A longer wait counts as late; --bound sets the bound of a deployment."""

KIND_HEADER = ("direction", "kind", "bytes a second", "% of the link", "% at worst")
BUSY_HEADER = (
    "time",
    "process",
    "direction",
    "% of the link",
    "most of it",
    "%",
    "round trip ms",
)
SHOWN_BUSY = 20
"""Number of busiest intervals in the text output; --json shows all."""

PERCENT = 100.0
EVENT_HEADER = ("lines", "level", "event", "processes")
MILLISECONDS = 1_000


class CallEnds(msgspec.Struct, frozen=True):
    """Calls of a route with the same outcome; ``example`` is the last one's request id."""

    calls: int
    service: str
    route: str
    outcome: str
    reason: str
    example: str


class EventLines(msgspec.Struct, frozen=True):
    """Number of lines of one event, and of the processes that wrote them."""

    lines: int
    level: str
    event: str
    processes: int


class Summary(msgspec.Struct, frozen=True):
    """Counts of all lines read, most frequent first; times are Unix milliseconds."""

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
    """Count outcomes of calls and events in log FILES (- is standard input)."""
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
    """Show why calls failed, by cause, second and back end, from FILES of all nodes.

    Shows the versions that the nodes used, and the longest time for which one of them had
    received no confirmation of its version (-1: never received).  Calls without a log line
    of their own count with the next line of their kind.
    """
    found = lost_calls(read_logs(files).lines)
    if as_json:
        show_json(found)
        return
    click.echo(f"{found.calls} calls failed")
    show_table(CAUSE_HEADER, [msgspec.structs.astuple(each) for each in found.by_cause])
    if found.by_limit:
        rows = [msgspec.structs.astuple(each) for each in found.by_limit]
        show_table(LIMIT_HEADER, rows)
    show_table(SECOND_HEADER, found.by_second)
    show_table(NODE_HEADER, found.by_node[:SHOWN_NODES])


@logs.command()
@click.argument("files", nargs=-1, required=True, type=click.File("r", errors="replace"))
@click.option(
    "--beyond",
    type=click.IntRange(min=1),
    required=True,
    help="Milliseconds after which an answer counts as late.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def late(files: tuple[TextIO, ...], beyond: int, as_json: bool) -> None:
    """Show why answers were late, from FILES of all nodes.

    Nodes write lines of answered calls with ``log_answered_every`` above 0.
    """
    found = late_calls(read_logs(files).lines, beyond)
    if as_json:
        show_json(found)
        return
    click.echo(f"{found.late} of {found.answered} answered calls took over {beyond} ms")
    show_table(
        LATE_CALLS_HEADER, [msgspec.structs.astuple(each) for each in found.by_cause]
    )


@logs.command()
@click.argument("files", nargs=-1, required=True, type=click.File("r", errors="replace"))
@click.option(
    "--bound",
    type=click.IntRange(min=1),
    default=DEFAULT_BOUND_MILLISECONDS,
    show_default=True,
    help="Milliseconds after which a node's wait counts as late.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def versions(files: tuple[TextIO, ...], bound: int, as_json: bool) -> None:
    """Show how long nodes waited for each version, and for what.

    FILES are the logs of all hubs (or replicas and relays) and nodes over a period.
    """
    found = version_times(read_logs(files).lines, bound)
    if as_json:
        show_json({"versions": found})
        return
    late = [(each.version, wait) for each in found for wait in each.late]
    late.sort(key=lambda row: row[1].milliseconds, reverse=True)
    click.echo(f"{len(found)} versions, {len(late)} waits beyond {bound} ms")
    show_table(VERSION_HEADER, [_version_row(each) for each in found])
    show_table(LATE_HEADER, [_late_row(*each) for each in late[:SHOWN_LATE]])


@logs.command()
@click.argument("files", nargs=-1, required=True, type=click.File("r", errors="replace"))
@click.option(
    "--role",
    type=click.Choice(["node", "hub"]),
    default="node",
    show_default=True,
    help="Whose links.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object as output.")
def links(files: tuple[TextIO, ...], role: str, as_json: bool) -> None:
    """Show the load of the links by kind of message, and the busiest intervals.

    Processes write the log lines for it with ``link_report_milliseconds`` above 0.
    """
    found = link_loads(read_logs(files).lines, role)
    if as_json:
        show_json(found)
        return
    click.echo(f"{found.lines} lines of links")
    show_table(KIND_HEADER, [_kind_row(each) for each in found.by_kind])
    show_table(BUSY_HEADER, [_busy_row(each) for each in found.busiest[:SHOWN_BUSY]])


def _kind_row(load: KindLoad) -> tuple[object, ...]:
    return (
        load.direction,
        load.kind,
        load.bytes_a_second,
        _percent(load.share),
        _percent(load.worst_share),
    )


def _busy_row(busy: BusyLink) -> tuple[object, ...]:
    return (
        busy.time,
        busy.process,
        busy.direction,
        _percent(busy.share),
        busy.kind,
        _percent(busy.kind_share),
        busy.round_trip_milliseconds,
    )


def _percent(share: float) -> str:
    return f"{share * PERCENT:.1f}"


def _version_row(waits: VersionWaits) -> tuple[object, ...]:
    return (
        waits.version,
        waits.nodes,
        waits.half_milliseconds,
        waits.nearly_all_milliseconds,
        waits.last.milliseconds,
        waits.last.node,
        waits.last.cause,
    )


def _late_row(version: int, wait: NodeWait) -> tuple[object, ...]:
    return (version, *msgspec.structs.astuple(wait))


def summarize(files: LogFiles) -> Summary:
    """Count the lines by event, and the calls by outcome."""
    times = [line.time for line in files.lines] or [0]
    return Summary(
        lines=len(files.lines),
        foreign=files.foreign,
        from_time=min(times),
        to_time=max(times),
        calls=_calls_by_outcome(files.lines),
        events=_lines_by_event(files.lines),
    )


def _calls_by_outcome(lines: list[LogLine]) -> tuple[CallEnds, ...]:
    counts: Counter[tuple[str, str, str, str]] = Counter()
    examples: dict[tuple[str, str, str, str], str] = {}
    for line in lines:
        if line.event != CALL_EVENT:
            continue
        kind = (line.service, line.route, line.outcome, line.reason)
        counts[kind] += calls_of(line)
        examples[kind] = line.request_id
    return tuple(
        CallEnds(count, *kind, example=examples[kind])
        for kind, count in counts.most_common()
    )


def _lines_by_event(lines: list[LogLine]) -> tuple[EventLines, ...]:
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
