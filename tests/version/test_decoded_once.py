"""A node decodes each resource once, so a new version costs only what changed."""

from __future__ import annotations

from typing import Any

import pytest
from tests.version.test_whole_configuration import put, read, route

from peppershore.version import resource_codec
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.digest import NOTHING_HELD
from peppershore.version.model import Resource, ResourceContent, Scope, Update
from peppershore.version.snapshot import apply_update, empty_snapshot, open_snapshot
from peppershore.version.tree import empty_tree

ROUTES = 200


def _count_decoding(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return a list to which the name of each resource is appended when it is decoded."""
    decoded: list[str] = []
    content_of = resource_codec._content  # noqa: SLF001

    def counting(row: Any) -> ResourceContent:
        content = content_of(row)
        decoded.append(resource_codec.resource_name(content))
        return content

    monkeypatch.setattr(resource_codec, "_content", counting)
    return decoded


def test_a_change_of_one_route_decodes_one_route(monkeypatch: pytest.MonkeyPatch) -> None:
    decoded = _count_decoding(monkeypatch)
    many = {f"r{number}": route(path_prefix=f"/r{number}/") for number in range(ROUTES)}
    tree = put(empty_tree("mesh"), read(routes=many))
    catalog = ScopeCatalog()
    catalog.load(tree)
    scope = Scope("kassa", "pasila")
    first = catalog.snapshot(scope)
    open_snapshot(first)
    assert len(decoded) >= ROUTES
    decoded.clear()
    open_snapshot(first)
    assert decoded == []
    same = Resource("route:kassa/r7", first.resources["route:kassa/r7"].payload)
    assert same == first.resources["route:kassa/r7"]
    first.resources["route:kassa/r7"] = same
    opened = open_snapshot(first)
    assert decoded == ["route:kassa/r7"]
    assert len(opened.routes) == ROUTES


def test_each_resource_of_an_update_is_decoded_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Check, closure check and opening of a snapshot share one decoding."""
    catalog = ScopeCatalog()
    catalog.load(put(empty_tree("mesh"), read()))
    scope = Scope("kassa", "pasila")
    wanted = catalog.snapshot(scope)
    changed = tuple(Resource(each.name, each.payload) for each in wanted.resources.values())
    update = Update(scope, True, NOTHING_HELD, wanted.version, wanted.digest, changed, ())
    decoded = _count_decoding(monkeypatch)
    open_snapshot(apply_update(empty_snapshot(scope), update).unwrap())
    assert sorted(decoded) == sorted(wanted.resources)
