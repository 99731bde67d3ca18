"""Trees as shown, without key material.

Secrets are shown by name, generations and revision, tenants' keys by fingerprint.
"""

from __future__ import annotations

import msgspec

from peppershore.version.model import ROOT_PATH, Secret, Tenant, Tree, Version
from peppershore.version.resolve import set_values
from peppershore.version.tenants import LIMIT_NAMES, given_limits, key_fingerprint


class NodeView(msgspec.Struct, frozen=True):
    """One node of the tree as shown."""

    path: str
    revision: Version
    overrides: dict[str, object]


class ZoneView(msgspec.Struct, frozen=True):
    """One zone as shown."""

    name: str
    region: str
    revision: Version


class SecretView(msgspec.Struct, frozen=True):
    """A secret as shown, without its material."""

    name: str
    generations: tuple[int, ...]
    signing_generation: int
    revision: Version
    rotating: bool


class TenantView(msgspec.Struct, frozen=True):
    """A tenant as shown: the limits that it sets itself, and its key fingerprints."""

    name: str
    limits: dict[str, object]
    fingerprints: tuple[str, ...]
    revision: Version


class TreeView(msgspec.Struct, frozen=True):
    """A tree as shown."""

    cluster: str
    version: Version
    zones: tuple[ZoneView, ...]
    nodes: tuple[NodeView, ...]
    secrets: tuple[SecretView, ...]
    tenants: tuple[TenantView, ...] = ()


def view_tree(tree: Tree, below: str = ROOT_PATH) -> TreeView:
    """Return the view of a tree, with only the nodes at and below a path."""
    return TreeView(
        cluster=tree.cluster,
        version=tree.version,
        zones=tuple(
            ZoneView(name, zone.region, zone.revision)
            for name, zone in sorted(tree.zones.items())
        ),
        nodes=tuple(
            NodeView(path, node.revision, set_values(node.overrides))
            for path, node in sorted(tree.nodes.items())
            if is_within(path, below)
        ),
        secrets=tuple(
            view_secret(name, secret) for name, secret in sorted(tree.secrets.items())
        ),
        tenants=tuple(
            view_tenant(name, tenant) for name, tenant in sorted(tree.tenants.items())
        ),
    )


def view_secret(name: str, secret: Secret) -> SecretView:
    """Return the view of a secret."""
    return SecretView(
        name=name,
        generations=tuple(item.generation for item in secret.generations),
        signing_generation=secret.signing_generation,
        revision=secret.revision,
        rotating=secret.rotation_version != 0,
    )


def view_tenant(name: str, tenant: Tenant) -> TenantView:
    """Return the view of a tenant."""
    return TenantView(
        name=name,
        limits=given_limits(tenant),
        fingerprints=tuple(key_fingerprint(key) for key in tenant.keys),
        revision=tenant.revision,
    )


def is_within(path: str, below: str) -> bool:
    """Return whether ``path`` equals ``below`` or is under it."""
    return below in (ROOT_PATH, path) or path.startswith(below + "/")


TENANT_HEADER = ("TENANT", "RATE", "BURST", "PRIORITY", "KEYS", "REVISION")


def tenant_rows(tenants: tuple[TenantView, ...]) -> list[tuple[object, ...]]:
    """Return a row for each tenant with the limits it sets; the rest is inherited."""
    return [
        (
            item.name,
            *(item.limits.get(name, "") for name in LIMIT_NAMES),
            item.fingerprints,
            item.revision,
        )
        for item in tenants
    ]


def node_rows(view: TreeView) -> list[tuple[object, ...]]:
    """Return a row for each override: path, revision, setting, value."""
    rows: list[tuple[object, ...]] = []
    for node in view.nodes:
        if not node.overrides:
            rows.append((node.path, node.revision, "", ""))
        for name, value in node.overrides.items():
            rows.append((node.path, node.revision, name, value))
    return rows
