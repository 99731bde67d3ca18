"""Admin page that shows the active configuration of a node, without key material."""

from __future__ import annotations

import msgspec

from peppershore.process.admin_http import JSON, Page
from peppershore.version.active import ActiveConfiguration
from peppershore.version.model import (
    Digest,
    RouteResource,
    Scope,
    ServiceSettings,
    Version,
)

CONFIGURATION_PATH = "/configuration"


class HeldSecret(msgspec.Struct, frozen=True):
    """A secret of the configuration as shown on the page, without its key material."""

    name: str
    generations: tuple[int, ...]
    signing_generation: int


class HeldTenant(msgspec.Struct, frozen=True):
    """A tenant as shown on the page: the number of its keys, its limit and priority.

    A ``rate_per_second`` of 0 means no limit; a ``priority`` of None means that of the
    route.
    """

    name: str
    key_count: int
    rate_per_second: float
    burst: float
    priority: int | None


class HeldConfiguration(msgspec.Struct, frozen=True):
    """The active configuration of one node; version 0 means that it has none yet."""

    node: str
    scope: Scope | None = None
    version: Version = 0
    digest: Digest = 0
    routes: tuple[RouteResource, ...] = ()
    services: dict[str, ServiceSettings] = {}
    secrets: tuple[HeldSecret, ...] = ()
    tenants: tuple[HeldTenant, ...] = ()


def view_configuration(node: str, active: ActiveConfiguration | None) -> HeldConfiguration:
    """Return a node's configuration in the form shown on its admin page."""
    if active is None:
        return HeldConfiguration(node)
    return HeldConfiguration(
        node=node,
        scope=active.scope,
        version=active.version,
        digest=active.digest,
        routes=active.routes,
        services=active.services,
        secrets=tuple(
            HeldSecret(
                name=name,
                generations=tuple(item.generation for item in secret.generations),
                signing_generation=secret.signing_generation,
            )
            for name, secret in sorted(active.secrets.items())
        ),
        tenants=tuple(
            HeldTenant(
                name=name,
                key_count=len(tenant.key_digests),
                rate_per_second=tenant.rate_per_second,
                burst=tenant.burst,
                priority=tenant.priority,
            )
            for name, tenant in sorted(active.tenants.items())
        ),
    )


def configuration_page(node: str, active: ActiveConfiguration | None) -> Page:
    """Return the configuration of ``node`` as a JSON page."""
    return Page(msgspec.json.encode(view_configuration(node, active)), JSON)
