"""Decides whether a new version of a service is worse than the one running next to it.

Both versions run at the same time for the same callers and are compared with each other,
never with the past. The test is sequential (Wald's probability ratio test): it may be
evaluated after every call without raising its error rate, and it decides early where a
version is clearly bad. Versions are compared by route, since some are bad on one route
alone, and over all routes. The doubt about a new version is the logarithm of a likelihood
ratio: how much likelier the observed calls are if the version is bad than if it is good.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import msgspec

from peppershore.connection.messages.rollouts import BackEndEvidence

ERROR_RATE = 0.001
"""Both error rates behind ``REJECT_LOG_RATIO``: approximately how often each test rejects a
good version, and how often it passes a bad one."""

REJECT_LOG_RATIO = math.log((1.0 - ERROR_RATE) / ERROR_RATE)

PASS_LOG_RATIO = math.log(0.01)
"""Doubt up to which a version passes: it is then 100 times likelier to be good. Bad
versions pass once in a hundred times; they stay under observation while they get more
calls."""

ACCEPTABLE_FAILURE_SHARE = 0.03
BAD_FAILURE_SHARE = 0.13
"""How far the new version's share of failed calls may be above the old version's. Up to
``ACCEPTABLE_FAILURE_SHARE`` the new version is acceptable, from ``BAD_FAILURE_SHARE`` on it
is bad. A version that fails 20 in 100 is found after some 34 calls."""

SLOW_BUCKET_OFFSET = 2
"""A call counts as slow if its service time is more than this many buckets above that of
the old version's median, i.e. from 1.6 times the median on. Machines differ by 0.6 to 1.4
in speed, and a version counts as bad if it is at least twice as slow."""

ACCEPTABLE_SLOW_SHARE = 0.34
BAD_SLOW_SHARE = 0.50
"""Shares of slow calls, over machines of different speed, of an acceptable and of a bad
version. The share is 0.28 for the old version itself (times spread by 0.8 of their mean),
0.39 for a version 1.3 times as slow, and 0.56 for one twice as slow."""

MIN_OLD_CALLS = 20
"""Timed calls of the old version on a route without which service times aren't compared."""

MIN_ROUTE_CALLS = 5
"""A route with fewer calls doesn't keep the version from passing."""

MIN_BACK_END_CALLS = 3
"""Calls on a route with which a back end counts as failing or not. A bad version fails at
more than half of its back ends; if fewer fail, their machines are at fault."""

MIN_BACK_ENDS_TO_TRIM = 3
"""Among this many back ends of a version or more, the one with most failed calls is left
out of the comparison, because its machine may be at fault."""


class VersionCounts(msgspec.Struct):
    """Results of the calls of one route at the back ends of one version.

    ``times`` counts calls by bucket of service time. ``back_ends`` is the number of back
    ends with at least ``MIN_BACK_END_CALLS``; ``failing_back_ends`` of them failed a call.
    """

    calls: int = 0
    failed: int = 0
    times: Counter[int] = msgspec.field(default_factory=Counter)
    back_ends: int = 0
    failing_back_ends: int = 0

    def add(self, calls: int, failed: int, times: Iterable[tuple[int, int]]) -> None:
        """Add the calls of one back end, of which ``failed`` failed.

        ``times`` are pairs of a service-time bucket and its number of calls.
        """
        self.calls += calls
        self.failed += failed
        if calls >= MIN_BACK_END_CALLS:
            self.back_ends += 1
            self.failing_back_ends += failed > 0
        for bucket, count in times:
            self.times[bucket] += count


class RouteComparison(msgspec.Struct, frozen=True):
    """Comparison of both versions on one route ("" for all routes together).

    ``reason`` says why the new version is rejected; it is empty if it is not. ``doubt`` is
    the logarithm of the likelihood ratio of a bad new version to a good one.
    """

    route: str
    new: VersionCounts
    old: VersionCounts
    reason: str
    doubt: float = 0.0

    @property
    def figures(self) -> str:
        """Both versions' counts, as text for operators."""
        median = _median(self.old)
        return (
            f"{self.route or 'all'}: new {self.new.failed} of {self.new.calls} failed, "
            f"{_slower_count(self.new, median)} of {self.new.times.total()} slow, "
            f"old {self.old.failed} of {self.old.calls} failed, "
            f"{self.old.times.total()} timed"
        )


