"""The rate limits that a configuration tree sets for its tenants."""

from __future__ import annotations

import msgspec

from peppershore.version.model import Tree
from peppershore.version.tenants import limits_of


class Limit(msgspec.Struct, frozen=True):
    """Limit of ``rate`` calls per second and ``burst`` extra calls; rate 0: unlimited."""

    rate: float
    burst: float


def tenant_limits(tree: Tree) -> dict[str, Limit]:
    """Return the limit of each tenant by name, inherited limits included."""
    return {name: _limit_of(tree, name) for name in tree.tenants}


def _limit_of(tree: Tree, name: str) -> Limit:
    limits = limits_of(tree, name)
    return Limit(float(limits.rate_per_second), float(limits.burst))
