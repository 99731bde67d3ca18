"""Tenants in a complete configuration, and their conversion to and from the tree."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import UNSET, UnsetType

from peppershore.version.model import Figure, Problem, Tenant, Tree, Value
from peppershore.version.tenants import check_tenant, given_limits, shared_keys


class TenantDefinition(Value, frozen=True):
    """Callers who share keys, and a rate limit that holds over all nodes together.

    The limit is ``rate_per_second`` calls per second plus a burst of ``burst`` calls; a
    rate of 0 or an unset one means no limit. ``priority`` overrides the priority of
    the route.
    """

    keys: tuple[str, ...]
    rate_per_second: Figure | UnsetType = UNSET
    burst: Figure | UnsetType = UNSET
    priority: int | UnsetType = UNSET

    def __repr__(self) -> str:
        """Return a text without key material, for logs and tracebacks."""
        return f"TenantDefinition(keys=<{len(self.keys)} hidden>)"


TenantDefinitions = Mapping[str, TenantDefinition]


def find_tenant_problems(definitions: TenantDefinitions) -> list[Problem]:
    """Return the problems of each tenant, and the keys that tenants share."""
    problems: list[Problem] = []
    for name, tenant in definitions.items():
        problems += check_tenant(name, tenant)
    return problems + shared_keys({name: each.keys for name, each in definitions.items()})


def to_tenants(definitions: TenantDefinitions) -> dict[str, Tenant]:
    """Convert definitions to tenants of the tree."""
    return {
        name: Tenant(each.keys, **given_limits(each)) for name, each in definitions.items()
    }


def definitions_of(tree: Tree) -> dict[str, TenantDefinition]:
    """Return the definitions of the tenants of a tree, with their keys."""
    return {
        name: TenantDefinition(tenant.keys, **given_limits(tenant))
        for name, tenant in tree.tenants.items()
    }
