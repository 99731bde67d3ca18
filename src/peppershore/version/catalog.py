"""The catalog: the snapshots of all scopes in use, updated with each edit.

A scope stands for all nodes (proxies) that host the same service in the same zone and
share one snapshot.

A scope has these resources: the hosted service and the services it calls, with
their routes in the scope's zone; the services that are targets of those routes;
and the secrets with which those routes verify tokens and the hosted service signs
them. Every scope that has any resource also has all tenants.

The cost of an edit is proportional to what it changes. The services that it
touched are resolved again, once per zone in which they differ, and the scopes
that hold a resource whose encoding changed are rebuilt from shared entries.
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


class _ChangedResources(Value, frozen=True):
    """The resources whose encoding an edit changed.

    ``groups`` names services by zone, ``secrets`` are names; ``any_tenant`` is true if any
    tenant changed.
    """

    groups: set[GroupKey]
    secrets: set[str]
    any_tenant: bool


class ScopeCatalog:
    """Snapshots and updates of all scopes in use, at the tree's version.

    A scope is in use from the first request for it until ``forget``. Deltas can
    start from any digest in the scope's history, which begins when the scope comes into
    use.
    """

    def __init__(self) -> None:
        """Start with an empty tree; ``load`` replaces it."""
        self._tree = empty_tree("")
        self._tables = EncodedTables()
        self._states: dict[Scope, ScopeState] = {}
        self._holders = HolderIndex()
        self._last_affected: tuple[Scope, ...] = ()

    @property
    def tree(self) -> Tree:
        """Newest tree that was loaded or reached by edits."""
        return self._tree

    @property
    def version(self) -> Version:
        """Version of the tree."""
        return self._tree.version

    @property
    def scopes(self) -> tuple[Scope, ...]:
        """Scopes in use."""
        return tuple(self._states)

    def load(self, tree: Tree) -> tuple[Scope, ...]:
        """Replace the tree; return the scopes in use whose digest changed.

        Scopes in use keep their history, so that a catalog that fell behind the
        log can still produce deltas. Raise AssertionError if the version is lower
        than that of the present tree.
        """
        if tree.version < self._tree.version:
            raise AssertionError(f"{tree.version} is below version {self._tree.version}")
        former = self._tree
        self._tree = tree
        secrets = self._tables.secrets
        changed = _ChangedResources(
            groups=self._tables.groups.refresh(tree, self._all_groups()),
            secrets=secrets.refresh(tree, secrets.names),
            any_tenant=self._tables.tenants.refresh_all(tree),
        )
        return self._rebuild_scopes(former, changed)

    def advance(self, applied: AppliedEdit) -> tuple[Scope, ...]:
        """Apply the next edit; return the scopes in use whose digest changed."""
        return self.advance_all((applied,))

    def advance_all(self, edits: Sequence[AppliedEdit]) -> tuple[Scope, ...]:
        """Apply the next edits together; return the scopes in use whose digest changed.

        The cost is that of one edit with the same changes. The digests between the
        edits are not recorded: a holder of one of them gets full state. Raise
        AssertionError if the versions do not rise.
        """
        former = self._tree
        for applied in edits:
            if applied.tree.version <= self._tree.version:
                raise AssertionError(
                    f"{applied.tree.version} is not above version {self._tree.version}"
                )
            self._tree = applied.tree
        paths = frozenset().union(*(applied.changed_paths for applied in edits))
        secrets = frozenset().union(*(applied.changed_secrets for applied in edits))
        tenants = frozenset().union(*(applied.changed_tenants for applied in edits))
        changed = _ChangedResources(
            groups=self._tables.groups.refresh(self._tree, self._touched_groups(paths)),
            secrets=self._tables.secrets.refresh(self._tree, secrets),
            any_tenant=self._refresh_tenants(paths, tenants),
        )
        return self._rebuild_scopes(former, changed)

    def affected(self, applied: AppliedEdit) -> tuple[Scope, ...]:
        """Return the scopes in use whose digest the newest edit changed.

        Raise AssertionError if ``applied`` is not the newest edit.
        """
        if applied.tree.version != self._tree.version:
            raise AssertionError("affected scopes are known only for the newest edit")
        return self._last_affected

    def use(self, scope: Scope) -> None:
        """Start to track a scope, so that updates can start from its present state."""
        self._state(scope)

    def forget(self, scope: Scope) -> None:
        """Stop tracking a scope; its history is lost."""
        state = self._states.pop(scope, None)
        if state is not None:
            self._holders.remove(scope)

    def snapshot(self, scope: Scope) -> Snapshot:
        """Return the complete configuration of a node of this scope."""
        state = self._state(scope)
        resources = {name: entry.resource for name, entry in state.entries.items()}
        return Snapshot(scope, self.version, state.digest, resources)

    def digest(self, scope: Scope) -> Digest:
        """Return the digest of a scope's snapshot."""
        return self._state(scope).digest

    def changed_at(self, scope: Scope) -> Version:
        """Return the version at which a scope's snapshot last changed.

        For one that has not changed since this catalog began to track the scope (a pair of
        hosted service and zone), that is the version at that time.
        """
        return self._state(scope).changed_at

    def services_held(self, scope: Scope) -> frozenset[str]:
        """Return the services that a node of a scope holds.

        These are the services whose endpoints the node needs.
        """
        self._state(scope)
        return self._holders.services_of(scope)

    def update_since(self, scope: Scope, version: Version, digest: Digest) -> Update | None:
        """Return the update that a holder needs; None if it needs none.

        The holder's digest determines the update. If it equals the scope's present
        digest, the holder needs none, whatever its version. If it is one of the
        scope's former digests, the holder gets the difference. For any other digest
        it gets full state. A holder whose version is above the catalog's gets no
        update, because the catalog's state is older than the holder's.
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
        """Encode again the tenants ``names``; report whether any changed.

        If ``paths`` has the root, all tenants are encoded, because they inherit from it.
        """
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

    def _rebuild_scopes(
        self, former: Tree, changed: _ChangedResources
    ) -> tuple[Scope, ...]:
        """Rebuild the scopes that hold what changed; return those whose digest changed.

        A service that is new or removed may concern scopes that hold every service,
        and the index of holders does not list a new one yet. A change of the set of
        services therefore rebuilds every scope in use, and so does a change of tenants.
        """
        affected = []
        concerned = self._holders.holders_of(changed.groups, changed.secrets)
        services_differ = index_of(former).keys() != index_of(self._tree).keys()
        if changed.any_tenant or services_differ:
            concerned |= self._states.keys()
        for scope in sorted(concerned):
            contents = collect_contents(self._tree, scope, self._tables)
            self._holders.set(scope, contents)
            if self._states[scope].replace(contents.entries, self.version):
                affected.append(scope)
        self._last_affected = tuple(affected)
        return self._last_affected
