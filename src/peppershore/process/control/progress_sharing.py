"""How replicas share the relays' reports on the progress of their nodes.

No message for each pair of replicas is needed.

A replica sends the reports of its own relays to the leader; the leader sends its complete
table to the others from time to time. Reports that change often are sent at a bounded rate.
Unchanged ones are repeated at a long interval, so that a group without changes sends very
few messages.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.consensus import ProgressShared, ProgressTableShared
from peppershore.connection.messages.relay import ProgressReported
from peppershore.process.control.progress import (
    RELAY_EXPIRY_SECONDS,
    ProgressTable,
    RelayProgress,
    same_progress,
)
from peppershore.process.token_bucket import TokenBucket

SHARES_PER_SECOND = 4.0
"""Bound on the changed reports of one relay that are sent to the leader per second."""

SHARE_BURST = 6.0
"""Number of changed reports sent without delay: one edit causes two, and an operator
watches a few edits."""

UNCHANGED_REPORT_SECONDS = 3.0
"""An unchanged report is sent again after this time, well within the time after which a
relay counts as silent."""

CHANGED_TABLE_SECONDS = 2.0
"""Interval at which the leader sends a changed table of reports to the other replicas."""

UNCHANGED_TABLE_SECONDS = 4.0
"""Interval at which the leader sends an unchanged table of reports."""

TABLE_REQUEST_SECONDS = 2.0
"""Interval at which a replica with watching operators renews its request to the leader. It
requests that the leader send it each change of the table of reports immediately."""

TABLE_REQUEST_VALID_SECONDS = 3 * TABLE_REQUEST_SECONDS
"""For this long after such a request, a replica is sent every change immediately."""

MAX_SHOWN_NODES = 3
"""Lagging and silent nodes, of each at most this many, that the table of reports lists for
a relay. The replica that the relay reports to has more of them."""

MILLISECONDS_PER_SECOND = 1_000


class _RelayReport:
    """The newest report of one relay that reports to this replica directly."""

    def __init__(self, report: ProgressReported, at: float) -> None:
        self.report = report
        self.at = at
        self.sent: ProgressReported | None = None
        self.sent_at = 0.0
        self.bucket = TokenBucket(SHARES_PER_SECOND, SHARE_BURST)

    def is_due(self, now: float) -> bool:
        """Report whether the relay's newest report should be sent to the leader now."""
        if self.sent is None or now - self.sent_at >= UNCHANGED_REPORT_SECONDS:
            return True
        return not same_progress(self.sent, self.report) and self.bucket.admit(now)


class ProgressSharing:
    """Decides which relays' reports a replica forwards to others; sends nothing itself."""

    def __init__(self, table: ProgressTable) -> None:
        """Start without reports of relays; ``table`` holds the newest of all replicas."""
        self._table = table
        self._relay_reports: dict[str, _RelayReport] = {}
        self._reported_leader = ""
        self._sent_table: tuple[ProgressReported, ...] = ()
        self._table_sent_at = 0.0
        self._watching_until: dict[str, float] = {}
        self._sent_to_watchers: tuple[ProgressReported, ...] = ()
        self._requested_at = -TABLE_REQUEST_SECONDS

    def add_direct_report(self, report: ProgressReported, now: float) -> None:
        """Store a report that a relay sent to this replica directly."""
        known = self._relay_reports.get(report.relay)
        if known is None:
            self._relay_reports[report.relay] = _RelayReport(report, now)
            return
        known.report = report
        known.at = now

    def has_recent_report(self, relay: str, now: float) -> bool:
        """Report whether the relay itself reported to this replica recently.

        That is less than ``UNCHANGED_REPORT_SECONDS`` ago.
        """
        known = self._relay_reports.get(relay)
        return known is not None and now - known.at < UNCHANGED_REPORT_SECONDS

    def reports_for_leader(self, leader: str, now: float) -> list[ProgressShared]:
        """Return the reports due for this leader; a new leader is sent all of them."""
        if leader != self._reported_leader:
            self._reported_leader = leader
            for known in self._relay_reports.values():
                known.sent = None
        if not leader:
            return []
        self._forget(now)
        return [
            self._share(known, now)
            for known in self._relay_reports.values()
            if known.is_due(now)
        ]

    def table_for_followers(self, now: float) -> ProgressTableShared | None:
        """Return the leader's table of reports if it is due for the others, else None."""
        waited = now - self._table_sent_at
        if waited < CHANGED_TABLE_SECONDS:
            return None
        relays = self._table.relays()
        reports = tuple(each.report for each in relays)
        if waited < UNCHANGED_TABLE_SECONDS and not _table_changed(
            self._sent_table, reports
        ):
            return None
        self._sent_table = reports
        self._table_sent_at = now
        return self._shared_table(now)

    def table_request_due(self, now: float) -> bool:
        """Report whether to request immediate changes of the table from the leader now.

        If so, count the request as sent. Called on a replica at which operators watch.
        """
        if now - self._requested_at < TABLE_REQUEST_SECONDS:
            return False
        self._requested_at = now
        return True

    def note_table_request(self, replica: str, now: float) -> None:
        """Record, on the leader, that ``replica`` requested immediate changes."""
        self._watching_until[replica] = now + TABLE_REQUEST_VALID_SECONDS
        self._sent_to_watchers = ()

    def table_for_watchers(
        self, now: float
    ) -> tuple[list[str], ProgressTableShared] | None:
        """Return the replicas at which operators watch and the changed table for them.

        Return None if no replica requested immediate changes or the table of reports has
        not changed since it was last sent to them.
        """
        if not self._watching_until:
            return None
        reports = tuple(each.report for each in self._table.relays())
        if not _table_changed(self._sent_to_watchers, reports):
            return None
        self._sent_to_watchers = reports
        until = self._watching_until
        self._watching_until = {name: until[name] for name in until if now < until[name]}
        return list(self._watching_until), self._shared_table(now)

    def _shared_table(self, now: float) -> ProgressTableShared:
        relays = self._table.relays()
        return ProgressTableShared(tuple(_for_table(each, now) for each in relays))

    @staticmethod
    def _share(known: _RelayReport, now: float) -> ProgressShared:
        known.sent = known.report
        known.sent_at = now
        return ProgressShared(known.report, _age_milliseconds(known.at, now))

    def _forget(self, now: float) -> None:
        """Drop relays that report to another replica by now, or to none."""
        for relay, known in list(self._relay_reports.items()):
            if now - known.at >= RELAY_EXPIRY_SECONDS:
                del self._relay_reports[relay]


def _for_table(progress: RelayProgress, now: float) -> ProgressShared:
    report = progress.report
    shortened = msgspec.structs.replace(
        report,
        lagging=report.lagging[:MAX_SHOWN_NODES],
        silent=report.silent[:MAX_SHOWN_NODES],
    )
    return ProgressShared(shortened, _age_milliseconds(progress.at, now))


def _age_milliseconds(at: float, now: float) -> int:
    return round((now - at) * MILLISECONDS_PER_SECOND)


def _table_changed(
    former: tuple[ProgressReported, ...], reports: tuple[ProgressReported, ...]
) -> bool:
    if len(former) != len(reports):
        return True
    pairs = zip(former, reports, strict=True)
    return any(
        one.relay != other.relay or not same_progress(one, other) for one, other in pairs
    )
