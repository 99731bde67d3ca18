"""The least bytes a change could cost: compressed changed resources, once per node."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec
import zstandard

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Edit, Resource, Scope, Version
from peppershore.version.tree import apply_edit, empty_tree
from peppershore_lab.hollow.layout import FleetLayout, initial_edit, placed_nodes

COMPRESSION_LEVEL = 3


class ChangeSize(msgspec.Struct, frozen=True):
    """What one change needs: nodes, and compressed bytes over all of them."""

    nodes: int
    bytes: int


class IdealBytes:
    """Replays accepted edits in order and sizes what each of them changes."""

    def __init__(self, layout: FleetLayout, version: Version) -> None:
        """Start from the layout's first edit, accepted as ``version``."""
        self._compressor = zstandard.ZstdCompressor(COMPRESSION_LEVEL)
        self._nodes = Counter(node.scope for node in placed_nodes(layout))
        self._catalog = ScopeCatalog()
        first = apply_edit(empty_tree(layout.cluster), initial_edit(layout), version)
        self._tree = first.unwrap().tree
        self._catalog.load(self._tree)
        for scope in self._nodes:
            self._catalog.use(scope)

    def size(self, edit: Edit, version: Version, scopes: Iterable[Scope]) -> ChangeSize:
        """Apply the next edit; give what the nodes of ``scopes`` need for it."""
        held = {
            scope: self._catalog.digest(scope) for scope in scopes if scope in self._nodes
        }
        before = self._tree.version
        applied = apply_edit(self._tree, edit, version).unwrap()
        self._tree = applied.tree
        self._catalog.advance(applied)
        nodes = 0
        total = 0
        for scope, digest in held.items():
            update = self._catalog.update_since(scope, before, digest)
            assert update is not None, f"{scope} does not need {edit.change_id}"
            nodes += self._nodes[scope]
            total += self._nodes[scope] * self._compressed(update.changed)
        return ChangeSize(nodes, total)

    def _compressed(self, resources: Iterable[Resource]) -> int:
        content = b"".join(
            resource.name.encode() + resource.payload for resource in resources
        )
        return len(self._compressor.compress(content))
