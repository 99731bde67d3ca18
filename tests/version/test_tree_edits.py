"""Edits of the tree: atomic, checked against expected revisions, validated."""

import pytest
from returns.result import Failure
from tests.version.trees import applied, edit_of, refund_tree

from peppershore.version import model
from peppershore.version.model import (
    Edit,
    EditConflict,
    EditInvalid,
    ExpectedRevision,
    Overrides,
    PromoteSecret,
    PutSecret,
    RemoveNode,
    RemoveSecret,
    RemoveZone,
    SetOverrides,
    SetZone,
    UnsetOverrides,
)
from peppershore.version.tree import apply_edit, revision_of


def refused(*operations: model.Operation) -> EditInvalid:
    tree = refund_tree()
    outcome = apply_edit(tree, edit_of(*operations), tree.version + 1)
    assert isinstance(outcome, Failure), "the edit was accepted"
    problem = outcome.failure()
    assert isinstance(problem, EditInvalid)
    return problem


def test_an_edit_changes_only_what_it_names() -> None:
    tree = refund_tree()
    change = applied(tree, SetOverrides("/kassa", Overrides(slots=10)), change_id="next")
    node = change.tree.nodes["/kassa"]
    assert node.overrides == Overrides(slots=10, sign_secret="member-key")
    assert (node.revision, node.change_id) == (2, "next")
    assert change.changed_paths == {"/kassa"}
    assert change.tree.nodes["/"] is tree.nodes["/"]
    assert tree.nodes["/kassa"].overrides.slots == 20


def test_a_new_path_creates_its_service() -> None:
    change = applied(
        refund_tree(), SetOverrides("/desk/*/read", Overrides(path_prefix="/desk"))
    )
    assert change.changed_paths == {"/desk", "/desk/*/read"}


def test_removing_a_service_removes_all_nodes_below() -> None:
    change = applied(refund_tree(), RemoveNode("/till"))
    assert change.changed_paths == {"/till", "/till/*/status"}
    assert not any(path.startswith("/till") for path in change.tree.nodes)


def test_unset_returns_to_the_inherited_value() -> None:
    change = applied(refund_tree(), UnsetOverrides("/kassa", ("slots",)))
    assert change.tree.nodes["/kassa"].overrides == Overrides(sign_secret="member-key")


@pytest.mark.parametrize(
    ("operation", "subject", "words"),
    [
        (SetOverrides("/kassa/*/pay", Overrides(target="nobody")), "/kassa/*/pay", "exist"),
        (SetOverrides("/till", Overrides(calls=("nobody",))), "/till", "does not exist"),
        (SetOverrides("/kassa", Overrides(calls=("till",))), "/kassa", "cycle"),
        (SetOverrides("/kassa", Overrides(calls=("kassa",))), "/kassa", "cycle"),
        (SetOverrides("/", Overrides(verify_secret="none")), "/", "secret none"),
        (SetOverrides("/", Overrides(path_prefix="/x")), "/", "makes no sense"),
        (SetOverrides("/", Overrides(calls=("kassa",))), "/", "makes no sense"),
        (SetOverrides("/kassa/*/pay", Overrides(slots=1)), "/kassa/*/pay", "no sense"),
        (SetOverrides("/kassa", Overrides(slots=0)), "/kassa", "slots is 0"),
        (SetOverrides("/kassa/oulu", Overrides(slots=1)), "/kassa/oulu", "not declared"),
        (SetOverrides("/kassa/*/new", Overrides()), "/kassa/*/new", "no path_prefix"),
        (SetOverrides("/Kassa", Overrides()), "/Kassa", "not a name"),
        (SetOverrides("/a/*/b/c", Overrides()), "/a/*/b/c", "too many segments"),
        (SetOverrides("kassa", Overrides()), "kassa", "begins with"),
        (
            SetOverrides("/kassa/*/x", Overrides(path_prefix="/pay", methods=("POST",))),
            "/kassa/*/x",
            "POST /pay also belongs",
        ),
        (RemoveNode("/kassa"), "/till", "service kassa does not exist"),
        (RemoveNode("/"), "/", "can't be removed"),
        (RemoveNode("/nobody"), "/nobody", "no such node"),
        (RemoveZone("pasila"), "/kassa/pasila/pay", "zone pasila is not declared"),
        (RemoveZone("oulu"), "zone:oulu", "no such zone"),
        (RemoveSecret("member-key"), "/kassa", "secret member-key does not exist"),
        (RemoveSecret("none"), "secret:none", "no such secret"),
        (SetZone("oulu", "North!"), "zone:oulu", "region"),
        (PutSecret("Key", b"x"), "secret:Key", "name"),
        (PutSecret("key", b""), "secret:key", "0 bytes"),
        (PromoteSecret("member-key", 7), "secret:member-key", "no generation 7"),
        (UnsetOverrides("/kassa", ("queue_limit",)), "/kassa", "not set on this node"),
        (UnsetOverrides("/kassa", ("colour",)), "/kassa", "no setting 'colour'"),
    ],
)
def test_an_edit_that_makes_the_tree_invalid_is_refused(
    operation: model.Operation, subject: str, words: str
) -> None:
    problems = refused(operation).problems
    assert any(each.subject == subject and words in each.reason for each in problems), (
        problems
    )


