"""Why answered calls were late, worked out from the lines of both nodes of each.

A caller's node writes how long a call took, the node beside the back end how long it
waited there and the pace of the machine while it ran.
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

MOST_SHARE = 0.5
"""What took this part of a call's time is why it was late."""


class LateCalls(msgspec.Struct, frozen=True):
    """Calls late alike; ``example`` is the request id of one of them."""

    calls: int
    cause: str
    target: str
    example: str


class LateTable(msgspec.Struct, frozen=True):
    """All answered calls with lines, how many were late, and why."""

    answered: int
    late: int
    by_cause: tuple[LateCalls, ...]


def late_calls(lines: Iterable[LogLine], beyond_milliseconds: int) -> LateTable:
    """Work out why calls that took longer than this did."""
    stories: list[LogLine] = []
    served: dict[str, LogLine] = {}
    for line in lines:
        if line.outcome != "answered":
            continue
        if line.event == CALL_EVENT:
            stories.append(line)
        elif line.event == SERVED_EVENT:
            served[line.request_id] = line
    late = [story for story in stories if story.milliseconds > beyond_milliseconds]
    counts: Counter[tuple[str, str]] = Counter()
    examples: dict[tuple[str, str], str] = {}
    for story in late:
        cause = _cause(story, served.get(story.request_id))
        kind = (cause, str(story.fields.get("target", "")))
        counts[kind] += 1
        examples.setdefault(kind, story.request_id)
    by_cause = tuple(
        LateCalls(count, *kind, example=examples[kind])
        for kind, count in counts.most_common()
    )
    return LateTable(len(stories), len(late), by_cause)


def _cause(story: LogLine, run: LogLine | None) -> str:
    if run is None:
        return NO_LINE
    waited = max(0, _number(run, "waited_milliseconds"))
    ran = run.milliseconds - waited
    if waited >= MOST_SHARE * story.milliseconds:
        return WAITED
    if ran < MOST_SHARE * story.milliseconds:
        return BEFORE
    is_slow = _number(run, "pace_percent") >= SLOW_PERCENT
    return SLOW_MACHINE if is_slow else RAN_LONG


def _number(line: LogLine, name: str) -> int:
    value = line.fields.get(name, 0)
    return value if isinstance(value, int) else 0
