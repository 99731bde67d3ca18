"""What operators see of secrets: names and generations, never key material."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.relay import CommittedEdit
from peppershore.version.model import Edit, PutSecret, Secret, Tree

HIDDEN_MATERIAL = b"<hidden>"


def without_material(tree: Tree) -> Tree:
    """The tree with every secret's material replaced."""
    secrets = {name: _hide(secret) for name, secret in tree.secrets.items()}
    return msgspec.structs.replace(tree, secrets=secrets)


def edits_without_material(edits: tuple[CommittedEdit, ...]) -> tuple[CommittedEdit, ...]:
    """Edits with the material of new generations replaced."""
    return tuple(CommittedEdit(each.version, _hide_in_edit(each.edit)) for each in edits)


def _hide(secret: Secret) -> Secret:
    generations = tuple(
        msgspec.structs.replace(generation, material=HIDDEN_MATERIAL)
        for generation in secret.generations
    )
    return msgspec.structs.replace(secret, generations=generations)


def _hide_in_edit(edit: Edit) -> Edit:
    operations = tuple(
        PutSecret(operation.name, HIDDEN_MATERIAL)
        if isinstance(operation, PutSecret)
        else operation
        for operation in edit.operations
    )
    return msgspec.structs.replace(edit, operations=operations)
