"""What operators see of secrets and tenants' keys: never key material."""

from __future__ import annotations

import msgspec
from msgspec import UNSET

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.model import (
    ChangeTenantKeys,
    Edit,
    Operation,
    PutSecret,
    Secret,
    SetTenant,
    Tenant,
    Tree,
)
from peppershore.version.tenants import hidden_keys

HIDDEN_MATERIAL = b"<hidden>"


def without_material(tree: Tree) -> Tree:
    """The tree with every secret's material and every tenant's keys replaced."""
    secrets = {name: _hide(secret) for name, secret in tree.secrets.items()}
    tenants = {name: _hide_keys(tenant) for name, tenant in tree.tenants.items()}
    return msgspec.structs.replace(tree, secrets=secrets, tenants=tenants)


def edits_without_material(edits: tuple[CommittedEdit, ...]) -> tuple[CommittedEdit, ...]:
    """Edits with the material of new generations, and tenants' keys, replaced."""
    return tuple(CommittedEdit(each.version, _hide_in_edit(each.edit)) for each in edits)


def _hide(secret: Secret) -> Secret:
    generations = tuple(
        msgspec.structs.replace(generation, material=HIDDEN_MATERIAL)
        for generation in secret.generations
    )
    return msgspec.structs.replace(secret, generations=generations)


def _hide_keys(tenant: Tenant) -> Tenant:
    return msgspec.structs.replace(tenant, keys=hidden_keys(tenant.keys))


def _hide_in_edit(edit: Edit) -> Edit:
    operations = tuple(_hide_in_operation(each) for each in edit.operations)
    return msgspec.structs.replace(edit, operations=operations)


def _hide_in_operation(operation: Operation) -> Operation:
    if isinstance(operation, PutSecret):
        return PutSecret(operation.name, HIDDEN_MATERIAL)
    if isinstance(operation, SetTenant | ChangeTenantKeys) and operation.keys is not UNSET:
        return msgspec.structs.replace(operation, keys=hidden_keys(operation.keys))
    return operation
