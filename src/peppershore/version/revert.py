"""Operations that restore the content of another tree, as a new version.

Versions only rise: to restore an older tree, an operator edits the newest one.
Key material is not restored: a secret that both trees have does not change, because a
key may have been replaced after it became known to others. For the same reason the
keys of a tenant that both trees have do not change: a key that was removed is not added
again. Only a complete configuration, which lists the keys of each tenant, sets them.
"""

from __future__ import annotations

from msgspec import UNSET

from peppershore.version.model import (
    Operation,
    PromoteSecret,
    PutSecret,
    RemoveNode,
    RemoveSecret,
    RemoveTenant,
    RemoveZone,
    Secret,
    SetOverrides,
    SetTenant,
    SetZone,
    Tenant,
    Tree,
    UnsetOverrides,
)
from peppershore.version.resolve import set_values
from peppershore.version.rollout import without_rollout
from peppershore.version.tenants import given_limits

GENERATIONS_BEFORE_SIGNING = 1


def revert_operations(
    current: Tree, older: Tree, *, with_keys: bool = False
) -> tuple[Operation, ...]:
    """Return the operations that make ``current`` equal to ``older``.

    Secrets that both trees have do not change. The keys of tenants that both trees have
    are replaced only if ``with_keys``. The result is empty if there is nothing to
    change. All operations belong in one edit.
    """
    return (
        *_zone_operations(current, older),
        *_secret_operations(current, older),
        *_node_operations(current, older),
        *_tenant_operations(current, older, with_keys),
        *(RemoveSecret(name) for name in sorted(current.secrets.keys() - older.secrets)),
        *(RemoveZone(name) for name in sorted(current.zones.keys() - older.zones)),
    )


def _zone_operations(current: Tree, older: Tree) -> list[Operation]:
    operations: list[Operation] = []
    for name, zone in sorted(older.zones.items()):
        known = current.zones.get(name)
        if known is None or known.region != zone.region:
            operations.append(SetZone(name, zone.region))
    return operations


def _secret_operations(current: Tree, older: Tree) -> list[Operation]:
    operations: list[Operation] = []
    for name in sorted(older.secrets.keys() - current.secrets):
        operations += _create_secret(name, older.secrets[name])
    return operations


def _create_secret(name: str, secret: Secret) -> list[Operation]:
    """Return the operations that create a secret.

    They start with the generation before the signing one.
    """
    numbers = [each.generation for each in secret.generations]
    signing = numbers.index(secret.signing_generation)
    first = max(0, signing - GENERATIONS_BEFORE_SIGNING)
    operations: list[Operation] = [
        PutSecret(name, each.material) for each in secret.generations[first:]
    ]
    if first < signing:
        operations.append(PromoteSecret(name, 1 + signing - first))
    return operations


def _tenant_operations(current: Tree, older: Tree, with_keys: bool) -> list[Operation]:
    removed = sorted(current.tenants.keys() - older.tenants)
    operations: list[Operation] = [RemoveTenant(name) for name in removed]
    for name, tenant in sorted(older.tenants.items()):
        known = current.tenants.get(name)
        has_keys = known is not None and (not with_keys or known.keys == tenant.keys)
        if known is None or not has_keys or _limits_text(known) != _limits_text(tenant):
            keys = UNSET if has_keys else tenant.keys
            operations.append(SetTenant(name, keys=keys, **given_limits(tenant)))
    return operations


def _limits_text(tenant: Tenant) -> str:
    """Return the limits that a tenant sets, as text for a comparison.

    350 and 350.0 differ, because a number is returned to operators as it was sent.
    """
    return repr(given_limits(tenant))


def _node_operations(current: Tree, older: Tree) -> list[Operation]:
    removed = _topmost(current.nodes.keys() - older.nodes)
    removed_paths = (
        {path for path in current.nodes if _is_below(path, removed)} if removed else ()
    )
    operations: list[Operation] = [RemoveNode(path) for path in sorted(removed)]
    for path, node in sorted(older.nodes.items()):
        known = None if path in removed_paths else current.nodes.get(path)
        wanted = without_rollout(node.overrides)
        if known is None:
            operations.append(SetOverrides(path, wanted))
            continue
        present = without_rollout(known.overrides)
        if present == wanted:
            continue
        surplus = set_values(present).keys() - set_values(wanted)
        if surplus:
            operations.append(UnsetOverrides(path, tuple(sorted(surplus))))
        operations.append(SetOverrides(path, wanted))
    return operations


def _topmost(paths: set[str]) -> frozenset[str]:
    return frozenset(
        path for path in paths if not _is_below(path, frozenset(paths) - {path})
    )


def _is_below(path: str, others: frozenset[str]) -> bool:
    """Report whether a path is one of the others or below one of them."""
    segments = path.split("/")
    return any("/".join(segments[: end + 1]) in others for end in range(1, len(segments)))
