"""Grants calls of tenants that have a limit: the leader's part, without I/O.

Whoever owns a ``Decider`` asks it only while no other may: see ``control.quota_service``.
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
"""What a relay was told it may give ahead counts for so long after the ask."""

FORGOTTEN_SECONDS = 5.0
"""A relay that asked nothing for a window and so long has no part in what is given ahead:
what it was told of has ended, and what it gave lies before every window to come."""

NO_TENANT_MILLISECONDS = 250
"""A node that asks for a tenant that is none any more hears of that within it."""

EPOCHS_IN_TERM = 1 << 32

NO_LIMIT = Limit(rate=0.0, burst=0.0)


class _Asker(msgspec.Struct):
    first_at: float
    last_at: float


class Decider:
    """The buckets of one leadership; times are the leader's boot clock, in seconds."""

    def __init__(self, quotas: QuotaSettings, term: int, now: float) -> None:
        """Begin with empty buckets."""
        self._quotas = quotas
        self._lease_milliseconds = math.floor(lease_seconds(quotas) * MILLISECONDS)
        self._buckets: dict[str, Bucket] = {}
        self._limits: Mapping[str, Limit] = {}
        self._askers: dict[str, _Asker] = {}
        self._epoch = term * EPOCHS_IN_TERM
        self._looked_at = now
        self._began_at = now
        self._usage = Usage(quotas.window_seconds)

    def use_limits(self, limits: Mapping[str, Limit], now: float) -> None:
        """Go by these limits from now on.

        A tenant without a limit has no bucket.  One that gets a limit begins empty, also
        when it had one before: it can't be renewed by taking it away.
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
        """Grant what the buckets hold; ``asker`` names one life of a relay."""
        share = self._share_of(asker, now)
        return QuotaGranted(
            number,
            tuple(self._grant(each, share, now) for each in asks),
            self._lease_milliseconds,
            epoch=self._epoch,
        )

    def limit_changes(self, now: float) -> list[LimitChange]:
        """Give the limits that began and ended to refuse calls since the last time."""
        return self._usage.changes(now)

    def usage(self, now: float) -> tuple[TenantUsage, ...]:
        """Give how each tenant with a limit used it since this leadership began."""
        return tuple(
            self._usage_of(name, limit, now)
            for name, limit in sorted(self._limits.items())
            if limit.rate > 0.0
        )

    def age_seconds(self, now: float) -> float:
        """Give how long this leadership has counted."""
        return now - self._began_at

    def limit_of(self, tenant: str) -> Limit:
        """Give a tenant's limit; a rate of 0 where it has none any more."""
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
            return TenantGrant(ask.tenant, 0, NO_TENANT_MILLISECONDS)
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

    def _share_of(self, asker: str, now: float) -> float:
        """Give this relay's part in what is given ahead.

        One that is new waits until the others, told with any answer that there is one
        more, have given by their smaller parts for a whole window.
        """
        self._forget(now)
        known = self._askers.get(asker)
        if known is None:
            known = _Asker(now, now)
            self._askers[asker] = known
            self._epoch += 1
        known.last_at = now
        return 0.0 if self._is_new(known.first_at, now) else 1.0 / len(self._askers)

    def _is_new(self, since: float, now: float) -> bool:
        """Whether what was given ahead before may stand in a window with what is now.

        So under another name, or taken away and added, a tenant is given nothing ahead.
        """
        return now - since < self._quotas.window_seconds + 2.0 * AHEAD_SECONDS

    def _forget(self, now: float) -> None:
        if now - self._looked_at < AHEAD_SECONDS:
            return
        self._looked_at = now
        silence = self._quotas.window_seconds + FORGOTTEN_SECONDS
        last = {name: each.last_at for name, each in self._askers.items()}
        old = [name for name, last_at in last.items() if now - last_at > silence]
        for name in old:
            del self._askers[name]
        self._epoch += bool(old)
