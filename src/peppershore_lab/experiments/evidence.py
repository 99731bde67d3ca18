"""All that a run left behind: journals, logs, marks and the accepted edits."""

from __future__ import annotations

from pathlib import Path

import msgspec

from peppershore.process.control.notices import EditAccepted
from peppershore.process.logging import event_name
from peppershore.version.model import Version
from peppershore_lab.convergence import VersionHeld, versions_held
from peppershore_lab.experiments.availability import Availability, Roles
from peppershore_lab.experiments.definition import Experiment
from peppershore_lab.experiments.edits import EditRecord
from peppershore_lab.experiments.marks import FaultMark, Span
from peppershore_lab.fleet.plan import FleetLayout
from peppershore_lab.journal import CallRecord, RunRecord
from peppershore_lab.log_reader import read_log
from peppershore_lab.reference import Reference


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """What a run is judged by; nothing here is a process's opinion of itself but
    the versions its log says it held, which their digests are checked against."""

    experiment: Experiment
    layout: FleetLayout
    run: Span
    marks: tuple[FaultMark, ...]
    reference: Reference
    held: tuple[VersionHeld, ...]
    accepted: dict[Version, float]
    edits: tuple[EditRecord, ...]
    calls: tuple[CallRecord, ...]
    runs: tuple[RunRecord, ...]
    availability: Availability


def roles_of(layout: FleetLayout) -> Roles:
    """Name the processes that configuration passes through."""
    return Roles(
        replicas=tuple(member.name for member in layout.replicas),
        relays=tuple(member.name for member in layout.relays),
        proxies=tuple(member.name for member in layout.proxies),
    )


def read_held(logs: Path, layout: FleetLayout) -> tuple[VersionHeld, ...]:
    """Give every version that each proxy took, proxy by proxy."""
    return tuple(versions_held(logs, [proxy.name for proxy in layout.proxies]))


def read_accepted(logs: Path, layout: FleetLayout) -> dict[Version, float]:
    """Give when each version was first reported as accepted (Unix seconds)."""
    accepted: dict[Version, float] = {}
    name = event_name(EditAccepted)
    for replica in layout.replicas:
        for line in read_log(logs / f"{replica.name}.log"):
            if line.event == name:
                version = int(line.fields["version"])
                first = accepted.get(version, line.unix_seconds)
                accepted[version] = min(first, line.unix_seconds)
    return accepted
