"""Reads the JSON log lines of a fleet's processes and tells what they show."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

MILLISECONDS = 1_000
PARSED_FIELDS = ("time", "event", "role", "process")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process's log; ``fields`` are those of its event."""

    unix_seconds: float
    event: str
    role: str
    process: str
    fields: dict[str, Any]


def read_log(path: Path) -> list[LogLine]:
    """Give the log lines of one process; other output is passed over."""
    if not path.exists():
        return []
    lines = (_parsed(line) for line in path.read_bytes().splitlines())
    return [line for line in lines if line is not None]


def _parsed(line: bytes) -> LogLine | None:
    try:
        table = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if not isinstance(table, dict) or not all(name in table for name in PARSED_FIELDS):
        return None
    fields = {name: value for name, value in table.items() if name not in PARSED_FIELDS}
    return LogLine(
        unix_seconds=table["time"] / MILLISECONDS,
        event=table["event"],
        role=table["role"],
        process=table["process"],
        fields=fields,
    )
