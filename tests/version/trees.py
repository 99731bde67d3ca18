"""Small trees and edits that several tests use."""

from returns.result import Success

from peppershore.version.editor import AppliedEdit
from peppershore.version.model import (
    Edit,
    Operation,
    Overrides,
    PutSecret,
    SetOverrides,
    SetZone,
    Tree,
)
from peppershore.version.tree import apply_edit, empty_tree

REFUND_OPERATIONS: tuple[Operation, ...] = (
    SetZone("pasila", "uusimaa"),
    SetZone("vantaa-t2", "uusimaa"),
    PutSecret("member-key", b"first material"),
    SetOverrides("/", Overrides(timeout_milliseconds=5_000, call_class="normal")),
    SetOverrides("/kassa", Overrides(slots=20, sign_secret="member-key")),
    SetOverrides(
        "/kassa/*/pay",
        Overrides(path_prefix="/pay", methods=("POST",), verify_secret="member-key"),
    ),
    SetOverrides("/kassa/pasila/pay", Overrides(timeout_milliseconds=9_000)),
    SetOverrides("/kuitti/*/read", Overrides(path_prefix="/receipts", repeatable=True)),
    SetOverrides("/till", Overrides(calls=("kassa", "kuitti"))),
    SetOverrides("/till/*/status", Overrides(path_prefix="/status", target="kuitti")),
)


def edit_of(*operations: Operation, change_id: str = "change") -> Edit:
    return Edit(change_id=change_id, operations=operations)


def applied(tree: Tree, *operations: Operation, change_id: str = "change") -> AppliedEdit:
    """Apply an edit at the next version; fail the test if it is refused."""
    outcome = apply_edit(tree, edit_of(*operations, change_id=change_id), tree.version + 1)
    assert isinstance(outcome, Success), outcome
    return outcome.unwrap()


def refund_tree() -> Tree:
    """Return a valid tree at version 1, of the kind that the Refund Network has."""
    return applied(empty_tree("refund"), *REFUND_OPERATIONS, change_id="seed").tree
