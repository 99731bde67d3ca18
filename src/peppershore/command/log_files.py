"""Parser of log lines of processes, from files that collected them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TextIO

import msgspec

from peppershore.process.node.data.call_story import CallStep

Fields = dict[str, object]


class LogLine(msgspec.Struct):
    """One log line: the fields common to all lines, and those of lines about calls.

    ``time`` is Unix milliseconds. ``fields`` holds all fields of the line.
    """

    event: str
    time: int = 0
    level: str = ""
    role: str = ""
    process: str = ""
    request_id: str = ""
    service: str = ""
    route: str = ""
    outcome: str = ""
    reason: str = ""
    status: int = 0
    milliseconds: int = 0
    steps: tuple[CallStep, ...] = ()
    fields: Fields = msgspec.field(default_factory=dict)


class LogFiles(msgspec.Struct):
    """Log lines, and the number of lines that this product did not write."""

    lines: list[LogLine]
    foreign: int


def read_logs(files: Iterable[TextIO]) -> LogFiles:
    """Read all lines, sorted by time; a prefix before a line's ``{`` is skipped."""
    found = LogFiles([], 0)
    for file in files:
        for text in file:
            line = parse_line(text)
            if line is None:
                found.foreign += 1
            else:
                found.lines.append(line)
    found.lines.sort(key=lambda line: line.time)
    return found


def parse_line(text: str) -> LogLine | None:
    """Return the log line in a text, or None if there is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=Fields)
        line = msgspec.convert(fields, LogLine)
    except (msgspec.DecodeError, ValueError):
        return None
    line.fields = fields
    return line


def of_request(lines: Iterable[LogLine], request_id: str) -> Iterator[LogLine]:
    """Return the lines of one request."""
    return (line for line in lines if line.request_id == request_id)
