"""How trees are shown; secrets only by name, generations and revision."""

from __future__ import annotations

import msgspec

from peppershore.version.model import ROOT_PATH, Secret, Tree, Version
from peppershore.version.resolve import set_values


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
    """A secret as shown: everything but its material."""

    name: str
    generations: tuple[int, ...]
    signing_generation: int
    revision: Version
    rotating: bool


class TreeView(msgspec.Struct, frozen=True):
    """A tree as shown."""

    cluster: str
    version: Version
    zones: tuple[ZoneView, ...]
    nodes: tuple[NodeView, ...]
    secrets: tuple[SecretView, ...]


def view_tree(tree: Tree, below: str = ROOT_PATH) -> TreeView:
    """Give the shown form of a tree, or of the part at and below a path."""
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
    )


def view_secret(name: str, secret: Secret) -> SecretView:
    """Give the shown form of a secret."""
    return SecretView(
        name=name,
        generations=tuple(item.generation for item in secret.generations),
        signing_generation=secret.signing_generation,
        revision=secret.revision,
        rotating=secret.rotation_version != 0,
    )


def is_within(path: str, below: str) -> bool:
    """Tell whether ``path`` is ``below`` or lies under it."""
    return below in (ROOT_PATH, path) or path.startswith(below + "/")


def node_rows(view: TreeView) -> list[tuple[object, ...]]:
    """Give a row for each override: path, revision, setting, value."""
    rows: list[tuple[object, ...]] = []
    for node in view.nodes:
        if not node.overrides:
            rows.append((node.path, node.revision, "", ""))
        for name, value in node.overrides.items():
            rows.append((node.path, node.revision, name, value))
    return rows
