"""What the relays report of how far their nodes are, gathered on each replica."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages import ProgressReported, RelayStatus
from peppershore.version.model import Version

RELAY_SILENT_SECONDS = 10.0
"""A relay without report for so long is shown as silent and holds rotations up."""

RELAY_FORGOTTEN_SECONDS = 30.0
"""After so long without report a relay counts no more: its nodes have moved on."""

MILLISECONDS_PER_SECOND = 1_000


class _Reported(msgspec.Struct, frozen=True):
    report: ProgressReported
    at: float


class ProgressTable:
    """The newest report of each relay."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reported: dict[str, _Reported] = {}

    def take(self, report: ProgressReported, reported_at: float) -> bool:
        """Note a report unless a newer one is known; whether progress changed."""
        known = self._reported.get(report.relay)
        if known is not None and known.at > reported_at:
            return False
        self._reported[report.relay] = _Reported(report, reported_at)
        return known is None or not _same_progress(known.report, report)

    def forget_old(self, now: float) -> bool:
        """Drop relays that are silent for too long; whether there were any."""
        old = [
            relay
            for relay, reported in self._reported.items()
            if now - reported.at >= RELAY_FORGOTTEN_SECONDS
        ]
        for relay in old:
            del self._reported[relay]
        return bool(old)

    def reports(self) -> list[ProgressReported]:
        """Newest report of every relay that counts, by name."""
        return [self._reported[relay].report for relay in sorted(self._reported)]

    def silent(self, now: float) -> list[str]:
        """Relays that count but have not reported for a while, by name."""
        return [
            relay
            for relay, reported in sorted(self._reported.items())
            if now - reported.at >= RELAY_SILENT_SECONDS
        ]

    def in_force(self) -> Version:
        """The version that every node of every relay that counts holds."""
        return min((each.in_force for each in self.reports()), default=0)

    def statuses(self, now: float) -> tuple[RelayStatus, ...]:
        """All relays as the operators see them."""
        return tuple(self._status(relay, now) for relay in sorted(self._reported))

    def _status(self, relay: str, now: float) -> RelayStatus:
        reported = self._reported[relay]
        report = reported.report
        return RelayStatus(
            report.relay,
            report.zone,
            report.version,
            report.in_force,
            report.nodes,
            report.lagging,
            report.control_bytes,
            round((now - reported.at) * MILLISECONDS_PER_SECOND),
        )


def _same_progress(former: ProgressReported, report: ProgressReported) -> bool:
    return (former.version, former.in_force, former.nodes, former.lagging) == (
        report.version,
        report.in_force,
        report.nodes,
        report.lagging,
    )
