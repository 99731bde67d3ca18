"""The limits that a tree sets for its tenants."""

from __future__ import annotations

import msgspec

from peppershore.version.model import Tenant, Tree


class Limit(msgspec.Struct, frozen=True):
    """``rate`` calls a second and ``burst`` on top; a rate of 0 is no limit."""

    rate: float
    burst: float


def tenant_limits(tree: Tree) -> dict[str, Limit]:
    """Give the limit of each tenant by its name."""
    return {name: _limit_of(tenant) for name, tenant in tree.tenants.items()}


def _limit_of(tenant: Tenant) -> Limit:
    rate, burst = tenant.rate_per_second, tenant.burst
    return Limit(
        0.0 if isinstance(rate, msgspec.UnsetType) else rate,
        0.0 if isinstance(burst, msgspec.UnsetType) else burst,
    )
