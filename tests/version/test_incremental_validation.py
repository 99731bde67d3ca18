"""Validation of the changes alone finds the same problems as that of the whole tree."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success
from tests.version.tree_strategies import STARTING_OPERATIONS, edits
from tests.version.trees import applied, edit_of

from peppershore.version.editor import Editor
from peppershore.version.model import Operation, Tree
from peppershore.version.tree import apply_edit, empty_tree
from peppershore.version.tree_index import index_of
from peppershore.version.validation import validate_tree


def without_index(tree: Tree) -> Tree:
    return msgspec.structs.replace(tree)


@settings(max_examples=300)
@given(st.lists(edits, min_size=1, max_size=8))
def test_incremental_verdict_is_the_verdict_on_the_whole_tree(
    sequence: list[tuple[Operation, ...]],
) -> None:
    tree = applied(empty_tree("test"), *STARTING_OPERATIONS).tree
    for operations in sequence:
        version = tree.version + 1
        editor = Editor(tree, "change", version)
        for operation in operations:
            editor.apply(operation)
        result = editor.finish().tree
        expected = tuple(editor.problems) or validate_tree(without_index(result))
        outcome = apply_edit(tree, edit_of(*operations), version)
        found = () if isinstance(outcome, Success) else outcome.failure().problems
        assert found == expected
        if isinstance(outcome, Success):
            tree = outcome.unwrap().tree
            assert index_of(tree) == index_of(without_index(tree))
