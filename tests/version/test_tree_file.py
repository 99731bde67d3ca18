"""Trees as TOML: round trip, and typed problems for text that is not a tree."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from tests.version.tree_strategies import STARTING_OPERATIONS, edits
from tests.version.trees import applied, edit_of, refund_tree

from peppershore.version.difference import Difference, compare_trees
from peppershore.version.model import (
    Operation,
    Overrides,
    PromoteSecret,
    PutSecret,
    RemoveNode,
    RemoveZone,
    SetOverrides,
    SetZone,
    Tree,
    UnsetOverrides,
)
from peppershore.version.revert import revert_operations
from peppershore.version.tree import apply_edit, empty_tree
from peppershore.version.tree_file import tree_from_toml, tree_to_toml


def grown(sequence: list[tuple[Operation, ...]]) -> list[Tree]:
    """Return the trees after each accepted edit of a sequence, the first tree included."""
    trees = [applied(empty_tree("test"), *STARTING_OPERATIONS).tree]
    for operations in sequence:
        outcome = apply_edit(trees[-1], edit_of(*operations), trees[-1].version + 1)
        if isinstance(outcome, Success):
            trees.append(outcome.unwrap().tree)
    return trees


@given(st.lists(edits, max_size=8))
def test_a_tree_comes_back_from_its_text(sequence: list[tuple[Operation, ...]]) -> None:
    tree = grown(sequence)[-1]
    text = tree_to_toml(tree, with_material=True)
    whole = tree_from_toml(text, tenants=tree.tenants).unwrap()
    assert compare_trees(tree, whole) == ()
    assert {name: each.generations for name, each in tree.secrets.items()} == {
        name: each.generations for name, each in whole.secrets.items()
    }
    without = tree_from_toml(tree_to_toml(tree), tree.secrets, tree.tenants).unwrap()
    assert compare_trees(tree, without) == ()


@given(st.lists(edits, min_size=1, max_size=10))
def test_a_revert_is_a_new_version_with_the_old_content(
    sequence: list[tuple[Operation, ...]],
) -> None:
    trees = grown(sequence)
    operations = revert_operations(trees[-1], trees[0])
    reverted = applied(trees[-1], *operations).tree if operations else trees[-1]
    assert reverted.version == trees[-1].version + bool(operations)
    kept_secrets = {
        f"secret:{name}" for name in trees[-1].secrets.keys() & trees[0].secrets
    }
    left = {each.subject for each in compare_trees(reverted, trees[0])}
    assert left <= kept_secrets
    assert reverted.tenants.keys() == trees[0].tenants.keys()
    assert reverted.secrets.keys() == trees[0].secrets.keys()


def test_a_revert_restores_a_missing_secret_with_its_signing_key() -> None:
    rotated = applied(
        refund_tree(),
        *(PutSecret("member-key", material) for material in (b"second", b"third")),
        PromoteSecret("member-key", 2),
    ).tree
    operations = revert_operations(empty_tree("refund"), rotated)
    secret = applied(empty_tree("refund"), *operations).tree.secrets["member-key"]
    materials = {each.generation: each.material for each in secret.generations}
    assert materials[secret.signing_generation] == b"second"
    assert list(materials.values()) == [b"first material", b"second", b"third"]


def test_differences_name_setting_and_both_values() -> None:
    before = refund_tree()
    after = applied(
        before,
        SetOverrides("/kassa", Overrides(slots=7)),
        UnsetOverrides("/", ("call_class",)),
        RemoveNode("/kassa/pasila/pay"),
        SetOverrides("/desk", Overrides()),
        RemoveZone("pasila"),
        SetZone("vantaa-t2", "lapland"),
        PutSecret("member-key", b"never shown"),
    ).tree
    assert compare_trees(before, after) == (
        Difference("/", "removed", "call_class", '"normal"', ""),
        Difference("/desk", "added", "", "", ""),
        Difference("/kassa", "changed", "slots", "20", "7"),
        Difference("/kassa/pasila/pay", "removed", "timeout_milliseconds", "9000", ""),
        Difference("secret:member-key", "changed", "generations", "[1]", "[1,2]"),
        Difference("zone:pasila", "removed", "region", '"uusimaa"', ""),
        Difference("zone:vantaa-t2", "changed", "region", '"uusimaa"', '"lapland"'),
    )


def test_names_of_secrets_are_checked_if_the_secrets_are_known() -> None:
    text = tree_to_toml(refund_tree())
    assert tree_from_toml(text).unwrap().secrets == {}
    problems = tree_from_toml(text, secrets={}).failure()
    assert {each.subject for each in problems} == {"/kassa", "/kassa/*/pay"}
    broken = text.replace('target = "kuitti"', 'target = "nobody"')
    assert [each.subject for each in tree_from_toml(broken).failure()] == ["/till/*/status"]


def test_key_material_is_written_only_if_requested() -> None:
    assert "secrets" not in tree_to_toml(refund_tree())
    assert "material_base64" in tree_to_toml(refund_tree(), with_material=True)


def test_every_problem_of_a_file_is_reported_at_once() -> None:
    text = """
    colour = "red"
    zones.oulu = 3
    [nodes."/kassa"]
    slots = "many"
    colour = 1
    [nodes."kassa"]
    slots = 1
    [secrets.key]
    signing_generation = 1
    generations = [{ generation = 1, material_base64 = "%%%" }]
    """
    problems = tree_from_toml(text).failure()
    subjects = sorted(each.subject for each in problems)
    assert subjects == [
        "/kassa",
        "/kassa",
        "file",
        "file",
        "kassa",
        "secret:key",
        "zone:oulu",
    ]


@pytest.mark.parametrize("text", ["=", "cluster = ", "cluster = 'c'\nnodes = 3"])
def test_a_text_that_is_no_tree_is_a_typed_problem(text: str) -> None:
    assert tree_from_toml(text).failure()


@given(st.text())
def test_garbage_never_raises(text: str) -> None:
    for candidate in (text, f"cluster = 'c'\n{text}", f"cluster='c'\n[nodes]\n{text}"):
        outcome = tree_from_toml(candidate)
        assert isinstance(outcome, Success) or outcome.failure()
