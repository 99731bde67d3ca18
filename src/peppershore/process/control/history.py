"""Accepted edits that are retained, and the older trees that they lead back to."""

from __future__ import annotations

from collections import deque
from typing import TypeVar

import msgspec

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.model import Edit, Secret, Tenant, Tree, TreeNode, Version, Zone
from peppershore.version.tree import AppliedEdit

_Value = TypeVar("_Value")


class TreeReversal(msgspec.Struct, frozen=True, array_like=True):
    """Former values of all that an edit changed in the tree, by path or name.

    None stands for something that did not exist. ``version`` is that of the tree before.
    """

    version: Version
    nodes: dict[str, TreeNode | None]
    secrets: dict[str, Secret | None]
    zones: dict[str, Zone | None]
    release: Version = 0
    tenants: dict[str, Tenant | None] = {}


class KeptEdit(msgspec.Struct, frozen=True, array_like=True):
    """An accepted edit, its version, and what restores the tree before it."""

    version: Version
    edit: Edit
    reversal: TreeReversal


class History:
    """The newest accepted edits, and how to undo each of them in the tree."""

    def __init__(self, capacity: int) -> None:
        """Retain up to ``capacity`` edits."""
        self._retained: deque[KeptEdit] = deque(maxlen=capacity)
        self._base_version: Version = 0
        """Version of the oldest tree that can still be restored."""

    @property
    def base_version(self) -> Version:
        """Version of the oldest tree that can be restored; all later edits are retained."""
        return self._base_version

    def add(self, edit: Edit, before: Tree, applied: AppliedEdit) -> None:
        """Add the edit that changed the tree ``before`` into ``applied``."""
        if len(self._retained) == self._retained.maxlen:
            self._base_version = self._retained[0].version
        reversal = _reversal(before, applied)
        self._retained.append(KeptEdit(applied.tree.version, edit, reversal))

    def edits_after(self, version: Version) -> tuple[CommittedEdit, ...]:
        """Return all retained edits after ``version``, oldest first."""
        found: list[CommittedEdit] = []
        for retained in reversed(self._retained):
            if retained.version <= version:
                break
            found.append(CommittedEdit(retained.version, retained.edit))
        found.reverse()
        return tuple(found)

    def tree_at(self, current: Tree, version: Version) -> Tree | None:
        """Return the tree as it was at ``version``, or None if that is not retained."""
        if not self._base_version <= version <= current.version:
            return None
        nodes = dict(current.nodes)
        secrets = dict(current.secrets)
        zones = dict(current.zones)
        tenants = dict(current.tenants)
        reached = current.version
        release = current.release
        for retained in reversed(self._retained):
            if retained.version <= version:
                break
            _restore_values(nodes, retained.reversal.nodes)
            _restore_values(secrets, retained.reversal.secrets)
            _restore_values(zones, retained.reversal.zones)
            _restore_values(tenants, retained.reversal.tenants)
            reached = retained.reversal.version
            release = retained.reversal.release
        return Tree(current.cluster, reached, zones, nodes, secrets, release, tenants)

    def retained_edits(self) -> tuple[KeptEdit, ...]:
        """Return all retained edits, oldest first."""
        return tuple(self._retained)

    def restore(self, base_version: Version, retained: tuple[KeptEdit, ...]) -> None:
        """Replace the history by that of a snapshot: the edits after ``base_version``."""
        self._base_version = base_version
        self._retained = deque(retained, maxlen=self._retained.maxlen)


def _reversal(before: Tree, applied: AppliedEdit) -> TreeReversal:
    return TreeReversal(
        before.version,
        {path: before.nodes.get(path) for path in sorted(applied.changed_paths)},
        {name: before.secrets.get(name) for name in sorted(applied.changed_secrets)},
        {name: before.zones.get(name) for name in sorted(applied.changed_zones)},
        before.release,
        {name: before.tenants.get(name) for name in sorted(applied.changed_tenants)},
    )


def _restore_values(values: dict[str, _Value], former: dict[str, _Value | None]) -> None:
    for name, value in former.items():
        if value is None:
            values.pop(name, None)
        else:
            values[name] = value
