"""The relay's copy of the accepted tree and the catalog made from it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Scope, Tree, Version
from peppershore.version.tree import empty_tree, replay_edit


class TreeChange(msgspec.Struct, frozen=True):
    """The tree moved on: how, and which scopes in use differ from before."""

    version: Version
    edits: int
    affected: frozenset[Scope]


class TreeFollower:
    """Takes accepted edits and whole trees in order; never goes back."""

    def __init__(self, cluster: str) -> None:
        """Begin with the empty tree at version 0."""
        self.tree: Tree = empty_tree(cluster)
        self.catalog = ScopeCatalog()

    @property
    def version(self) -> Version:
        """Version of the newest edit taken."""
        return self.tree.version

    def load(self, tree: Tree) -> TreeChange | None:
        """Take a whole tree, unless it is of another cluster or not newer."""
        if tree.cluster != self.tree.cluster or tree.version <= self.version:
            return None
        self.tree = tree
        affected = self.catalog.load(tree)
        return TreeChange(tree.version, 0, frozenset(affected))

    def advance(self, edits: Iterable[CommittedEdit]) -> TreeChange | None:
        """Take accepted edits in order; those taken before are passed over.

        An accepted edit that does not apply is a broken invariant.
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
