"""Check of the bound on repeats over all nodes, by what back ends got."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Sequence

from peppershore_lab.soak.observations import Record, Violation

WINDOW_SECONDS = 10.0
RATIO = 0.02
SLACK = 6
"""In any window at most ``RATIO`` times the requests that callers sent, and ``SLACK`` more,
arrive at the back ends of the service beyond the first arrival of their request. Requests
are counted in the fullest of the window, the one half a window earlier, and the one
before."""


def repeats_stay_in_bound(record: Record) -> Iterator[Violation]:
    """All nodes together repeat no more than the bound allows, whatever restarts."""
    repeats = _repeats(record)
    sent = sorted(each.sent_at for each in record.requests)
    for start in repeats:
        arrived = _count(repeats, start, start + WINDOW_SECONDS)
        allowed = RATIO * _requests_near(sent, start) + SLACK
        if arrived > allowed:
            detail = f"{arrived} repeats, {allowed:.1f} allowed"
            yield Violation("repeats-in-bound", detail, start)
            return


def _repeats(record: Record) -> list[float]:
    """Return when requests arrived again, in order of time."""
    seen: set[str] = set()
    found = []
    for arrival in sorted(record.arrivals, key=lambda each: each.at):
        if arrival.request in seen:
            found.append(arrival.at)
        seen.add(arrival.request)
    return found


def _requests_near(sent: Sequence[float], start: float) -> int:
    starts = (start, start - WINDOW_SECONDS / 2, start - WINDOW_SECONDS)
    return max(_count(sent, begin, begin + WINDOW_SECONDS) for begin in starts)


def _count(moments: Sequence[float], begin: float, end: float) -> int:
    return bisect_left(moments, end) - bisect_left(moments, begin)


REPEAT_CHECKS = (repeats_stay_in_bound,)
