"""The relay's copy of the accepted tree and the catalog derived from it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Scope, Tree, Version
from peppershore.version.tree import empty_tree, replay_edit


class TreeChange(msgspec.Struct, frozen=True):
    """A change of the tree: new version, number of edits, and what they changed.

    ``edits`` is 0 if a complete tree was loaded. ``affected`` holds the scopes (pairs of
    hosted service and zone) with nodes at this relay whose configuration changed.
    """

    version: Version
    edits: int
    affected: frozenset[Scope]


class TreeFollower:
    """Applies accepted edits and complete trees in order; the version never decreases."""

    def __init__(self, cluster: str) -> None:
        """Start with an empty tree at version 0."""
        self.tree: Tree = empty_tree(cluster)
        self.catalog = ScopeCatalog()

    @property
    def version(self) -> Version:
        """Version of the newest edit applied."""
        return self.tree.version

    def load(self, tree: Tree) -> TreeChange | None:
        """Load a complete tree.

        Return None if it belongs to another cluster or is not newer.
        """
        if tree.cluster != self.tree.cluster or tree.version <= self.version:
            return None
        self.tree = tree
        affected = self.catalog.load(tree)
        return TreeChange(tree.version, 0, frozenset(affected))

    def advance(self, edits: Iterable[CommittedEdit]) -> TreeChange | None:
        """Apply accepted edits in order, skipping those already applied.

        Return None if there was nothing new. An accepted edit that cannot be applied
        is a broken invariant.
        """
        affected: set[Scope] = set()
        count = 0
        for committed in edits:
            if committed.version <= self.version:
                continue
            applied = replay_edit(self.tree, committed.edit, committed.version)
            self.tree = applied.tree
            affected.update(self.catalog.advance(applied))
            count += 1
        if count == 0:
            return None
        return TreeChange(self.version, count, frozenset(affected))
