"""A node's admin page that shows what it really holds; secrets by name only."""

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
    """A secret as shown: everything but its material."""

    name: str
    generations: tuple[int, ...]
    signing_generation: int


class HeldConfiguration(msgspec.Struct, frozen=True):
    """What one node holds; version 0 means that it holds nothing yet."""

    node: str
    scope: Scope | None = None
    version: Version = 0
    digest: Digest = 0
    routes: tuple[RouteResource, ...] = ()
    services: dict[str, ServiceSettings] = {}
    secrets: tuple[HeldSecret, ...] = ()


def view_configuration(node: str, active: ActiveConfiguration | None) -> HeldConfiguration:
    """Give the shown form of a node's configuration."""
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
    )


def configuration_page(node: str, active: ActiveConfiguration | None) -> Page:
    """Give the page as JSON."""
    return Page(msgspec.json.encode(view_configuration(node, active)), JSON)
