"""How replicas tell one another what relays report, without a message for each pair.

A replica passes the reports of its own relays to the leader; the leader tells the others
its whole table now and then.  Reports that change often are passed on at a bounded rate,
those that stay as they are now and then, so that a quiet group says next to nothing.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.consensus import ProgressShared, ProgressTableShared
from peppershore.connection.messages.relay import ProgressReported
from peppershore.process.control.progress import (
    RELAY_FORGOTTEN_SECONDS,
    ProgressTable,
    RelayProgress,
    same_progress,
)
from peppershore.process.token_bucket import TokenBucket

SHARES_PER_SECOND = 4.0
"""A relay whose progress changes all the time has so many reports passed on."""

SHARE_BURST = 6.0
"""So many are passed on at once: one edit makes two, an operator watches a few."""

KEPT_SECONDS = 3.0
"""A report that stays as it is is passed on again after so long: well within the time
after which a relay counts as silent."""

TABLE_SECONDS = 2.0
"""The leader tells a table that changed to the other replicas so often."""

TABLE_KEPT_SECONDS = 4.0
"""It tells one that stays as it is so often."""

WANTED_SECONDS = 2.0
"""A replica at which operators watch asks the leader so often."""

WATCHED_SECONDS = 3 * WANTED_SECONDS
"""For so long after it asked, a replica is told of every change at once."""

SHOWN_NODES = 3
"""Nodes of each kind that the table names of a relay; its own replica knows more."""

MILLISECONDS_PER_SECOND = 1_000


class _Heard:
    """The newest report of one relay that follows this replica."""

    def __init__(self, report: ProgressReported, at: float) -> None:
        self.report = report
        self.at = at
        self.told: ProgressReported | None = None
        self.told_at = 0.0
        self.bucket = TokenBucket(SHARES_PER_SECOND, SHARE_BURST)

    def is_due(self, now: float) -> bool:
        """Whether the leader should hear the newest report now."""
        if self.told is None or now - self.told_at >= KEPT_SECONDS:
            return True
        return not same_progress(self.told, self.report) and self.bucket.admit(now)


class ProgressSharing:
    """What one replica passes on; it sends nothing itself."""

    def __init__(self, table: ProgressTable) -> None:
        """Begin without reports."""
        self._table = table
        self._heard: dict[str, _Heard] = {}
        self._told_leader = ""
        self._table_told: tuple[ProgressReported, ...] = ()
        self._table_told_at = 0.0
        self._wanted_by: dict[str, float] = {}
        self._watchers_told: tuple[ProgressReported, ...] = ()
        self._asked_at = -WANTED_SECONDS

    def heard(self, report: ProgressReported, now: float) -> None:
        """A relay reported to this replica itself."""
        known = self._heard.get(report.relay)
        if known is None:
            self._heard[report.relay] = _Heard(report, now)
            return
        known.report = report
        known.at = now

    def hears(self, relay: str, now: float) -> bool:
        """Whether the relay reports to this replica itself."""
        known = self._heard.get(relay)
        return known is not None and now - known.at < KEPT_SECONDS

    def for_leader(self, leader: str, now: float) -> list[ProgressShared]:
        """Give the reports that this leader should hear now; a new one hears all."""
        if leader != self._told_leader:
            self._told_leader = leader
            for known in self._heard.values():
                known.told = None
        if not leader:
            return []
        self._forget(now)
        return [
            self._share(known, now) for known in self._heard.values() if known.is_due(now)
        ]

    def for_followers(self, now: float) -> ProgressTableShared | None:
        """Give the leader's table if the others should hear it now."""
        waited = now - self._table_told_at
        if waited < TABLE_SECONDS:
            return None
        relays = self._table.relays()
        reports = tuple(each.report for each in relays)
        if waited < TABLE_KEPT_SECONDS and not _table_changed(self._table_told, reports):
            return None
        self._table_told = reports
        self._table_told_at = now
        return self._shared_table(now)

    def asks_leader(self, now: float) -> bool:
        """Whether this replica, at which operators watch, should ask the leader again."""
        if now - self._asked_at < WANTED_SECONDS:
            return False
        self._asked_at = now
        return True

    def wanted(self, replica: str, now: float) -> None:
        """Operators watch at another replica, which asks to be told of changes soon."""
        self._wanted_by[replica] = now + WATCHED_SECONDS
        self._watchers_told = ()

    def for_watchers(self, now: float) -> tuple[list[str], ProgressTableShared] | None:
        """Give the table, and to whom, if replicas where operators watch lack changes."""
        if not self._wanted_by:
            return None
        reports = tuple(each.report for each in self._table.relays())
        if not _table_changed(self._watchers_told, reports):
            return None
        self._watchers_told = reports
        until = self._wanted_by
        self._wanted_by = {name: until[name] for name in until if now < until[name]}
        return list(self._wanted_by), self._shared_table(now)

    def _shared_table(self, now: float) -> ProgressTableShared:
        relays = self._table.relays()
        return ProgressTableShared(tuple(_for_table(each, now) for each in relays))

    @staticmethod
    def _share(known: _Heard, now: float) -> ProgressShared:
        known.told = known.report
        known.told_at = now
        return ProgressShared(known.report, _age_milliseconds(known.at, now))

    def _forget(self, now: float) -> None:
        """Forget relays that follow another replica by now, or none."""
        for relay, known in list(self._heard.items()):
            if now - known.at >= RELAY_FORGOTTEN_SECONDS:
                del self._heard[relay]


def _for_table(progress: RelayProgress, now: float) -> ProgressShared:
    report = progress.report
    shortened = msgspec.structs.replace(
        report, lagging=report.lagging[:SHOWN_NODES], silent=report.silent[:SHOWN_NODES]
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
