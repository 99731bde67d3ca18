"""A holder applies an update completely, or rejects it and keeps its snapshot."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.version.trees import applied, refund_tree

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.digest import snapshot_digest
from peppershore.version.model import (
    Overrides,
    PutSecret,
    Resource,
    RouteResource,
    Scope,
    SetOverrides,
    Snapshot,
    Update,
)
from peppershore.version.resource_codec import decode_resource, encode_resource
from peppershore.version.snapshot import apply_update, empty_snapshot, open_snapshot

SCOPE = Scope("till", "pasila")


def held_and_delta() -> tuple[Snapshot, Update]:
    tree = refund_tree()
    catalog = ScopeCatalog()
    catalog.load(tree)
    full = catalog.update_since(SCOPE, 0, 0)
    assert full is not None
    held = apply_update(empty_snapshot(SCOPE), full).unwrap()
    change = SetOverrides("/kuitti/*/read", Overrides(timeout_milliseconds=77))
    catalog.advance(applied(tree, change))
    delta = catalog.update_since(SCOPE, held.version, held.digest)
    assert delta is not None
    return held, delta


def with_resources(update: Update, held: Snapshot, *changed: Resource) -> Update:
    """Return ``update`` with other changed resources and the matching digest."""
    resources = {**held.resources, **{each.name: each for each in changed}}
    digest = snapshot_digest(SCOPE, resources.values())
    return msgspec.structs.replace(update, changed=changed, digest=digest)


def test_a_delta_carries_only_what_changed() -> None:
    held, delta = held_and_delta()
    assert not delta.full
    assert [each.name for each in delta.changed] == ["route:kuitti/read"]
    after = apply_update(held, delta).unwrap()
    assert (after.version, after.digest) == (2, delta.digest)
    assert after.resources["service:kuitti"] is held.resources["service:kuitti"]


def route_to(target: str, verify_secret: str = "") -> Resource:
    route = decode_resource(held_and_delta()[1].changed[0]).unwrap()
    assert isinstance(route, RouteResource)
    settings = msgspec.structs.replace(
        route.settings, target=target, verify_secret=verify_secret
    )
    return encode_resource(RouteResource("kuitti", "read", settings))


@pytest.mark.parametrize(
    ("fields", "kind"),
    [
        ({"scope": Scope("till", "oulu")}, "other-scope"),
        ({"version": 1}, "not-newer"),
        ({"version": 0}, "not-newer"),
        ({"base_digest": 5}, "other-base"),
        ({"digest": 5}, "digest-mismatch"),
        ({"changed": ()}, "digest-mismatch"),
        ({"removed": ("service:kassa",)}, "digest-mismatch"),
        ({"full": True}, "digest-mismatch"),
        ({"full": True, "removed": ("service:kassa",)}, "malformed"),
        ({"changed": (Resource("service:x", b"\xc1"),)}, "malformed"),
        ({"changed": (route_to("kuitti"),) * 2}, "malformed"),
    ],
)
def test_a_bad_update_is_refused(fields: dict[str, object], kind: str) -> None:
    held, delta = held_and_delta()
    bad = msgspec.structs.replace(delta, **fields)
    before = dict(held.resources)
    assert apply_update(held, bad).failure().kind == kind
    assert held.resources == before


@pytest.mark.parametrize(
    "resource", [route_to("nobody"), route_to("kuitti", verify_secret="lost")]
)
def test_a_route_that_needs_a_missing_resource_is_refused(resource: Resource) -> None:
    held, delta = held_and_delta()
    problem = apply_update(held, with_resources(delta, held, resource)).failure()
    assert problem.kind == "open-closure"


def test_a_payload_under_another_name_is_refused() -> None:
    held, delta = held_and_delta()
    renamed = Resource("route:kuitti/other", route_to("kuitti").payload)
    problem = apply_update(held, with_resources(delta, held, renamed)).failure()
    assert problem.kind == "malformed"


@given(st.binary(max_size=80))
def test_garbage_payloads_give_problems(payload: bytes) -> None:
    decoded = decode_resource(Resource("route:a/b", payload))
    assert decoded.swap().value_or(None) is not None


def test_matching_takes_the_longest_prefix_that_ends_at_a_segment() -> None:
    tree = applied(
        refund_tree(),
        SetOverrides("/kassa/*/all", Overrides(path_prefix="/", methods=("GET",))),
        SetOverrides("/kassa/*/list", Overrides(path_prefix="/pay", methods=("GET",))),
    ).tree
    catalog = ScopeCatalog()
    catalog.load(tree)
    active = open_snapshot(catalog.snapshot(SCOPE))

    def route(path: str, method: str, service: str = "") -> str:
        found = active.match_route(path, method, service)
        return "" if found is None else f"{found.service}/{found.route}"

    assert route("/pay/7", "POST") == "kassa/pay"
    assert route("/pay?x=1", "GET") == "kassa/list"
    assert route("/payout", "GET") == "kassa/all"
    assert route("/status", "GET") == "till/status"
    assert route("/status", "GET", service="kassa") == "kassa/all"
    assert route("/payout", "POST") == ""
    assert active.allowed_methods("/pay") == ("GET", "POST")


@pytest.mark.parametrize(
    "path",
    [
        "/pay/../status",
        "/pay/..",
        "/pay/./1",
        "/pay/%2e%2E/status",
        "/pay/%2e./status",
        "/pay/..%2fstatus",
        "/pay/..%5Cstatus",
        "/pay/..;x=1/status",
        "/pay/%2e%2e%3bx/status",
        "/pay\\..\\status",
    ],
)
def test_a_path_with_dot_segments_matches_nothing(path: str) -> None:
    active = open_snapshot(held_and_delta()[0])
    assert active.match_route("/pay/x", "POST") is not None
    assert active.match_route(path, "POST") is None
    assert active.allowed_methods(path) == ()


def test_dots_that_are_no_segment_are_allowed() -> None:
    active = open_snapshot(held_and_delta()[0])
    for path in ("/pay/a..b", "/pay/.hidden", "/pay/x%20y", "/pay?next=/../x"):
        assert active.match_route(path, "POST") is not None, path


def test_key_material_is_not_in_texts() -> None:
    held, _ = held_and_delta()
    active = open_snapshot(held)
    assert active.secrets["member-key"].generations[0].material == b"first material"
    for value in (active, held, refund_tree(), PutSecret("name", b"first material")):
        assert "first material" not in repr(value)
