"""The cost of an edit, at a control replica or relay, depends on the size of the edit.

It must not grow with the size of the tree.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.version.test_whole_configuration import put, read, route

from peppershore.version import encoded, tree_index
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import (
    Edit,
    Operation,
    Overrides,
    RemoveNode,
    Scope,
    SetOverrides,
    Tree,
)
from peppershore.version.tree import apply_edit, empty_tree
from peppershore.version.tree_index import index_of
from peppershore.version.whole_configuration import WholeConfiguration, edit_of

ROUTES = 600
SCOPE = Scope("kassa", "pasila")

paths = st.sampled_from(
    ["/kassa", "/kuitti", "/kassa/*/pay", "/kassa/*/read", "/kuitti/*/check", "/kassa/*"]
)
overrides = st.sampled_from(
    [
        Overrides(),
        Overrides(path_prefix="/pay/", target="kuitti"),
        Overrides(path_prefix="/read/", splits=("kassa:1", "kuitti:3")),
        Overrides(path_prefix="/check/"),
    ]
)
operations: st.SearchStrategy[Operation] = st.one_of(
    st.builds(SetOverrides, paths, overrides), st.builds(RemoveNode, paths)
)


@given(st.lists(st.lists(operations, min_size=1, max_size=4), max_size=12))
def test_an_index_by_changes_is_that_of_the_whole_tree(
    edits: list[list[Operation]],
) -> None:
    tree = empty_tree("mesh")
    for number, listed in enumerate(edits, 1):
        edit = Edit(f"e{number}", tuple(listed))
        applied = apply_edit(tree, edit, tree.version + 1).value_or(None)
        if applied is None:
            continue
        tree = applied.tree
        anew = msgspec.structs.replace(tree)
        assert index_of(tree) == index_of(anew)


def configuration(version: int, timeout: int) -> WholeConfiguration:
    """Return a configuration of many routes, one of which has its own time-out."""
    many = {f"r{number}": route(path_prefix=f"/r{number}/") for number in range(ROUTES)}
    many["r7"] = route(path_prefix="/r7/", timeout_milliseconds=timeout)
    return read(version=version, base=version - 1, routes=many)


def counted(work: Callable[..., Any], calls: list[object]) -> Callable[..., Any]:
    def count(*arguments: Any) -> Any:
        calls.append(arguments)
        return work(*arguments)

    return count


def one_route_later(tree: Tree) -> Edit:
    edit = edit_of(tree, configuration(2, 1_777))
    assert [each.path for each in edit.operations] == ["/kassa/*/r7"]  # type: ignore[union-attr]
    return edit


def test_an_edit_of_one_route_resolves_and_encodes_one_route(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tree = put(empty_tree("mesh"), configuration(1, 1_000))
    catalog = ScopeCatalog()
    catalog.load(tree)
    former = catalog.snapshot(SCOPE)
    calls: list[object] = []
    for name in ("_route_settings", "encode_resource"):
        monkeypatch.setattr(encoded, name, counted(getattr(encoded, name), calls))
    nodes = "referenced_services"
    monkeypatch.setattr(tree_index, nodes, counted(getattr(tree_index, nodes), calls))
    applied = apply_edit(tree, one_route_later(tree), tree.version + 1).unwrap()
    catalog.advance(applied)
    assert len(calls) <= 20
    made = catalog.snapshot(SCOPE)
    differing = [
        name for name, each in made.resources.items() if each != former.resources[name]
    ]
    assert differing == ["route:kassa/r7"]
