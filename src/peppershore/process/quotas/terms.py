"""What a tenant's limit comes to: how fast its bucket fills, and what is granted ahead.

In a window ``w`` at most ``capacity + rate x (w + lease)`` calls run by grants, as a grant
counts for one lease at the most, and besides them those that relays gave ahead of asking.
Both together stay within ``(rate x w + burst) x (1 + overshoot) + slack``.
"""

from __future__ import annotations

import math

import msgspec

from peppershore.process.settings import QuotaSettings

LEASE_SHARE = 0.8
"""Part of the overshoot of a window that grants may use up by counting a lease longer."""

LEAST_LEASE_SECONDS = 0.1
"""An ask must come back within it, also from a process that had to wait for its turn."""

MOST_LEASE_SECONDS = 1.0

CLOCK_MARGIN = 1.02
"""A lease by a clock slower than the leader's lasts so much longer at the most."""

LEAST_CAPACITY = 2.0
"""Calls are granted whole: a bucket without a burst still holds so many."""

CAPACITY_SHARE = 0.35
"""Part of what is left of a window's bound by which a bucket holds more than the burst.
Calls that come at random clump: a tenant of two calls a second that sends three at once
is not over its limit for that."""

AHEAD_SHARE = 0.6
"""Part of what is left that relays may give ahead."""


class BucketTerms(msgspec.Struct, frozen=True):
    """A bucket fills at ``rate`` calls a second up to ``capacity``.

    ``ahead`` calls may be given before they are asked for, by all relays together.
    """

    rate: float
    capacity: float
    ahead: int


def lease_seconds(quotas: QuotaSettings) -> float:
    """Give for how long a grant counts after its ask was sent."""
    lease = LEASE_SHARE * quotas.overshoot * quotas.window_seconds
    return min(MOST_LEASE_SECONDS, max(LEAST_LEASE_SECONDS, lease))


def most_calls(rate: float, burst: float, quotas: QuotaSettings) -> float:
    """Give the bound on calls that run in one window."""
    allowed = rate * quotas.window_seconds + burst
    return allowed * (1.0 + quotas.overshoot) + quotas.slack


def terms_of(rate: float, burst: float, quotas: QuotaSettings) -> BucketTerms:
    """Give the terms of a limit; where the bound leaves no room, it fills more slowly."""
    bound = most_calls(rate, burst, quotas)
    counted = quotas.window_seconds + CLOCK_MARGIN * lease_seconds(quotas)
    left = bound - burst - rate * counted
    if CAPACITY_SHARE * left < LEAST_CAPACITY:
        capacity = burst + min(LEAST_CAPACITY, max(0.0, bound - burst) / 2.0)
        filling = min(rate, max(0.0, bound - capacity) / counted)
        return BucketTerms(filling, capacity, 0)
    ahead = math.floor(AHEAD_SHARE * left)
    return BucketTerms(rate, burst + CAPACITY_SHARE * left, ahead)
