"""Trees and edits without key material, as operators get them.

An operator's link never carries material: what is answered to the command line
and shown on pages goes through here.
"""

from __future__ import annotations

import msgspec

from peppershore.version.model import (
    Edit,
    Operation,
    PutSecret,
    Secret,
    SecretGeneration,
    Tree,
)

HIDDEN_MATERIAL = b"<hidden>"
"""Stands for material; shorter than any that the command line takes."""


def redact_tree(tree: Tree) -> Tree:
    """Give the tree with the material of every secret hidden."""
    secrets = {name: _redact_secret(secret) for name, secret in tree.secrets.items()}
    return msgspec.structs.replace(tree, secrets=secrets)


def redact_edit(edit: Edit) -> Edit:
    """Give the edit with the material of every operation hidden."""
    operations = tuple(_redact_operation(operation) for operation in edit.operations)
    return msgspec.structs.replace(edit, operations=operations)


def puts_hidden_material(operations: tuple[Operation, ...]) -> tuple[str, ...]:
    """Give the secrets that operations would create from hidden material."""
    return tuple(
        operation.name
        for operation in operations
        if isinstance(operation, PutSecret) and operation.material == HIDDEN_MATERIAL
    )


def _redact_secret(secret: Secret) -> Secret:
    generations = tuple(
        SecretGeneration(item.generation, HIDDEN_MATERIAL) for item in secret.generations
    )
    return msgspec.structs.replace(secret, generations=generations)


def _redact_operation(operation: Operation) -> Operation:
    if isinstance(operation, PutSecret):
        return PutSecret(operation.name, HIDDEN_MATERIAL)
    return operation
