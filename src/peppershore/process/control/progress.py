"""Progress of the nodes as reported by the relays, collected on each replica.

``in_force``, the version that all nodes hold, never claims more than is known. A relay that
has just started, or resumed after a suspension, doesn't know which nodes it served before.
It is settled once each of them has reconnected to some relay or counts as gone. Until then,
its reports can lower the version that it is counted with but not raise it. ``in_force``
doesn't rise at all while a relay from which other relays receive messages has not reported
to this replica, or while a relay that is not settled is still behind the version that it is
counted with.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.operators import RelayStatus
from peppershore.connection.messages.relay import ProgressReported
from peppershore.version.model import Version

RELAY_SILENT_SECONDS = 10.0
"""A relay without a report for this long is shown as silent and blocks rotations."""

RELAY_EXPIRY_SECONDS = 30.0
"""A relay without a report for this long is no longer counted, unless another relay
receives messages from it."""

MAX_FORMER_INCARNATIONS = 8
"""Number of former incarnations remembered for each relay; reports from them are discarded
as late."""

MILLISECONDS_PER_SECOND = 1_000


class RelayProgress(msgspec.Struct, frozen=True):
    """The newest report of one relay.

    ``at`` is the monotonic time of the report in seconds. ``in_force`` is the version that
    this relay contributes to that of the whole table, which is the lowest of them.
    """

    report: ProgressReported
    at: float
    in_force: Version


class ProgressTable:
    """The newest report of each relay, and the version that all of their nodes hold."""

    def __init__(self) -> None:
        """Start without reports: nothing is known to be in force."""
        self._relays: dict[str, RelayProgress] = {}
        self._former_incarnations: dict[str, tuple[int, ...]] = {}
        self._in_force: Version = 0

    @property
    def in_force(self) -> Version:
        """The version that every node of every counted relay holds."""
        return self._in_force

    def add_report(self, report: ProgressReported, reported_at: float, now: float) -> bool:
        """Store a relay's report unless a newer one is known.

        ``reported_at`` and ``now`` are monotonic seconds. Return whether the relay's
        progress or the version in force changed.
        """
        known = self._relays.get(report.relay)
        if known is not None and not self._is_newer(report, reported_at, known):
            return False
        if known is not None and known.report.incarnation != report.incarnation:
            self._end_incarnation(known.report)
        former = self._in_force if known is None else known.in_force
        counted = _counted_version(report, former)
        self._relays[report.relay] = RelayProgress(report, reported_at, counted)
        changed = known is None or not same_progress(known.report, report)
        return self._update_in_force(now) or changed

    def refresh(self, now: float) -> bool:
        """Remove relays without a report for ``RELAY_EXPIRY_SECONDS``.

        A relay from which others receive messages is retained. Return whether a relay was
        removed or the version in force changed.
        """
        known_to_others = self._known_to_others(now)
        old = [
            relay
            for relay, progress in self._relays.items()
            if now - progress.at >= RELAY_EXPIRY_SECONDS and relay not in known_to_others
        ]
        for relay in old:
            del self._relays[relay]
        return self._update_in_force(now) or bool(old)

    def relays(self) -> list[RelayProgress]:
        """Return the progress of every counted relay, sorted by name."""
        return [self._relays[relay] for relay in sorted(self._relays)]

    def silent(self, now: float) -> list[str]:
        """Return the counted relays without a recent report, as sorted names.

        A report is recent for ``RELAY_SILENT_SECONDS``.
        """
        return [each.report.relay for each in self.relays() if _is_silent(each, now)]

    def awaited(self, now: float) -> tuple[str, ...]:
        """Return the relays that only other relays report, as sorted names.

        Other relays receive messages from them, but they have not reported here.
        """
        return tuple(sorted(self._known_to_others(now) - self._relays.keys()))

    def statuses(self, now: float) -> tuple[RelayStatus, ...]:
        """Return the status of all relays for operators."""
        return tuple(_status(each, now) for each in self.relays())

    def _is_newer(
        self, report: ProgressReported, reported_at: float, known: RelayProgress
    ) -> bool:
        if report.incarnation == known.report.incarnation:
            return (report.number, reported_at) > (known.report.number, known.at)
        return report.incarnation not in self._former_incarnations.get(report.relay, ())

    def _end_incarnation(self, report: ProgressReported) -> None:
        incarnations = (
            *self._former_incarnations.get(report.relay, ()),
            report.incarnation,
        )
        self._former_incarnations[report.relay] = incarnations[-MAX_FORMER_INCARNATIONS:]

    def _known_to_others(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for each in self._relays.values()
            if not _is_silent(each, now)
            for name in each.report.relays
        )

    def _update_in_force(self, now: float) -> bool:
        """Recompute the version that all nodes hold; return whether it changed."""
        former = self._in_force
        relays = self._relays.values()
        lowest = min((each.in_force for each in relays), default=0)
        incomplete = self.awaited(now) or any(_is_catching_up(each) for each in relays)
        self._in_force = min(lowest, former) if incomplete else lowest
        return self._in_force != former


def _counted_version(report: ProgressReported, former: Version) -> Version:
    """Return the version that a relay is counted with after this report.

    ``former`` is the version that it was counted with before.
    """
    if report.settled:
        return report.in_force
    has_lagging_nodes = report.in_force < report.version
    return min(former, report.in_force) if has_lagging_nodes else former


def _is_catching_up(progress: RelayProgress) -> bool:
    """Report whether a relay is not settled and behind the version it is counted with."""
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
    """Report whether two reports of a relay agree on the progress of its nodes."""
    names = ("version", "in_force", "nodes", "lagging", "silent")
    return all(getattr(former, name) == getattr(report, name) for name in names)
