"""The catalog: the snapshot of every scope in use, kept up edit by edit.

A scope's resources are the hosted service and the services it calls, with
their routes in the scope's zone; the services those routes go to; and the
secrets those routes verify and the hosted service signs with.  All tenants
belong to every scope that has anything.

The work of one edit grows with what it changes: the services it touched are
resolved again, once per zone in which they differ, and the scopes that hold a
resource whose bytes changed are put together again from shared parts.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from peppershore.version.editor import AppliedEdit
from peppershore.version.model import (
    ANY_ZONE,
    ROOT_PATH,
    Digest,
    Scope,
    Snapshot,
    Tree,
    Update,
    Value,
    Version,
)
from peppershore.version.resource_tables import GroupKey, TouchedZones
from peppershore.version.scope_contents import (
    EncodedTables,
    HolderIndex,
    collect_contents,
)
from peppershore.version.scope_state import ScopeState
from peppershore.version.tree import empty_tree
from peppershore.version.tree_index import index_of, split_path


class _Changed(Value, frozen=True):
    """What encodes otherwise than before."""

    groups: set[GroupKey]
    secrets: set[str]
    any_tenant: bool


class ScopeCatalog:
    """Snapshots and updates of all scopes in use, at the tree's version.

    A scope comes into use with the first question about it and stays so until
    it is forgotten.  Deltas reach back to when the scope came into use.
    """

    def __init__(self) -> None:
        """Begin with an empty tree; ``load`` gives the real one."""
        self._tree = empty_tree("")
        self._tables = EncodedTables()
        self._states: dict[Scope, ScopeState] = {}
        self._holders = HolderIndex()
        self._last_affected: tuple[Scope, ...] = ()

    @property
    def tree(self) -> Tree:
        """The tree that all answers come from."""
        return self._tree

    @property
    def version(self) -> Version:
        """The version of the tree."""
        return self._tree.version

    @property
    def scopes(self) -> tuple[Scope, ...]:
        """The scopes in use."""
        return tuple(self._states)

    def load(self, tree: Tree) -> tuple[Scope, ...]:
        """Take a whole tree; give the scopes in use whose digest changed.

        Scopes in use keep their history, so that a catalog which fell behind
        the log still gives deltas.  The version may not go back.
        """
        if tree.version < self._tree.version:
            raise AssertionError(f"{tree.version} is below {self._tree.version}")
        former = self._tree
        self._tree = tree
        secrets = self._tables.secrets
        changed = _Changed(
            groups=self._tables.groups.refresh(tree, self._all_groups()),
            secrets=secrets.refresh(tree, secrets.names),
            any_tenant=self._tables.tenants.refresh_all(tree),
        )
        return self._put_together(former, changed)

    def advance(self, applied: AppliedEdit) -> tuple[Scope, ...]:
        """Take the next edit; give the scopes in use whose digest changed."""
        return self.advance_all((applied,))

    def advance_all(self, edits: Sequence[AppliedEdit]) -> tuple[Scope, ...]:
        """Take the next edits at once; give the scopes in use whose digest changed.

        Costs what one edit that touches the same costs.  The digests between
        the edits are not known afterwards: a holder of one gets full state.
        """
        former = self._tree
        for applied in edits:
            if applied.tree.version <= self._tree.version:
                raise AssertionError(
                    f"{applied.tree.version} does not follow {self._tree.version}"
                )
            self._tree = applied.tree
        paths = frozenset().union(*(applied.changed_paths for applied in edits))
        secrets = frozenset().union(*(applied.changed_secrets for applied in edits))
        tenants = frozenset().union(*(applied.changed_tenants for applied in edits))
        changed = _Changed(
            groups=self._tables.groups.refresh(self._tree, self._touched_groups(paths)),
            secrets=self._tables.secrets.refresh(self._tree, secrets),
            any_tenant=self._refresh_tenants(paths, tenants),
        )
        return self._put_together(former, changed)

    def affected(self, applied: AppliedEdit) -> tuple[Scope, ...]:
        """Give the scopes in use whose digest the newest edit changed."""
        if applied.tree.version != self._tree.version:
            raise AssertionError("only the newest edit's scopes are known")
        return self._last_affected

    def use(self, scope: Scope) -> None:
        """Keep a scope up to date from now on, so that deltas reach back to now."""
        self._state(scope)

    def forget(self, scope: Scope) -> None:
        """Stop keeping a scope that nobody uses."""
        state = self._states.pop(scope, None)
        if state is not None:
            self._holders.remove(scope)

    def snapshot(self, scope: Scope) -> Snapshot:
        """Give all that a node of a scope must hold."""
        state = self._state(scope)
        resources = {name: entry.resource for name, entry in state.entries.items()}
        return Snapshot(scope, self.version, state.digest, resources)

    def digest(self, scope: Scope) -> Digest:
        """Give the digest of a scope's snapshot."""
        return self._state(scope).digest

    def changed_at(self, scope: Scope) -> Version:
        """Give the version at which a scope got its present digest.

        For a scope that has not changed since it came into use, it is the
        version of that moment.
        """
        return self._state(scope).changed_at

    def services_held(self, scope: Scope) -> frozenset[str]:
        """Give the services a node of a scope holds, so whose endpoints it needs."""
        self._state(scope)
        return self._holders.services_of(scope)

    def update_since(self, scope: Scope, version: Version, digest: Digest) -> Update | None:
        """Give what a holder lacks; None if it lacks nothing.

        The holder's digest says what it holds: equal to the scope's, it lacks
        nothing, whatever its version; one of the scope's former digests, it
        gets the difference; any other, it gets full state.  A holder above the
        catalog's version gets nothing: what is here is older than what it has.
        """
        state = self._state(scope)
        if version > self.version:
            return None
        return state.update_since(digest, self.version)

    def _state(self, scope: Scope) -> ScopeState:
        state = self._states.get(scope)
        if state is None:
            contents = collect_contents(self._tree, scope, self._tables)
            self._holders.set(scope, contents)
            state = ScopeState(scope, contents.entries, self.version)
            self._states[scope] = state
        return state

    def _all_groups(self) -> TouchedZones:
        return dict.fromkeys(self._tables.groups.services, frozenset({ANY_ZONE}))

    def _refresh_tenants(self, paths: frozenset[str], names: frozenset[str]) -> bool:
        """Encode tenants again that an edit touched; all of them inherit from the root."""
        if ROOT_PATH in paths:
            return self._tables.tenants.refresh_all(self._tree)
        return self._tables.tenants.refresh(self._tree, names)

    def _touched_groups(self, changed_paths: frozenset[str]) -> TouchedZones:
        if ROOT_PATH in changed_paths:
            return self._all_groups()
        zones: dict[str, set[str]] = defaultdict(set)
        for text in changed_paths:
            path = split_path(text)
            zones[path.service].add(path.zone or ANY_ZONE)
        return {service: frozenset(names) for service, names in zones.items()}

    def _put_together(self, former: Tree, changed: _Changed) -> tuple[Scope, ...]:
        """Put together the scopes that hold what changed; give those that differ.

        A scope that holds every service is also concerned by one that is new, which
        nobody holds yet; every scope by tenants.
        """
        affected = []
        concerned = self._holders.holders_of(changed.groups, changed.secrets)
        is_new = index_of(former).keys() != index_of(self._tree).keys()
        if changed.any_tenant or is_new:
            concerned |= self._states.keys()
        for scope in sorted(concerned):
            contents = collect_contents(self._tree, scope, self._tables)
            self._holders.set(scope, contents)
            if self._states[scope].replace(contents.entries, self.version):
                affected.append(scope)
        self._last_affected = tuple(affected)
        return self._last_affected
