"""Causes of late answers, derived from the log lines of both nodes of each call.

The caller's node logs how long a call took. The back end's local node logs how long the
call waited there, and the pace of the machine while it ran: its service time relative to
the usual one of the route, 100 % being usual.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from peppershore.command.log_files import LogLine
from peppershore.command.lost_calls import CALL_EVENT, SERVED_EVENT
from peppershore.request.back_ends.pace import SLOW_PERCENT

WAITED = "waited for a slot"
SLOW_MACHINE = "slow machine"
RAN_LONG = "ran long"
BEFORE = "on its way, or at another back end before"
NO_LINE = "no line of the back end's node"

MAIN_SHARE = 0.5
"""The phase that took at least this share of a call's time is the cause."""


class LateCalls(msgspec.Struct, frozen=True):
    """Late calls with the same cause and target; ``example`` is one's request id."""

    calls: int
    cause: str
    target: str
    example: str


class LateTable(msgspec.Struct, frozen=True):
    """Number of answered calls that were logged, number of late ones, and their causes."""

    answered: int
    late: int
    by_cause: tuple[LateCalls, ...]


def late_calls(lines: Iterable[LogLine], beyond_milliseconds: int) -> LateTable:
    """Return the causes of answered calls that took longer than the given time."""
    records: list[LogLine] = []
    served: dict[str, LogLine] = {}
    for line in lines:
        if line.outcome != "answered":
            continue
        if line.event == CALL_EVENT:
            records.append(line)
        elif line.event == SERVED_EVENT:
            served[line.request_id] = line
    late = [record for record in records if record.milliseconds > beyond_milliseconds]
    counts: Counter[tuple[str, str]] = Counter()
    examples: dict[tuple[str, str], str] = {}
    for record in late:
        cause = _cause(record, served.get(record.request_id))
        kind = (cause, str(record.fields.get("target", "")))
        counts[kind] += 1
        examples.setdefault(kind, record.request_id)
    by_cause = tuple(
        LateCalls(count, *kind, example=examples[kind])
        for kind, count in counts.most_common()
    )
    return LateTable(len(records), len(late), by_cause)


def _cause(record: LogLine, run: LogLine | None) -> str:
    if run is None:
        return NO_LINE
    waited = max(0, _number(run, "waited_milliseconds"))
    ran = run.milliseconds - waited
    if waited >= MAIN_SHARE * record.milliseconds:
        return WAITED
    if ran < MAIN_SHARE * record.milliseconds:
        return BEFORE
    is_slow = _number(run, "pace_percent") >= SLOW_PERCENT
    return SLOW_MACHINE if is_slow else RAN_LONG


def _number(line: LogLine, name: str) -> int:
    value = line.fields.get(name, 0)
    return value if isinstance(value, int) else 0
