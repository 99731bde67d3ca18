"""Tenants as a whole configuration defines them, and the way to the tree and back."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import UNSET, UnsetType

from peppershore.version.model import Figure, Problem, Tenant, Tree, Value
from peppershore.version.tenants import check_tenant, given_limits, shared_keys


class TenantDefinition(Value, frozen=True):
    """Callers who share keys, and a limit over all nodes together.

    ``rate_per_second`` calls a second and ``burst`` on top, 0 or none for no limit;
    ``priority`` goes before that of the route.
    """

    keys: tuple[str, ...]
    rate_per_second: Figure | UnsetType = UNSET
    burst: Figure | UnsetType = UNSET
    priority: int | UnsetType = UNSET

    def __repr__(self) -> str:
        """Keep key material out of logs and tracebacks."""
        return f"TenantDefinition(keys=<{len(self.keys)} hidden>)"


TenantDefinitions = Mapping[str, TenantDefinition]


def problems_of_tenants(definitions: TenantDefinitions) -> list[Problem]:
    """Give what is wrong with tenants, each alone and all together."""
    problems: list[Problem] = []
    for name, tenant in definitions.items():
        problems += check_tenant(name, tenant)
    return problems + shared_keys({name: each.keys for name, each in definitions.items()})


def as_tenants(definitions: TenantDefinitions) -> dict[str, Tenant]:
    """Give the tenants of the tree that definitions ask for."""
    return {
        name: Tenant(each.keys, **given_limits(each)) for name, each in definitions.items()
    }


def definitions_of(tree: Tree) -> dict[str, TenantDefinition]:
    """Give the tenants of a tree as they were defined, with their keys."""
    return {
        name: TenantDefinition(tenant.keys, **given_limits(tenant))
        for name, tenant in tree.tenants.items()
    }