class Comparison(msgspec.Struct, frozen=True):
    """Comparison of both versions of a service.

    ``back_ends`` is the number of the new version's back ends with reported call results;
    ``calls`` ran there, of ``all_calls`` at both versions.
    """

    routes: tuple[RouteComparison, ...]
    back_ends: int
    calls: int
    all_calls: int

    @property
    def doubt(self) -> float:
        """The higher doubt of all routes together and of the busiest route.

        It is 0 without calls.
        """
        if not self.calls:
            return 0.0
        *by_route, over_all = self.routes
        busiest = max(by_route, key=lambda each: each.new.calls, default=over_all)
        return max(over_all.doubt, busiest.doubt)

    @property
    def is_passed(self) -> bool:
        """Whether the new version passes by the call results so far.

        Its doubt is at most ``PASS_LOG_RATIO``, and no route with enough calls points to a
        bad version.
        """
        others = (each.doubt for each in self.routes if each.new.calls >= MIN_ROUTE_CALLS)
        return self.doubt <= PASS_LOG_RATIO and max(others, default=0.0) <= 0.0

    @property
    def reason(self) -> str:
        """Why the new version is rejected; empty if it is not."""
        return next((each.reason for each in self.routes if each.reason), "")


def compare(evidence: Iterable[BackEndEvidence], version: str) -> Comparison:
    """Compare the back ends of ``version`` with all others of the service."""
    all_evidence = list(evidence)
    new = [each for each in all_evidence if each.version == version]
    old = [each for each in all_evidence if each.version != version]
    new_counts, old_counts = _by_route(_trimmed(new)), _by_route(_trimmed(old))
    routes = sorted(new_counts.keys() | old_counts.keys())
    compared = [
        _compare_route(
            route,
            new_counts.get(route, VersionCounts()),
            old_counts.get(route, VersionCounts()),
        )
        for route in routes
    ]
    compared.append(
        _compare_route("", _total_counts(new_counts), _total_counts(old_counts))
    )
    calls = _calls(new)
    return Comparison(tuple(compared), len(new), calls, calls + _calls(old))


def _trimmed(back_ends: list[BackEndEvidence]) -> list[BackEndEvidence]:
    """Return the back ends of a version without the one with most failed calls.

    Fewer than ``MIN_BACK_ENDS_TO_TRIM`` back ends are all returned.
    """
    if len(back_ends) < MIN_BACK_ENDS_TO_TRIM:
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


def _total_counts(by_route: dict[str, VersionCounts]) -> VersionCounts:
    """Return the sums of calls and failures over all routes.

    Service times are left out, because those of different routes are not comparable.
    """
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


def _compare_route(route: str, new: VersionCounts, old: VersionCounts) -> RouteComparison:
    failures, slowness = _failure_doubt(new, old), _slowness_doubt(new, old)
    reason = ""
    if failures >= REJECT_LOG_RATIO and 2 * new.failing_back_ends > new.back_ends:
        reason = (
            f"{new.failed} of {new.calls} calls failed, "
            f"{old.failed} of {old.calls} at the old version"
        )
    elif slowness >= REJECT_LOG_RATIO:
        reason = (
            f"{_slower_count(new, _median(old))} of {new.times.total()} calls took over "
            f"1.6 times the old version's median"
        )
    if reason and route:
        reason = f"on route {route} {reason}"
    return RouteComparison(route, new, old, reason, max(failures, slowness))


def _failure_doubt(new: VersionCounts, old: VersionCounts) -> float:
    usual = (old.failed + 0.5) / (old.calls + 1.0)
    acceptable = min(0.5, usual + ACCEPTABLE_FAILURE_SHARE)
    bad = min(0.9, usual + BAD_FAILURE_SHARE)
    return _log_likelihood_ratio(new.failed, new.calls, acceptable, bad)


def _slowness_doubt(new: VersionCounts, old: VersionCounts) -> float:
    """Return the log likelihood ratio of a slow new version to a good one.

    Return minus infinity without timed calls of the new version, or with too few of the
    old one.
    """
    timed = new.times.total()
    if not timed or old.times.total() < MIN_OLD_CALLS:
        return -math.inf
    slower = _slower_count(new, _median(old))
    return _log_likelihood_ratio(slower, timed, ACCEPTABLE_SLOW_SHARE, BAD_SLOW_SHARE)


def _slower_count(new: VersionCounts, median: int) -> int:
    slow = median + SLOW_BUCKET_OFFSET
    return sum(count for bucket, count in new.times.items() if bucket > slow)


def _median(counts: VersionCounts) -> int:
    """Return the bucket of service time that holds the median call, 0 without calls."""
    half = counts.times.total() / 2.0
    seen = 0
    for bucket, count in sorted(counts.times.items()):
        seen += count
        if seen >= half:
            return bucket
    return 0


def _log_likelihood_ratio(hits: int, calls: int, acceptable: float, bad: float) -> float:
    """Return the log likelihood ratio of a bad version to a good one.

    ``hits`` of ``calls`` failed or were slow. ``acceptable`` and ``bad`` are the rates of
    such calls at a good and at a bad version.
    """
    misses = calls - hits
    return hits * math.log(bad / acceptable) + misses * math.log(
        (1 - bad) / (1 - acceptable)
    )
