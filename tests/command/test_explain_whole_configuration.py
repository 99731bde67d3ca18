"""``peppershore explain`` on a tree that was built from a complete configuration."""

from __future__ import annotations

from returns.result import Success

from peppershore.command.explain_command import Explanation, explain_route
from peppershore.version.model import Tree
from peppershore.version.tree import apply_edit, empty_tree
from peppershore.version.whole_configuration import (
    RouteDefinition,
    ServiceDefinition,
    WholeConfiguration,
    edit_of,
)


def _tree() -> Tree:
    """Return a tree without zones, as a complete configuration names none."""
    pay = RouteDefinition(
        host="pay.example",
        path_prefix="/",
        runs="once",
        timeout_milliseconds=1_500,
        attempts=2,
        service="kassa",
    )
    whole = WholeConfiguration(1, {"pay": pay}, {"kassa": ServiceDefinition()})
    empty = empty_tree("mesh")
    return apply_edit(empty, edit_of(empty, whole), 1).unwrap().tree


def test_a_tree_that_names_no_zones_is_explained_for_any_zone() -> None:
    explained = explain_route(_tree(), "kassa", "pasila", "pay")
    assert isinstance(explained, Success)
    explanation: Explanation = explained.unwrap()
    values = {item.name: item.value for item in explanation.route_settings}
    assert values["timeout_milliseconds"] == 1_500
    assert values["host"] == "pay.example"


def test_unknown_route_of_a_tree_without_zones_is_named() -> None:
    explained = explain_route(_tree(), "kassa", "pasila", "refund")
    assert "refund" in explained.failure().message
    assert "pay" in explained.failure().next_step
