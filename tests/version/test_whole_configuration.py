"""Complete configurations: decoded, validated, put in the tree, read back unchanged."""

from __future__ import annotations

import json
import math
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import EditConflict, RemoveTenant, Scope, Tree
from peppershore.version.resolve import resolve_route
from peppershore.version.snapshot import open_snapshot
from peppershore.version.tree import apply_edit, empty_tree
from peppershore.version.whole_configuration import (
    WholeConfiguration,
    change_id_of,
    configuration_of,
    decode_configuration,
    edit_of,
    encode_configuration,
    find_problems,
)


def route(**changes: Any) -> dict[str, Any]:
    values = {
        "host": "refund.example",
        "path_prefix": "/pay/",
        "runs": "once",
        "timeout_milliseconds": 2_500,
        "target_latency_milliseconds": 800,
        "priority": 1,
        "service": "kassa",
        "attempts": 2,
    } | changes
    return {name: value for name, value in values.items() if value is not None}


def body(**changes: Any) -> dict[str, Any]:
    return {
        "version": 7,
        "base": 0,
        "routes": {"pay": route()},
        "services": {
            name: {"health_path": "/up", "connections": 9, "protocol": "h1", "tls": False}
            for name in ("kassa", "kuitti")
        },
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000,
            "header_timeout_milliseconds": 3_000,
            "idle_timeout_milliseconds": 15_000,
        },
    } | changes


def read(**changes: Any) -> WholeConfiguration:
    return decode_configuration(json.dumps(body(**changes)).encode()).unwrap()


def put(tree: Tree, wanted: WholeConfiguration) -> Tree:
    assert not find_problems(wanted)
    return apply_edit(tree, edit_of(tree, wanted), tree.version + 1).unwrap().tree


SPLIT = [{"service": "kassa", "weight": 90}, {"service": "kuitti", "weight": 0}]

routes = st.dictionaries(
    st.sampled_from(["pay", "read", "check", "status", "ledger"]),
    st.fixed_dictionaries(
        {
            "host": st.sampled_from(["a.example", "b.example"]),
            "runs": st.sampled_from(
                ["once", "repeatable", "repeatable-large", "once-streamed"]
            ),
            "public": st.sampled_from([None, False, True]),
            "timeout_milliseconds": st.sampled_from([1, 500, 2_500]),
            "priority": st.integers(0, 3),
            "attempts": st.integers(1, 4),
        },
    ),
)


figures = st.one_of(st.integers(0, 1_000), st.floats(0, 1_000))
tenants = st.dictionaries(
    st.sampled_from(["studio", "farm", "mill"]),
    st.fixed_dictionaries(
        {"keys": st.integers(0, 3)},
        optional={
            "rate_per_second": figures,
            "burst": figures,
            "priority": st.integers(0, 3),
        },
    ),
)


