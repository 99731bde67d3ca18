"""Periodic log line on the repeats that reached the local back end."""

from __future__ import annotations

import msgspec

from peppershore.process.node.data.notices import RepeatsArrived
from peppershore.request.send_kind import ArrivalCounts

INTERVAL_SECONDS = 5.0
MILLISECONDS = 1_000


class ArrivalReport:
    """Compares the counts of arrivals with those at the last report."""

    def __init__(self, service: str, now: float) -> None:
        """Begin the first interval at ``now`` (monotonic seconds)."""
        self._service = service
        self._began_at = now
        self._reported = ArrivalCounts()

    def take(
        self, counts: ArrivalCounts, back_ends: int, now: float
    ) -> RepeatsArrived | None:
        """Return the report once an interval is over in which there were repeats."""
        elapsed = now - self._began_at
        if elapsed < INTERVAL_SECONDS:
            return None
        before = self._reported
        self._reported = msgspec.structs.replace(counts)
        self._began_at = now
        notice = RepeatsArrived(
            service=self._service,
            milliseconds=round(elapsed * MILLISECONDS),
            first=counts.first - before.first,
            retry=counts.retry - before.retry,
            in_repeat=counts.in_repeat - before.in_repeat,
            unpaid=counts.unpaid - before.unpaid,
            back_ends=back_ends,
        )
        return notice if notice.retry or notice.in_repeat or notice.unpaid else None
