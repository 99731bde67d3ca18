"""Decisions of the control group's leader on relays' requests for calls, without I/O.

A relay requests, for tenants with a rate limit, the calls that its nodes want to run. The
leader grants as many as the tenants' token buckets hold.

The owner of a ``Decider`` must use it only while no other replica may grant calls; see
``control.quota_service``.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from peppershore.connection.messages.operators import TenantUsage
from peppershore.connection.messages.quotas import QuotaGranted, TenantAsk, TenantGrant
from peppershore.process.quotas.bucket import Bucket
from peppershore.process.quotas.limits import Limit
from peppershore.process.quotas.terms import lease_seconds, terms_of
from peppershore.process.quotas.usage import LimitChange, Usage
from peppershore.process.settings import QuotaSettings

MILLISECONDS = 1_000

AHEAD_SECONDS = 1.0
"""Time after a relay's request for which it may grant calls in advance, within the
number of calls that the answer allowed."""

RELAY_EXPIRY_SECONDS = 5.0
"""Time beyond one window after which a relay without a request loses its share of the
advance grants: its allowance has expired, and the calls that it granted in advance lie
before every later window."""

UNKNOWN_TENANT_WAIT_MILLISECONDS = 250
"""Wait that is reported for a tenant that does not exist. A node that still requests
calls for a removed tenant learns of the removal within this time."""

EPOCHS_IN_TERM = 1 << 32

NO_LIMIT = Limit(rate=0.0, burst=0.0)


class _Relay(msgspec.Struct):
    first_at: float
    last_at: float


class Decider:
    """Token buckets of one leader in one term, one for each tenant with a limit.

    Times are seconds of the leader's boot clock.
    """

    def __init__(self, quotas: QuotaSettings, term: int, now: float) -> None:
        """Start with empty buckets."""
        self._quotas = quotas
        self._lease_milliseconds = math.floor(lease_seconds(quotas) * MILLISECONDS)
        self._buckets: dict[str, Bucket] = {}
        self._limits: Mapping[str, Limit] = {}
        self._relays: dict[str, _Relay] = {}
        self._epoch = term * EPOCHS_IN_TERM
        self._expiry_checked_at = now
        self._began_at = now
        self._usage = Usage(quotas.window_seconds)

    def use_limits(self, limits: Mapping[str, Limit], now: float) -> None:
        """Replace the limits of all tenants.

        A tenant without a limit has no bucket. A tenant that gets a limit starts with an
        empty bucket, also if it had a limit earlier, so that removing a limit and adding
        it again does not refill the bucket.
        """
        if limits == self._limits:
            return
        self._epoch += 1
        self._limits = limits
        bound = {name: each for name, each in limits.items() if each.rate > 0.0}
        for name in self._buckets.keys() - bound.keys():
            del self._buckets[name]
        self._usage.keep_only(frozenset(bound))
        for name, limit in bound.items():
            terms = terms_of(limit.rate, limit.burst, self._quotas)
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = Bucket(terms, now)
            elif bucket.terms != terms:
                bucket.use(terms, now)

    def answer(
        self, asker: str, number: int, asks: tuple[TenantAsk, ...], now: float
    ) -> QuotaGranted:
        """Answer a relay's request: grant the calls that the tenants' buckets hold.

        All calls of a tenant without a limit are granted, none of an unknown tenant.
        ``asker`` identifies one incarnation of a relay; ``number`` is the request's.
        """
        share = self._advance_share(asker, now)
        return QuotaGranted(
            number,
            tuple(self._grant(each, share, now) for each in asks),
            self._lease_milliseconds,
            epoch=self._epoch,
        )

    def limit_changes(self, now: float) -> list[LimitChange]:
        """Return the limits that started or stopped refusing calls since the last query."""
        return self._usage.changes(now)

    def usage(self, now: float) -> tuple[TenantUsage, ...]:
        """Return the calls granted and refused for each limited tenant in this term."""
        return tuple(
            self._usage_of(name, limit, now)
            for name, limit in sorted(self._limits.items())
            if limit.rate > 0.0
        )

    def age_seconds(self, now: float) -> float:
        """Return the seconds for which this leader has counted calls."""
        return now - self._began_at

    def limit_of(self, tenant: str) -> Limit:
        """Return a tenant's limit, with a rate of 0 if it has none."""
        return self._limits.get(tenant, NO_LIMIT)

    def _usage_of(self, name: str, limit: Limit, now: float) -> TenantUsage:
        use = self._usage.of(name)
        if use is None:
            return TenantUsage(name, limit.rate, limit.burst)
        rate = use.rate(self._quotas.window_seconds, now)
        return TenantUsage(
            name,
            limit.rate,
            limit.burst,
            rate,
            use.granted,
            use.refused,
            use.is_binding,
        )

    def _grant(self, ask: TenantAsk, share: float, now: float) -> TenantGrant:
        limit = self._limits.get(ask.tenant)
        if limit is None:
            return TenantGrant(ask.tenant, 0, UNKNOWN_TENANT_WAIT_MILLISECONDS)
        bucket = self._buckets.get(ask.tenant)
        if bucket is None:
            return TenantGrant(ask.tenant, max(0, ask.calls))
        granted = bucket.take(max(0, ask.calls), now)
        self._usage.add(ask.tenant, granted, max(0, ask.refused), now)
        wait = 0
        if granted < ask.calls:
            wait = max(1, math.ceil(bucket.wait_seconds() * MILLISECONDS))
        is_new = self._is_new(bucket.began_at, now)
        ahead = 0 if is_new else math.floor(bucket.terms.ahead * share)
        return TenantGrant(ask.tenant, granted, wait, ahead)

    def _advance_share(self, asker: str, now: float) -> float:
        """Return this relay's share (0.0 to 1.0) of the calls granted in advance.

        A new relay gets no share until the other relays have used their smaller shares
        for a whole window. They learn of the new relay by the new epoch in any answer.
        """
        self._expire_relays(now)
        known = self._relays.get(asker)
        if known is None:
            known = _Relay(now, now)
            self._relays[asker] = known
            self._epoch += 1
        known.last_at = now
        return 0.0 if self._is_new(known.first_at, now) else 1.0 / len(self._relays)

    def _is_new(self, since: float, now: float) -> bool:
        """Return whether a window up to ``now`` may hold advance grants before ``since``.

        A tenant that was renamed, or removed and added again, therefore gets no advance
        grants at first.
        """
        return now - since < self._quotas.window_seconds + 2.0 * AHEAD_SECONDS

    def _expire_relays(self, now: float) -> None:
        if now - self._expiry_checked_at < AHEAD_SECONDS:
            return
        self._expiry_checked_at = now
        silence = self._quotas.window_seconds + RELAY_EXPIRY_SECONDS
        last = {name: each.last_at for name, each in self._relays.items()}
        old = [name for name, last_at in last.items() if now - last_at > silence]
        for name in old:
            del self._relays[name]
        self._epoch += bool(old)
