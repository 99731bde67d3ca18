"""A version costs by what changed: a node decodes each resource once."""

from __future__ import annotations

import pytest
from tests.version.test_whole_configuration import put, read, route

from peppershore.version import active
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import Resource, Scope
from peppershore.version.resource_codec import decode_resource
from peppershore.version.snapshot import open_snapshot
from peppershore.version.tree import empty_tree

ROUTES = 200


def test_a_change_of_one_route_decodes_one_route(monkeypatch: pytest.MonkeyPatch) -> None:
    decoded: list[str] = []

    def counting(resource: Resource) -> object:
        decoded.append(resource.name)
        return decode_resource(resource)

    monkeypatch.setattr(active, "decode_resource", counting)
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