def test_a_secret_that_only_the_root_names_cannot_be_removed() -> None:
    tree = applied(
        refund_tree(),
        PutSecret("root-key", b"x"),
        SetOverrides("/", Overrides(verify_secret="root-key")),
    ).tree
    outcome = apply_edit(tree, edit_of(RemoveSecret("root-key")), tree.version + 1)
    assert [each.subject for each in outcome.failure().problems] == ["/"]


def test_one_bad_operation_refuses_the_whole_edit() -> None:
    problems = refused(
        SetOverrides("/kassa", Overrides(slots=5)), RemoveNode("/nobody")
    ).problems
    assert [each.subject for each in problems] == ["/nobody"]


def test_only_the_result_of_an_edit_is_validated_and_not_its_steps() -> None:
    change = applied(
        refund_tree(),
        RemoveNode("/kassa"),
        SetOverrides("/till", Overrides(calls=("kuitti",))),
    )
    assert "/kassa" not in change.tree.nodes


@pytest.mark.parametrize(
    ("subject", "revision", "actual", "winner"),
    [
        ("/kassa", 1, 2, "winner"),
        ("/kassa", 0, 2, "winner"),
        ("/nobody", 3, 0, ""),
        ("secret:member-key", 0, 1, "seed"),
        ("zone:pasila", 7, 1, "seed"),
    ],
)
def test_a_conflict_names_the_edit_that_won(
    subject: str, revision: int, actual: int, winner: str
) -> None:
    operation = SetOverrides("/kassa", Overrides(slots=7))
    tree = applied(refund_tree(), operation, change_id="winner").tree
    expected = (ExpectedRevision(subject, revision),)
    late = Edit(change_id="late", operations=(operation,), expected=expected)
    outcome = apply_edit(tree, late, tree.version + 1)
    assert outcome == Failure(EditConflict("late", subject, revision, actual, winner))


def test_expected_revision_zero_means_absent() -> None:
    tree = refund_tree()
    edit = Edit(
        change_id="first",
        operations=(SetOverrides("/desk", Overrides(slots=3)),),
        expected=(ExpectedRevision("/desk", 0),),
    )
    after = apply_edit(tree, edit, 2).unwrap().tree
    assert revision_of(after, "/desk") == 2
    assert isinstance(apply_edit(after, edit, 3).failure(), EditConflict)


def test_rotation_adds_a_generation_and_promotion_drops_the_oldest() -> None:
    tree = refund_tree()
    for _ in range(2):
        tree = applied(tree, PutSecret("member-key", b"newer material")).tree
    secret = tree.secrets["member-key"]
    assert [each.generation for each in secret.generations] == [1, 2, 3]
    assert (secret.signing_generation, secret.rotation_version) == (1, 3)
    tree = applied(tree, PromoteSecret("member-key", 3)).tree
    secret = tree.secrets["member-key"]
    assert [each.generation for each in secret.generations] == [2, 3]
    assert (secret.signing_generation, secret.rotation_version) == (3, 0)
