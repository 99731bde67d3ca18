"""Journals: append-only JSON lines that outlive a killed process.

A line is handed to the operating system at once, so that kill -9 loses none;
``sync`` makes it outlive the machine.  A last line cut short is not counted.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

CALLER_JOURNALS = "caller-*"
BACKEND_JOURNALS = "backend-*"
JOURNAL_SUFFIX = ".jsonl"
_ENCODER = msgspec.json.Encoder()


class RunStarted(msgspec.Struct, frozen=True, tag="started", omit_defaults=True):
    """A back end began to run a request; written before any effect of it."""

    run: str
    request_id: str
    idempotency_key: str
    service: str
    backend: str
    method: str
    path: str
    unix_seconds: float


class RunEnded(msgspec.Struct, frozen=True, tag="ended"):
    """How a run ended: "completed", "cancelled" or "deadline"."""

    run: str
    result: str
    unix_seconds: float


RunRecord = RunStarted | RunEnded


class CallRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller was told about one request it sent.

    ``outcome`` is the value of the header ``peppershore-outcome``; "broken"
    when no whole answer came.  ``problem`` says why an answer is not the right
    one (empty: it is).  Times are Unix seconds.
    """

    request_id: str
    idempotency_key: str
    kind: str
    method: str
    path: str
    repeatable: bool
    node: str
    attempt: int
    intended_unix_seconds: float
    sent_unix_seconds: float
    ended_unix_seconds: float
    status: int = 0
    outcome: str = "broken"
    service: str = ""
    backend: str = ""
    run: str = ""
    problem: str = ""


class JournalWriter:
    """Appends records to one file."""

    def __init__(self, path: Path) -> None:
        """Open or create the file; its folder must exist."""
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def append(self, record: msgspec.Struct) -> None:
        """Hand one line to the operating system."""
        os.write(self._descriptor, _ENCODER.encode(record) + b"\n")

    def sync(self) -> None:
        """Wait until all lines are on the disk."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


RecordType = TypeVar("RecordType")


class JournalReader(Generic[RecordType]):
    """Reads the records of one type from journal files."""

    def __init__(self, record_type: type[RecordType]) -> None:
        """Read records of this type (a struct or a tagged union of structs)."""
        self._decoder = msgspec.json.Decoder(record_type)

    def read(self, path: Path) -> list[RecordType]:
        """Give all whole records of a file; an absent file holds none."""
        if not path.exists():
            return []
        lines = path.read_bytes().split(b"\n")
        return [self._decoder.decode(line) for line in lines[:-1] if line]


def read_calls(folder: Path, pattern: str = CALLER_JOURNALS) -> tuple[CallRecord, ...]:
    """Give the records of all callers of a folder, journal by journal."""
    reader = JournalReader(CallRecord)
    return tuple(
        record for path in _journals(folder, pattern) for record in reader.read(path)
    )


def read_runs(folder: Path, pattern: str = BACKEND_JOURNALS) -> tuple[RunRecord, ...]:
    """Give the records of all back ends of a folder, journal by journal."""
    reader: JournalReader[RunRecord] = JournalReader(RunRecord)  # type: ignore[arg-type]
    return tuple(
        record for path in _journals(folder, pattern) for record in reader.read(path)
    )


def _journals(folder: Path, pattern: str) -> list[Path]:
    return sorted(folder.glob(f"{pattern}{JOURNAL_SUFFIX}"))
