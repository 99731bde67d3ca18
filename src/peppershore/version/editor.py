"""The operations of an edit, applied to copies of a tree's maps."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any

import msgspec
from msgspec import UNSET
from returns.result import Failure

from peppershore.version import model
from peppershore.version.model import (
    ROOT_PATH,
    Operation,
    Overrides,
    Problem,
    Secret,
    SecretGeneration,
    Tenant,
    Tree,
    TreeNode,
    Value,
    Version,
    Zone,
)
from peppershore.version.path import Level, parse_path, service_path
from peppershore.version.resolve import set_values
from peppershore.version.tenant_keys import change_keys
from peppershore.version.tenants import given_limits
from peppershore.version.tree_index import derive_index, index_of, split_path

SECRET_SUBJECT = "secret:"
ZONE_SUBJECT = "zone:"
TENANT_SUBJECT = "tenant:"
FIRST_GENERATION = 1


class AppliedEdit(Value, frozen=True):
    """The tree after an edit, and the paths and names that the edit touched."""

    tree: Tree
    changed_paths: frozenset[str]
    changed_secrets: frozenset[str]
    changed_zones: frozenset[str]
    changed_tenants: frozenset[str] = frozenset()


class Editor:
    """Applies the operations of one edit to copies of the tree's maps."""

    def __init__(
        self, tree: Tree, change_id: str, version: Version, release: Version = 0
    ) -> None:
        """Start with the content of ``tree``, which is not changed.

        ``change_id`` and ``version`` are those of the edit. ``release`` is the number of
        the complete configuration that the edit puts in force; 0 keeps the tree's.
        """
        self._release = release or tree.release
        self.problems: list[Problem] = []
        self._before = tree
        self._version = version
        self._change_id = change_id
        self._nodes = tree.nodes
        self._secrets = tree.secrets
        self._zones = tree.zones
        self._tenants = tree.tenants
        self._paths: set[str] = set()
        self._secret_names: set[str] = set()
        self._zone_names: set[str] = set()
        self._tenant_names: set[str] = set()

    def finish(self) -> AppliedEdit:
        """Return the edited tree, with an index derived from that of the former tree."""
        after = Tree(
            cluster=self._before.cluster,
            version=self._version,
            zones=self._zones,
            nodes=self._nodes,
            secrets=self._secrets,
            release=self._release,
            tenants=self._tenants,
        )
        derive_index(self._before, after, self._paths)
        return AppliedEdit(
            tree=after,
            changed_paths=frozenset(self._paths),
            changed_secrets=frozenset(self._secret_names),
            changed_zones=frozenset(self._zone_names),
            changed_tenants=frozenset(self._tenant_names),
        )

    @singledispatchmethod
    def apply(self, operation: Operation) -> None:
        """Apply one operation; if it can't be applied, add the reasons to ``problems``."""
        raise AssertionError(f"no handler for operation {type(operation).__name__}")

    @apply.register
    def _set_overrides(self, operation: model.SetOverrides) -> None:
        path = parse_path(operation.path).value_or(None)
        if path is None:
            self._refuse(parse_path(operation.path).failure())
            return
        if path.level not in (Level.ROOT, Level.SERVICE):
            self._put_node(service_path(path.service), Overrides(), only_if_absent=True)
        self._put_node(operation.path, operation.overrides)

    @apply.register
    def _unset_overrides(self, operation: model.UnsetOverrides) -> None:
        node = self._nodes.get(operation.path)
        if node is None:
            self._refuse(Problem(operation.path, "there is no such node", ""))
            return
        for name in operation.names:
            if name not in Overrides.__struct_fields__:
                allowed = ", ".join(Overrides.__struct_fields__)
                self._refuse(Problem(operation.path, f"no setting {name!r}", allowed))
                return
            if getattr(node.overrides, name) is UNSET:
                reason = f"{name} is not set on this node"
                allowed = "settings of this node; `explain` shows where others come from"
                self._refuse(Problem(operation.path, reason, allowed))
                return
        cleared: dict[str, Any] = dict.fromkeys(operation.names, UNSET)
        overrides = msgspec.structs.replace(node.overrides, **cleared)
        self._store_node(operation.path, overrides)

    @apply.register
    def _remove_node(self, operation: model.RemoveNode) -> None:
        if operation.path == ROOT_PATH:
            self._refuse(Problem(ROOT_PATH, "the root can't be removed", "unset settings"))
            return
        removed = self._at_and_below(operation.path)
        if not removed:
            self._refuse(Problem(operation.path, "there is no such node", ""))
            return
        self._copy_nodes_once()
        for path in removed:
            del self._nodes[path]
        self._paths |= removed

    @apply.register
    def _set_zone(self, operation: model.SetZone) -> None:
        zone = Zone(operation.region, self._version, self._change_id)
        self._zones = {**self._zones, operation.name: zone}
        self._zone_names.add(operation.name)

    @apply.register
    def _remove_zone(self, operation: model.RemoveZone) -> None:
        if operation.name not in self._zones:
            subject = f"{ZONE_SUBJECT}{operation.name}"
            self._refuse(Problem(subject, "there is no such zone", ""))
            return
        kept = self._zones.items()
        self._zones = {name: zone for name, zone in kept if name != operation.name}
        self._zone_names.add(operation.name)

    @apply.register
    def _put_secret(self, operation: model.PutSecret) -> None:
        known = self._secrets.get(operation.name)
        if known is None:
            first = SecretGeneration(FIRST_GENERATION, operation.material)
            secret = Secret((first,), FIRST_GENERATION, self._version, 0, self._change_id)
        else:
            number = known.generations[-1].generation + 1
            added = SecretGeneration(number, operation.material)
            secret = Secret(
                generations=(*known.generations, added),
                signing_generation=known.signing_generation,
                revision=self._version,
                rotation_version=self._version,
                change_id=self._change_id,
            )
        self._store_secret(operation.name, secret)

    @apply.register
    def _promote_secret(self, operation: model.PromoteSecret) -> None:
        known = self._secrets.get(operation.name)
        subject = f"{SECRET_SUBJECT}{operation.name}"
        if known is None:
            self._refuse(Problem(subject, "there is no such secret", ""))
            return
        numbers = [generation.generation for generation in known.generations]
        if operation.generation not in numbers:
            reason = f"there is no generation {operation.generation}"
            self._refuse(Problem(subject, reason, f"one of {numbers}"))
            return
        position = numbers.index(operation.generation)
        is_newest = position == len(numbers) - 1
        secret = Secret(
            generations=known.generations[max(0, position - 1) :],
            signing_generation=operation.generation,
            revision=self._version,
            rotation_version=0 if is_newest else known.rotation_version,
            change_id=self._change_id,
        )
        self._store_secret(operation.name, secret)

    @apply.register
    def _remove_secret(self, operation: model.RemoveSecret) -> None:
        if operation.name not in self._secrets:
            subject = f"{SECRET_SUBJECT}{operation.name}"
            self._refuse(Problem(subject, "there is no such secret", ""))
            return
        self._copy_secrets_once()
        del self._secrets[operation.name]
        self._secret_names.add(operation.name)

    @apply.register
    def _set_tenant(self, operation: model.SetTenant) -> None:
        known = self._tenants.get(operation.name)
        keys = operation.keys
        if keys is UNSET:
            keys = () if known is None else known.keys
        self._copy_tenants_once()
        self._tenants[operation.name] = Tenant(
            keys=keys,
            **given_limits(operation),
            revision=self._version,
            change_id=self._change_id,
        )
        self._tenant_names.add(operation.name)

    @apply.register
    def _change_tenant_keys(self, operation: model.ChangeTenantKeys) -> None:
        subject = f"{TENANT_SUBJECT}{operation.name}"
        known = self._tenants.get(operation.name)
        if known is None:
            self._refuse(Problem(subject, "there is no such tenant", ""))
            return
        changed = change_keys(known.keys, operation.keys, operation.drop)
        if isinstance(changed, Failure):
            for reason in changed.failure():
                self._refuse(Problem(subject, reason, ""))
            return
        self._copy_tenants_once()
        self._tenants[operation.name] = msgspec.structs.replace(
            known,
            keys=changed.unwrap(),
            revision=self._version,
            change_id=self._change_id,
        )
        self._tenant_names.add(operation.name)

    @apply.register
    def _remove_tenant(self, operation: model.RemoveTenant) -> None:
        if operation.name not in self._tenants:
            subject = f"{TENANT_SUBJECT}{operation.name}"
            self._refuse(Problem(subject, "there is no such tenant", ""))
            return
        self._copy_tenants_once()
        del self._tenants[operation.name]
        self._tenant_names.add(operation.name)

    def _refuse(self, problem: Problem) -> None:
        self.problems.append(problem)

    def _copy_nodes_once(self) -> None:
        if self._nodes is self._before.nodes:
            self._nodes = dict(self._nodes)

    def _copy_secrets_once(self) -> None:
        if self._secrets is self._before.secrets:
            self._secrets = dict(self._secrets)

    def _copy_tenants_once(self) -> None:
        if self._tenants is self._before.tenants:
            self._tenants = dict(self._tenants)

    def _put_node(
        self, path: str, overrides: Overrides, only_if_absent: bool = False
    ) -> None:
        node = self._nodes.get(path)
        if node is None:
            self._store_node(path, overrides)
        elif not only_if_absent:
            merged = msgspec.structs.replace(node.overrides, **set_values(overrides))
            self._store_node(path, merged)

    def _store_node(self, path: str, overrides: Overrides) -> None:
        self._copy_nodes_once()
        self._nodes[path] = TreeNode(overrides, self._version, self._change_id)
        self._paths.add(path)

    def _store_secret(self, name: str, secret: Secret) -> None:
        self._copy_secrets_once()
        self._secrets[name] = secret
        self._secret_names.add(name)

    def _at_and_below(self, path: str) -> frozenset[str]:
        service = split_path(path).service
        branch = index_of(self._before).get(service)
        known = branch.paths if branch is not None else frozenset()
        candidates = known | self._paths
        return frozenset(
            each
            for each in candidates
            if (each == path or each.startswith(f"{path}/")) and each in self._nodes
        )
