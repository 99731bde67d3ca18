"""Hides the key material of secrets and tenants from operators."""

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


def redact_tree(tree: Tree) -> Tree:
    """Return the tree with every secret's material and every tenant's keys replaced."""
    secrets = {name: _redact_secret(secret) for name, secret in tree.secrets.items()}
    tenants = {name: _redact_tenant(tenant) for name, tenant in tree.tenants.items()}
    return msgspec.structs.replace(tree, secrets=secrets, tenants=tenants)


def redact_edits(edits: tuple[CommittedEdit, ...]) -> tuple[CommittedEdit, ...]:
    """Return the edits with the material of secrets and the keys of tenants replaced."""
    return tuple(CommittedEdit(each.version, _redact_edit(each.edit)) for each in edits)


def _redact_secret(secret: Secret) -> Secret:
    generations = tuple(
        msgspec.structs.replace(generation, material=HIDDEN_MATERIAL)
        for generation in secret.generations
    )
    return msgspec.structs.replace(secret, generations=generations)


def _redact_tenant(tenant: Tenant) -> Tenant:
    return msgspec.structs.replace(tenant, keys=hidden_keys(tenant.keys))


def _redact_edit(edit: Edit) -> Edit:
    operations = tuple(_redact_operation(each) for each in edit.operations)
    return msgspec.structs.replace(edit, operations=operations)


def _redact_operation(operation: Operation) -> Operation:
    if isinstance(operation, PutSecret):
        return PutSecret(operation.name, HIDDEN_MATERIAL)
    if isinstance(operation, SetTenant | ChangeTenantKeys) and operation.keys is not UNSET:
        return msgspec.structs.replace(operation, keys=hidden_keys(operation.keys))
    return operation
