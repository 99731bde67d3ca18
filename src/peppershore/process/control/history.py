"""Accepted edits that are kept, and the older trees they lead back to."""

from __future__ import annotations

from collections import deque
from typing import TypeVar

import msgspec

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.model import Edit, Secret, Tenant, Tree, TreeNode, Version, Zone
from peppershore.version.tree import AppliedEdit

_Kept = TypeVar("_Kept")


class TreeReversal(msgspec.Struct, frozen=True, array_like=True):
    """What stood in the tree before an edit where the edit changed it; None: nothing."""

    version: Version
    nodes: dict[str, TreeNode | None]
    secrets: dict[str, Secret | None]
    zones: dict[str, Zone | None]
    release: Version = 0
    tenants: dict[str, Tenant | None] = {}


class KeptEdit(msgspec.Struct, frozen=True, array_like=True):
    """An accepted edit, its version, and the way back to the tree before it."""

    version: Version
    edit: Edit
    reversal: TreeReversal


class History:
    """The newest accepted edits, oldest first."""

    def __init__(self, capacity: int) -> None:
        """Keep up to ``capacity`` edits."""
        self._kept: deque[KeptEdit] = deque(maxlen=capacity)
        self._base_version: Version = 0
        """Version of the oldest tree that can still be given."""

    @property
    def base_version(self) -> Version:
        """Edits after this version are all kept."""
        return self._base_version

    def add(self, edit: Edit, before: Tree, applied: AppliedEdit) -> None:
        """Keep the edit that made ``applied`` from ``before``."""
        if len(self._kept) == self._kept.maxlen:
            self._base_version = self._kept[0].version
        reversal = _reversal(before, applied)
        self._kept.append(KeptEdit(applied.tree.version, edit, reversal))

    def edits_after(self, version: Version) -> tuple[CommittedEdit, ...]:
        """All kept edits after ``version``, oldest first."""
        found: list[CommittedEdit] = []
        for kept in reversed(self._kept):
            if kept.version <= version:
                break
            found.append(CommittedEdit(kept.version, kept.edit))
        found.reverse()
        return tuple(found)

    def tree_at(self, current: Tree, version: Version) -> Tree | None:
        """The tree as it was at ``version``; None if that is not kept."""
        if not self._base_version <= version <= current.version:
            return None
        nodes = dict(current.nodes)
        secrets = dict(current.secrets)
        zones = dict(current.zones)
        tenants = dict(current.tenants)
        reached = current.version
        release = current.release
        for kept in reversed(self._kept):
            if kept.version <= version:
                break
            _put_back(nodes, kept.reversal.nodes)
            _put_back(secrets, kept.reversal.secrets)
            _put_back(zones, kept.reversal.zones)
            _put_back(tenants, kept.reversal.tenants)
            reached = kept.reversal.version
            release = kept.reversal.release
        return Tree(current.cluster, reached, zones, nodes, secrets, release, tenants)

    def all_kept(self) -> tuple[KeptEdit, ...]:
        """Everything kept, oldest first."""
        return tuple(self._kept)

    def restore(self, base_version: Version, kept: tuple[KeptEdit, ...]) -> None:
        """Replace the history by one that was encoded before."""
        self._base_version = base_version
        self._kept = deque(kept, maxlen=self._kept.maxlen)


def _reversal(before: Tree, applied: AppliedEdit) -> TreeReversal:
    return TreeReversal(
        before.version,
        {path: before.nodes.get(path) for path in sorted(applied.changed_paths)},
        {name: before.secrets.get(name) for name in sorted(applied.changed_secrets)},
        {name: before.zones.get(name) for name in sorted(applied.changed_zones)},
        before.release,
        {name: before.tenants.get(name) for name in sorted(applied.changed_tenants)},
    )


def _put_back(values: dict[str, _Kept], former: dict[str, _Kept | None]) -> None:
    for name, value in former.items():
        if value is None:
            values.pop(name, None)
        else:
            values[name] = value
