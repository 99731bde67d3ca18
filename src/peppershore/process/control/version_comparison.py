"""Whether a new version of a service's software is worse than the one beside it.

Both run at the same time for the same callers, and are compared with each other, never
with the past.  The test is sequential (Wald's probability ratio): it may be asked after
every call without being wrong more often for that, and tells soon where a version is
clearly bad.  By route, since some versions are bad on one alone, and over all.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import msgspec

from peppershore.connection.messages.rollouts import BackEndEvidence

ERROR_RATE = 0.001
"""A good version is condemned about so often by each test, and a bad one passed."""

CONDEMNED = math.log((1.0 - ERROR_RATE) / ERROR_RATE)

PASSED = math.log(0.01)
"""So much likelier must it be that all is well: bad ones pass once in a hundred times,
and are watched on while they take more calls."""

FAILURES_BORNE = 0.03
FAILURES_BAD = 0.13
"""Shares of failed answers beyond those of the old version: up to the first all is well,
from the second on it is bad.  With 20 in 100 it shows after some 34 calls."""

SLOWER_BY_BUCKETS = 2
"""An answer counts as slow from 1.6 times the old version's median on: machines differ
by 0.6 to 1.4 in speed, and versions are taken as bad from twice as slow on."""

SLOW_BORNE = 0.34
SLOW_BAD = 0.50
"""Shares of slow answers over machines of different speed.  Of the old version itself
0.28 are (times spread by 0.8 of their mean), of one 1.3 times slower 0.39, of one twice
as slow 0.56."""

LEAST_OLD_CALLS = 20
"""So many times of the old version make a reference."""

LEAST_CALLS = 5
"""Fewer calls of a route keep nobody from passing the version."""

LEAST_CALLS_OF_ONE = 3
"""So many calls of one back end say something of it.  A bad version fails at more than
half of its back ends; where it is fewer, it is the machines."""

LEAST_BACK_ENDS_TO_TRIM = 3
"""Of so many back ends or more the worst one is left out: it may be the machine."""


class VersionCounts(msgspec.Struct):
    """What calls of one route came to, at back ends of one version.

    ``back_ends`` had calls enough to judge by, ``failing_back_ends`` of them failed some.
    """

    calls: int = 0
    failed: int = 0
    times: Counter[int] = msgspec.field(default_factory=Counter)
    back_ends: int = 0
    failing_back_ends: int = 0

    def add(self, calls: int, failed: int, times: Iterable[tuple[int, int]]) -> None:
        """Add counts of one back end."""
        self.calls += calls
        self.failed += failed
        if calls >= LEAST_CALLS_OF_ONE:
            self.back_ends += 1
            self.failing_back_ends += failed > 0
        for bucket, count in times:
            self.times[bucket] += count


class RouteComparison(msgspec.Struct, frozen=True):
    """Both versions on one route ("" over all routes), and what speaks against the new.

    ``doubt`` is the logarithm of how much likelier a bad version makes what was seen.
    """

    route: str
    new: VersionCounts
    old: VersionCounts
    reason: str
    doubt: float = 0.0

    @property
    def figures(self) -> str:
        """Both versions' counts, for people to read."""
        median = _median(self.old)
        return (
            f"{self.route or 'all'}: new {self.new.failed} of {self.new.calls} failed, "
            f"{_slower_count(self.new, median)} of {self.new.times.total()} slow, "
            f"old {self.old.failed} of {self.old.calls} failed, "
            f"{self.old.times.total()} timed"
        )


class Comparison(msgspec.Struct, frozen=True):
    """Both versions of a service.

    ``back_ends`` of the new version have told something; ``calls`` ran there, of
    ``all_calls``.
    """

    routes: tuple[RouteComparison, ...]
    back_ends: int
    calls: int
    all_calls: int

    @property
    def doubt(self) -> float:
        """What speaks most against the new version, over all and on its busiest route."""
        if not self.calls:
            return 0.0
        *by_route, over_all = self.routes
        busiest = max(by_route, key=lambda each: each.new.calls, default=over_all)
        return max(over_all.doubt, busiest.doubt)

    @property
    def is_passed(self) -> bool:
        """Whether all is well with the new version, as far as was seen."""
        others = (each.doubt for each in self.routes if each.new.calls >= LEAST_CALLS)
        return self.doubt <= PASSED and max(others, default=0.0) <= 0.0

    @property
    def reason(self) -> str:
        """What condemns the new version, or ""."""
        return next((each.reason for each in self.routes if each.reason), "")


