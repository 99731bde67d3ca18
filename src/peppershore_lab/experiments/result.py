"""The result of one run, as it is written to JSON and drawn from."""

from __future__ import annotations

from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from peppershore_lab.experiments.definition import Experiment
from peppershore_lab.experiments.distribution_baselines import BaselineMeasure
from peppershore_lab.experiments.measures import (
    CallMeasure,
    ConvergenceMeasure,
    ProxyVersions,
)
from peppershore_lab.experiments.verdict import Verdict

FORMAT_NUMBER = 1


class MarkShown(msgspec.Struct, frozen=True, kw_only=True):
    """One fault, in seconds of the run."""

    action: str
    targets: tuple[str, ...]
    began: float
    ended: float | None
    detail: str


class EditCounts(msgspec.Struct, frozen=True, kw_only=True):
    """What operators were told; ``unanswered`` counts sendings without an answer."""

    sent: int
    outcomes: dict[str, int]


class BytesPoint(msgspec.Struct, frozen=True):
    """Control bytes that all relays had sent by a second of the run."""

    second: float
    control_bytes: int


class ControlBytes(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes that relays sent to proxies, all of them and for each accepted edit."""

    total: int
    per_edit: float
    over_time: tuple[BytesPoint, ...]


class ExperimentResult(msgspec.Struct, frozen=True, kw_only=True):
    """Everything a report shows and a comparison compares."""

    format: int = FORMAT_NUMBER
    experiment: Experiment
    clean: bool
    machine: str
    processes: int
    bring_up_seconds: float
    seconds: float
    verdicts: tuple[Verdict, ...]
    convergence: ConvergenceMeasure
    control_bytes: ControlBytes
    edits: EditCounts
    calls: CallMeasure
    marks: tuple[MarkShown, ...]
    versions: tuple[ProxyVersions, ...]
    baselines: tuple[BaselineMeasure, ...] = ()
    plain_calls: CallMeasure | None = None
    plain_verdicts: tuple[Verdict, ...] = ()


class BadResult(msgspec.Struct, frozen=True):
    """A file that is no result of this format."""

    path: str
    reason: str


def write_result(path: Path, result: ExperimentResult) -> None:
    """Write the JSON file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.encode(result) + b"\n")


def read_result(path: Path) -> Result[ExperimentResult, BadResult]:
    """Read a JSON file back."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=ExperimentResult)
    except (OSError, msgspec.DecodeError) as problem:
        return Failure(BadResult(str(path), str(problem)))
    if result.format != FORMAT_NUMBER:
        return Failure(BadResult(str(path), f"format {result.format}"))
    return Success(result)