def with_keys(listed: dict[str, dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Replace each tenant's number of keys by so many keys, the first one twice."""
    return {
        name: values
        | {"keys": [f"{name}-{each or 1}" for each in range(values.get("keys", 0))]}
        for name, values in listed.items()
    }


@given(st.lists(st.tuples(routes, tenants), min_size=1, max_size=5))
def test_what_is_sent_is_read_back_and_reaches_the_nodes(
    sent: list[tuple[dict[str, Any], dict[str, Any]]],
) -> None:
    tree = empty_tree("mesh")
    for number, (listed, named) in enumerate(sent, 1):
        made = {
            name: route(path_prefix=f"/{name}/", **values)
            | ({"service": "kuitti"} if values["priority"] else {})
            for name, values in listed.items()
        }
        given_tenants = {"tenants": with_keys(named)} if named else {}
        sent_body = body(version=number, base=number - 1, routes=made, **given_tenants)
        wanted = decode_configuration(json.dumps(sent_body).encode()).unwrap()
        tree = put(tree, wanted)
        assert configuration_of(tree) == msgspec.structs.replace(wanted, base=0)
        back = json.loads(encode_configuration(configuration_of(tree)))
        assert repr(back.get("tenants")) == repr(in_order(sent_body.get("tenants")))
        assert {name: each.get("public") for name, each in back["routes"].items()} == {
            name: each["public"] for name, each in listed.items()
        }
    catalog = ScopeCatalog()
    catalog.load(tree)
    for service in ("kassa", "kuitti", "unknown"):
        active = open_snapshot(catalog.snapshot(Scope(service, "pasila")))
        assert {each.route for each in active.routes} == set(sent[-1][0])
        assert active.tenants.keys() == (set(sent[-1][1]) if active.services else set())
        for each in active.routes:
            values = sent[-1][0][each.route]
            assert each.settings.keyless == bool(values["public"])
            assert each.settings.large_answers == (values["runs"] == "repeatable-large")
            assert each.settings.repeatable == values["runs"].startswith("repeatable")


def in_order(listed: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return tenants in the order in which they are encoded."""
    if listed is None:
        return None
    return {name: dict(sorted(each.items())) for name, each in sorted(listed.items())}


def test_a_split_is_read_back_with_its_weights() -> None:
    wanted = read(routes={"pay": route(service=None, split=SPLIT)})
    tree = put(empty_tree("mesh"), wanted)
    assert configuration_of(tree) == wanted
    assert resolve_route(tree, "kassa", "*", "pay").settings.splits == (
        "kassa=90",
        "kuitti=0",
    )


def test_services_may_send_calls_to_each_other() -> None:
    other = [{"service": "kuitti", "weight": 1}, {"service": "kassa", "weight": 1}]
    both = {
        "pay": route(service=None, split=SPLIT),
        "read": route(path_prefix="/read/", service=None, split=other),
    }
    put(empty_tree("mesh"), read(routes=both))


def test_what_most_routes_share_is_inherited_and_a_change_is_small() -> None:
    many = {f"r{number}": route(path_prefix=f"/r{number}/") for number in range(50)}
    tree = put(empty_tree("mesh"), read(routes=many))
    assert tree.nodes["/kassa"].overrides.timeout_milliseconds == 2_500
    assert tree.nodes["/kassa/*/r7"].overrides.timeout_milliseconds is msgspec.UNSET
    many["r7"]["timeout_milliseconds"] = 77
    edit = edit_of(tree, read(version=8, base=7, routes=many))
    assert [operation.path for operation in edit.operations] == ["/kassa/*/r7"]  # type: ignore[union-attr]


def test_the_same_content_is_an_edit_without_operations() -> None:
    tree = put(empty_tree("mesh"), read())
    again = edit_of(tree, read(version=9, base=7))
    assert again.operations == ()
    assert apply_edit(tree, again, 2).unwrap().tree.release == 9


@pytest.mark.parametrize(("version", "base"), [(9, 6), (7, 6), (8, 9)])
def test_another_base_is_a_conflict(version: int, base: int) -> None:
    tree = put(empty_tree("mesh"), read())
    edit = edit_of(tree, read(version=version, base=base))
    refused = apply_edit(tree, edit, 2).failure()
    assert isinstance(refused, EditConflict)
    assert refused.actual_revision == 7


INVALID = {
    "unknown service": {"routes": {"pay": route(service="nobody")}},
    "no weight": {
        "routes": {
            "pay": route(service=None, split=[{"service": "kassa", "weight": 0}]),
        }
    },
    "no time-out": {"routes": {"pay": route(timeout_milliseconds=0)}},
    "no attempts": {"routes": {"pay": route(attempts=0)}},
    "no host": {"routes": {"pay": route(host="")}},
    "no target": {"routes": {"pay": route(service=None)}},
    "two targets": {"routes": {"pay": route(split=SPLIT)}},
    "old version": {"version": 3, "base": 7},
    "same version": {"version": 7, "base": 7},
    "shared key": {"tenants": {"a": {"keys": ["k", "x"]}, "b": {"keys": ["x"]}}},
    "empty key": {"tenants": {"a": {"keys": [""]}}},
    "negative rate": {"tenants": {"a": {"keys": [], "rate_per_second": -0.5}}},
    "huge rate": {"tenants": {"a": {"keys": [], "rate_per_second": 10**30}}},
    "negative burst": {"tenants": {"a": {"keys": [], "burst": -1}}},
    "no tenant's name": {"tenants": {"A tenant": {"keys": []}}},
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_configurations_have_problems(name: str) -> None:
    assert find_problems(read(**INVALID[name]))


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'{"version":7}',
        b"\xff",
        b"[" * 5_000,
        json.dumps(body(tenants={"a": {}})).encode(),
        json.dumps(body(tenants={"a": {"keys": "secret-key"}})).encode(),
        json.dumps(body(tenants={"a": {"keys": ["secret-key", 1]}})).encode(),
        json.dumps(body(tenants={"a": {"keys": [], "burst": math.nan}})).encode(),
        json.dumps(body(tenants={"a": {"keys": [], "burst": math.inf}})).encode(),
        json.dumps(body(tenants={"a": {"keys": [], "burst": None}})).encode(),
        json.dumps(body(tenants=["secret-key"])).encode(),
    ],
)
def test_unreadable_bodies_are_problems(text: bytes) -> None:
    decoded = decode_configuration(text)
    assert isinstance(decoded, Failure)
    assert "secret" not in repr(decoded.failure())


def test_a_configuration_without_tenants_is_read_back_without_any() -> None:
    for given_body in (body(), body(tenants={})):
        wanted = decode_configuration(json.dumps(given_body).encode()).unwrap()
        tree = put(empty_tree("mesh"), wanted)
        assert tree.tenants == {}
        assert b"tenants" not in encode_configuration(configuration_of(tree))
        assert b"public" not in encode_configuration(configuration_of(tree))


def test_a_changed_key_is_an_edit_of_that_tenant_alone() -> None:
    many = {f"t{number}": {"keys": [f"key-{number}"]} for number in range(82)}
    tree = put(empty_tree("mesh"), read(tenants=many))
    many["t7"] = {"keys": ["key-7", "key-new"], "rate_per_second": 350}
    edit = edit_of(tree, read(version=8, base=7, tenants=many))
    assert [operation.name for operation in edit.operations] == ["t7"]  # type: ignore[union-attr]
    without = edit_of(tree, read(version=8, base=7))
    assert {type(operation) for operation in without.operations} == {RemoveTenant}


def test_a_key_may_be_removed_and_added_again() -> None:
    tree = empty_tree("mesh")
    for number, keys in enumerate((["a", "b"], ["b"], ["a", "b"], []), 1):
        wanted = read(version=number, base=number - 1, tenants={"t": {"keys": keys}})
        tree = put(tree, wanted)
        assert tree.tenants["t"].keys == tuple(keys)


def test_a_body_cut_anywhere_is_a_problem() -> None:
    whole = encode_configuration(read())
    for end in range(len(whole)):
        assert isinstance(decode_configuration(whole[:end]), Failure)


def test_the_change_id_depends_on_all_of_the_content() -> None:
    first = change_id_of(read())
    assert first == change_id_of(read())
    assert first != change_id_of(read(base=1))
    assert first != change_id_of(read(routes={"pay": route(priority=2)}))


def test_the_change_id_depends_on_the_keys_and_shows_none() -> None:
    keyed = [read(tenants={"t": {"keys": [key]}}) for key in ("sesame-1", "sesame-2")]
    first, second = (change_id_of(each) for each in keyed)
    assert first != second
    assert "sesame" not in first
    plain = change_id_of(read())
    assert len(first) == len(plain)
    assert change_id_of(read(tenants={})) != first
