"""Snapshot contents derived from a change equal those built from all resources.

The derivation processes only the resources that changed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.version.test_whole_configuration import put, read, route

from peppershore.version import active, snapshot_contents
from peppershore.version.catalog import ScopeCatalog
from peppershore.version.closure import find_gaps
from peppershore.version.digest import NOTHING_HELD, snapshot_digest
from peppershore.version.model import (
    Resource,
    ResourceContent,
    RouteResource,
    RouteSettings,
    Scope,
    SecretResource,
    ServiceResource,
    ServiceSettings,
    Snapshot,
    TenantResource,
    Update,
)
from peppershore.version.resource_codec import encode_resource
from peppershore.version.snapshot import apply_update, empty_snapshot, open_snapshot
from peppershore.version.snapshot_contents import SnapshotContents
from peppershore.version.tree import empty_tree

SCOPE = Scope("kassa", "pasila")
SERVICES = ("kassa", "kuitti", "status")
ROUTES = 2_000

services = st.builds(
    lambda name, calls: ServiceResource(name, ServiceSettings(calls=calls)),
    st.sampled_from(SERVICES),
    st.lists(st.sampled_from(SERVICES), max_size=2).map(tuple),
)
secrets = st.sampled_from(["member", "other"]).map(lambda name: SecretResource(name, (), 0))
routes = st.builds(
    lambda service, name, host, prefix, target, secret: RouteResource(
        service,
        name,
        RouteSettings(host=host, path_prefix=prefix, target=target, verify_secret=secret),
    ),
    st.sampled_from(SERVICES),
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(["", "one.example", "two.example"]),
    st.sampled_from(["/", "/x/", "/x/y/"]),
    st.sampled_from(SERVICES),
    st.sampled_from(["", "member"]),
)
tenants = st.builds(
    TenantResource,
    st.sampled_from(["studio", "farm"]),
    st.lists(st.binary(max_size=2), max_size=2).map(tuple),
)
contents = st.one_of(services, secrets, routes, tenants)
changes = st.lists(
    st.tuples(st.lists(contents, max_size=3), st.integers(0, 2)), max_size=12
)


def encoded(held: list[ResourceContent]) -> tuple[Resource, ...]:
    return tuple({each.name: each for each in map(encode_resource, held)}.values())


def seen(contents: SnapshotContents) -> tuple[object, ...]:
    """Return all contents that a holder uses."""
    index = contents.index._by_host  # noqa: SLF001
    return (
        contents.by_name,
        contents.routes,
        contents.services,
        contents.secrets,
        contents.tenants,
        contents.is_closed,
        contents.lacking,
        {host: {p: list(r) for p, r in of.items()} for host, of in index.items()},
    )


@settings(deadline=None)
@given(first=st.lists(contents, max_size=12), following=changes)
def test_changes_give_what_all_resources_give(
    first: list[ResourceContent], following: list[tuple[list[ResourceContent], int]]
) -> None:
    held = {each.name: each for each in encoded(first)}
    known = SnapshotContents(SCOPE, held.values())
    for came, gone_count in following:
        before = seen(known)
        gone = tuple(held)[:gone_count]
        changed = encoded(came)
        made = known.changed(gone, changed)
        assert seen(known) == before
        for name in gone:
            held.pop(name)
        held |= {each.name: each for each in changed}
        anew = SnapshotContents(SCOPE, held.values())
        assert seen(made) == seen(anew)
        assert made.is_closed == (not find_gaps(SCOPE, held.values()))
        known = made


def many_routes() -> Snapshot:
    many = {f"r{number}": route(path_prefix=f"/r{number}/") for number in range(ROUTES)}
    catalog = ScopeCatalog()
    catalog.load(put(empty_tree("mesh"), read(routes=many)))
    wanted = catalog.snapshot(SCOPE)
    resources = tuple(wanted.resources.values())
    full = Update(SCOPE, True, NOTHING_HELD, 1, wanted.digest, resources, ())
    return apply_update(empty_snapshot(SCOPE), full).unwrap()


def one_route_changed(held: Snapshot) -> Update:
    known = held.resources["route:kassa/r7"]
    content = active.decode_contents([known])[0]
    assert isinstance(content, RouteResource)
    other = msgspec.structs.replace(content.settings, timeout_milliseconds=77)
    resource = encode_resource(RouteResource("kassa", "r7", other))
    resources = {**held.resources, resource.name: resource}
    digest = snapshot_digest(SCOPE, resources.values())
    return Update(SCOPE, False, held.digest, held.version + 1, digest, (resource,), ())


def counted(work: Callable[..., Any], calls: list[object]) -> Callable[..., Any]:
    def count(*arguments: Any) -> Any:
        calls.append(arguments)
        return work(*arguments)

    return count


def test_a_change_of_one_route_among_many_processes_few_resources(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = many_routes()
    update = one_route_changed(held)
    calls: list[object] = []
    for module in (snapshot_contents, active):
        monkeypatch.setattr(module, "match_order", counted(module.match_order, calls))
    for name in ("used_names", "decode_contents"):
        work = getattr(snapshot_contents, name)
        monkeypatch.setattr(snapshot_contents, name, counted(work, calls))
    made = apply_update(held, update).unwrap()
    opened = open_snapshot(made)
    host = opened.routes[0].settings.host
    found = opened.match_route("/r7/x", "GET", host=host)
    assert found is not None
    assert found.settings.timeout_milliseconds == 77
    assert len(calls) <= 12
    assert opened.holds_route("kassa", "r7")
    assert not opened.holds_route("kassa", "r-gone")
