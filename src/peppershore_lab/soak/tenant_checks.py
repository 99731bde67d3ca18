"""Checks of a soak's record for tenants: their names, limits and fair shares."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from peppershore_lab.soak.observations import (
    STATUS_OK,
    Record,
    RequestEnded,
    RunBegan,
    Violation,
)
from peppershore_lab.soak.tenants import BY_NAME, WINDOW_SECONDS, SoakTenant

LEAST_REQUESTS = 50
"""Minimum number of requests for a meaningful share of served ones."""

STARVED_SHARE = 0.25
"""Minimum share of a tenant's requests served, relative to that of all tenants."""


def tenants_are_true(record: Record) -> Iterator[Violation]:
    """A back end is told the tenant that holds the caller's key, and never the key.

    A request with a key that nobody ever held is not run at all.
    """
    sent = {request.request: request for request in record.requests}
    for run in record.runs:
        if run.has_key:
            yield Violation("key-kept-back", f"{run.request} at {run.node}", run.at)
        request = sent.get(run.request)
        if request is not None and request.tenant is not None:
            yield from _judged(request.tenant, run)


def _judged(tenant: str, run: RunBegan) -> Iterator[Violation]:
    if not tenant:
        yield Violation("stranger-ran", f"{run.request} at {run.node}", run.at)
    elif run.tenant != tenant:
        detail = f"{run.request} of {tenant} ran as {run.tenant!r}"
        yield Violation("tenant-is-true", detail, run.at)


def limits_hold(record: Record) -> Iterator[Violation]:
    """In any window no more requests of a tenant are sent and run than its limit allows."""
    for name, pairs in _sent_and_run(record).items():
        tenant = BY_NAME.get(name)
        if tenant is not None and tenant.rate_per_second:
            yield from _over_limit(tenant, pairs)


def _sent_and_run(record: Record) -> dict[str, list[tuple[float, float]]]:
    """Return, by tenant, when each request that ran was sent and begun, oldest first."""
    began = {run.request: run.at for run in reversed(record.runs)}
    found: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for request in record.requests:
        if request.tenant and request.request in began:
            found[request.tenant].append((request.sent_at, began[request.request]))
    for pairs in found.values():
        pairs.sort()
    return found


def _over_limit(
    tenant: SoakTenant, pairs: list[tuple[float, float]]
) -> Iterator[Violation]:
    for place, (begin, _) in enumerate(pairs):
        end = begin + WINDOW_SECONDS
        inside = sum(sent < end and ran < end for sent, ran in pairs[place:])
        if inside > tenant.allowance:
            detail = f"{tenant.name}: {inside} in a window, {tenant.allowance:g} allowed"
            yield Violation("limit-holds", detail, begin)
            return


def nobody_is_starved(record: Record) -> Iterator[Violation]:
    """A tenant below its limit is served a quarter as often as all are, at least."""
    below = [request for request in record.requests if _is_below_its_limit(request)]
    if not below:
        return
    overall = _served_share(below)
    by_tenant: defaultdict[str, list[RequestEnded]] = defaultdict(list)
    for request in below:
        by_tenant[request.tenant or ""].append(request)
    for name, requests in by_tenant.items():
        share = _served_share(requests)
        if len(requests) >= LEAST_REQUESTS and share < STARVED_SHARE * overall:
            detail = f"{name} is served {share:.2f}, all {overall:.2f}"
            yield Violation("nobody-starved", detail, requests[-1].ended_at)


def _is_below_its_limit(request: RequestEnded) -> bool:
    return bool(request.tenant) and request.tenant != "greedy"


def _served_share(requests: list[RequestEnded]) -> float:
    return sum(each.status == STATUS_OK for each in requests) / len(requests)


TENANT_CHECKS = (tenants_are_true, limits_hold, nobody_is_starved)
