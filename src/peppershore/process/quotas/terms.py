"""Fill rate, capacity and advance grants of a tenant's bucket, derived from its limit.

In a window of ``w`` seconds at most ``capacity + rate x (w + lease)`` calls run by grants
of the leader, as a grant is valid for one lease at most. Calls that relays granted in
advance come on top. Both together stay within the window's bound,
``(rate x w + burst) x (1 + overshoot) + slack``. What the bound leaves
beyond ``burst + rate x (w + lease)`` is the window's spare: the bucket's capacity and the
advance grants get shares of it.
"""

from __future__ import annotations

import math

import msgspec

from peppershore.process.settings import QuotaSettings

LEASE_SHARE = 0.8
"""Share of the overshoot, the fraction by which a window may exceed the limit, that may be
used up because a grant stays valid for one lease."""

MIN_LEASE_SECONDS = 0.1
"""Minimum lease of a grant. An answer must arrive within it, also if a process had to wait
for the processor."""

MAX_LEASE_SECONDS = 1.0

CLOCK_MARGIN = 1.02
"""Factor by which a lease may last longer by a clock slower than the leader's."""

MIN_CAPACITY = 2.0
"""Calls that a bucket without a burst still holds, as only whole calls are granted."""

CAPACITY_SHARE = 0.35
"""Share of a window's spare (calls) that a bucket holds beyond the burst.
Calls that arrive at random come in clumps: a tenant limited to two calls a second is not
over its limit because it sends three at once."""

AHEAD_SHARE = 0.6
"""Share of a window's spare (calls) that relays may grant in advance."""


class BucketTerms(msgspec.Struct, frozen=True):
    """A bucket fills at ``rate`` calls a second up to ``capacity``.

    All relays together may grant ``ahead`` calls in advance, before requesting them.
    """

    rate: float
    capacity: float
    ahead: int


def lease_seconds(quotas: QuotaSettings) -> float:
    """Return the seconds for which a grant is valid after its request was sent."""
    lease = LEASE_SHARE * quotas.overshoot * quotas.window_seconds
    return min(MAX_LEASE_SECONDS, max(MIN_LEASE_SECONDS, lease))


def most_calls(rate: float, burst: float, quotas: QuotaSettings) -> float:
    """Return the upper bound on the calls that run in one window."""
    allowed = rate * quotas.window_seconds + burst
    return allowed * (1.0 + quotas.overshoot) + quotas.slack


def terms_of(rate: float, burst: float, quotas: QuotaSettings) -> BucketTerms:
    """Return the bucket terms of a limit.

    Where the window's bound is too tight for the limit's own rate, the bucket may fill
    more slowly and no calls are granted in advance.
    """
    bound = most_calls(rate, burst, quotas)
    counted_seconds = quotas.window_seconds + CLOCK_MARGIN * lease_seconds(quotas)
    spare = bound - burst - rate * counted_seconds
    if CAPACITY_SHARE * spare < MIN_CAPACITY:
        capacity = burst + min(MIN_CAPACITY, max(0.0, bound - burst) / 2.0)
        fill_rate = min(rate, max(0.0, bound - capacity) / counted_seconds)
        return BucketTerms(fill_rate, capacity, 0)
    ahead = math.floor(AHEAD_SHARE * spare)
    return BucketTerms(rate, burst + CAPACITY_SHARE * spare, ahead)
