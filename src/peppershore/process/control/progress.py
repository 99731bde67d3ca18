"""What the relays report of how far their nodes are, gathered on each replica.

``in_force`` never claims more than is known.  A relay that has just started, or
went on after a pause, doesn't know which nodes it served before: until it is
settled, its reports can lower what it counts for but not raise it.  While a relay
that others hear has not reported to this replica, or one has not caught up with
what it counts for, nothing rises at all.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.operators import RelayStatus
from peppershore.connection.messages.relay import ProgressReported
from peppershore.version.model import Version

RELAY_SILENT_SECONDS = 10.0
"""A relay without report for so long is shown as silent and holds rotations up."""

RELAY_FORGOTTEN_SECONDS = 30.0
"""After so long without report a relay that no other relay hears counts no more."""

REMEMBERED_LIVES = 8
"""Reports of so many former lives of a relay are known to be late."""

MILLISECONDS_PER_SECOND = 1_000


class RelayProgress(msgspec.Struct, frozen=True):
    """One relay: its newest report, when it came, and the version it counts for."""

    report: ProgressReported
    at: float
    in_force: Version


class ProgressTable:
    """The newest report of each relay, and the version in force by all of them."""

    def __init__(self) -> None:
        """Start without reports: nothing is known to be in force."""
        self._relays: dict[str, RelayProgress] = {}
        self._former_lives: dict[str, tuple[int, ...]] = {}
        self._in_force: Version = 0

    @property
    def in_force(self) -> Version:
        """The version that every node of every relay that counts holds."""
        return self._in_force

    def take(self, report: ProgressReported, reported_at: float, now: float) -> bool:
        """Note a report unless a newer one is known; whether progress changed."""
        known = self._relays.get(report.relay)
        if known is not None and not self._is_newer(report, reported_at, known):
            return False
        if known is not None and known.report.incarnation != report.incarnation:
            self._end_life(known.report)
        former = self._in_force if known is None else known.in_force
        counted = _counts_for(report, former)
        self._relays[report.relay] = RelayProgress(report, reported_at, counted)
        changed = known is None or not same_progress(known.report, report)
        return self._count(now) or changed

    def refresh(self, now: float) -> bool:
        """Drop relays that are silent for too long; whether progress changed."""
        heard = self._heard_by_others(now)
        old = [
            relay
            for relay, progress in self._relays.items()
            if now - progress.at >= RELAY_FORGOTTEN_SECONDS and relay not in heard
        ]
        for relay in old:
            del self._relays[relay]
        return self._count(now) or bool(old)

    def relays(self) -> list[RelayProgress]:
        """Every relay that counts, by name."""
        return [self._relays[relay] for relay in sorted(self._relays)]

    def silent(self, now: float) -> list[str]:
        """Relays that count but have not reported for a while, by name."""
        return [each.report.relay for each in self.relays() if _is_silent(each, now)]

    def awaited(self, now: float) -> tuple[str, ...]:
        """Relays that others hear and that have not reported here, by name."""
        return tuple(sorted(self._heard_by_others(now) - self._relays.keys()))

    def statuses(self, now: float) -> tuple[RelayStatus, ...]:
        """All relays as the operators see them."""
        return tuple(_status(each, now) for each in self.relays())

    def _is_newer(
        self, report: ProgressReported, reported_at: float, known: RelayProgress
    ) -> bool:
        if report.incarnation == known.report.incarnation:
            return (report.number, reported_at) > (known.report.number, known.at)
        return report.incarnation not in self._former_lives.get(report.relay, ())

    def _end_life(self, report: ProgressReported) -> None:
        lives = (*self._former_lives.get(report.relay, ()), report.incarnation)
        self._former_lives[report.relay] = lives[-REMEMBERED_LIVES:]

    def _heard_by_others(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for each in self._relays.values()
            if not _is_silent(each, now)
            for name in each.report.relays
        )

    def _count(self, now: float) -> bool:
        """Work out what is in force; whether it changed."""
        former = self._in_force
        relays = self._relays.values()
        lowest = min((each.in_force for each in relays), default=0)
        incomplete = self.awaited(now) or any(_catches_up(each) for each in relays)
        self._in_force = min(lowest, former) if incomplete else lowest
        return self._in_force != former


def _counts_for(report: ProgressReported, former: Version) -> Version:
    """The version that a relay counts for, after it counted for ``former``."""
    if report.settled:
        return report.in_force
    has_lagging_nodes = report.in_force < report.version
    return min(former, report.in_force) if has_lagging_nodes else former


def _catches_up(progress: RelayProgress) -> bool:
    """Whether a relay that started a moment ago lacks edits that it had before."""
    report = progress.report
    return not report.settled and report.version < progress.in_force


def _is_silent(progress: RelayProgress, now: float) -> bool:
    return now - progress.at >= RELAY_SILENT_SECONDS


def _status(progress: RelayProgress, now: float) -> RelayStatus:
    report = progress.report
    return RelayStatus(
        report.relay,
        report.zone,
        report.version,
        progress.in_force,
        report.nodes,
        report.lagging,
        report.control_bytes,
        round((now - progress.at) * MILLISECONDS_PER_SECOND),
        report.settled,
    )


def same_progress(former: ProgressReported, report: ProgressReported) -> bool:
    """Whether two reports of a relay say the same of its nodes."""
    names = ("version", "in_force", "nodes", "lagging", "silent")
    return all(getattr(former, name) == getattr(report, name) for name in names)