def compare(evidence: Iterable[BackEndEvidence], version: str) -> Comparison:
    """Compare the back ends of ``version`` with all others of the service."""
    listed = list(evidence)
    new = [each for each in listed if each.version == version]
    old = [each for each in listed if each.version != version]
    new_counts, old_counts = _by_route(_trimmed(new)), _by_route(_trimmed(old))
    routes = sorted(new_counts.keys() | old_counts.keys())
    compared = [
        _compared(
            route,
            new_counts.get(route, VersionCounts()),
            old_counts.get(route, VersionCounts()),
        )
        for route in routes
    ]
    compared.append(_compared("", _failures(new_counts), _failures(old_counts)))
    calls = _calls(new)
    return Comparison(tuple(compared), len(new), calls, calls + _calls(old))


def _trimmed(back_ends: list[BackEndEvidence]) -> list[BackEndEvidence]:
    """Leave out the back end with most failures where others remain to judge by."""
    if len(back_ends) < LEAST_BACK_ENDS_TO_TRIM:
        return back_ends
    worst = max(back_ends, key=lambda each: sum(route.failed for route in each.routes))
    return [each for each in back_ends if each is not worst]


def _by_route(back_ends: list[BackEndEvidence]) -> dict[str, VersionCounts]:
    found: dict[str, VersionCounts] = {}
    for back_end in back_ends:
        for each in back_end.routes:
            counts = found.setdefault(each.route, VersionCounts())
            pairs = zip(each.times[::2], each.times[1::2], strict=False)
            counts.add(each.calls, each.failed, pairs)
    return found


def _failures(by_route: dict[str, VersionCounts]) -> VersionCounts:
    """Add up calls and failures; times of different routes say nothing together."""
    total = VersionCounts()
    for counts in by_route.values():
        total.add(counts.calls, counts.failed, ())
    total.back_ends = max((each.back_ends for each in by_route.values()), default=0)
    total.failing_back_ends = max(
        (each.failing_back_ends for each in by_route.values()), default=0
    )
    return total


def _calls(back_ends: list[BackEndEvidence]) -> int:
    return sum(route.calls for each in back_ends for route in each.routes)


def _compared(route: str, new: VersionCounts, old: VersionCounts) -> RouteComparison:
    failures, slowness = _failure_doubt(new, old), _slowness_doubt(new, old)
    reason = ""
    if failures >= CONDEMNED and 2 * new.failing_back_ends > new.back_ends:
        reason = (
            f"{new.failed} of {new.calls} calls failed, "
            f"{old.failed} of {old.calls} at the old version"
        )
    elif slowness >= CONDEMNED:
        reason = (
            f"{_slower_count(new, _median(old))} of {new.times.total()} calls took over "
            f"1.6 times the old version's median"
        )
    if reason and route:
        reason = f"on route {route} {reason}"
    return RouteComparison(route, new, old, reason, max(failures, slowness))


def _failure_doubt(new: VersionCounts, old: VersionCounts) -> float:
    usual = (old.failed + 0.5) / (old.calls + 1.0)
    borne = min(0.5, usual + FAILURES_BORNE)
    bad = min(0.9, usual + FAILURES_BAD)
    return _ratio(new.failed, new.calls, borne, bad)


def _slowness_doubt(new: VersionCounts, old: VersionCounts) -> float:
    """Give minus infinity where there is nothing to compare with."""
    timed = new.times.total()
    if not timed or old.times.total() < LEAST_OLD_CALLS:
        return -math.inf
    slower = _slower_count(new, _median(old))
    return _ratio(slower, timed, SLOW_BORNE, SLOW_BAD)


def _slower_count(new: VersionCounts, median: int) -> int:
    slow = median + SLOWER_BY_BUCKETS
    return sum(count for bucket, count in new.times.items() if bucket > slow)


def _median(counts: VersionCounts) -> int:
    """Give the bucket within which half of the calls were over."""
    half = counts.times.total() / 2.0
    seen = 0
    for bucket, count in sorted(counts.times.items()):
        seen += count
        if seen >= half:
            return bucket
    return 0


def _ratio(hits: int, calls: int, borne: float, bad: float) -> float:
    """Give the logarithm of how much likelier the counts are if it is bad."""
    misses = calls - hits
    return hits * math.log(bad / borne) + misses * math.log((1 - bad) / (1 - borne))
