"""Inheritance: the precedence of layers, and the origin of each value."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from tests.version.tree_strategies import SERVICES, STARTING_OPERATIONS, ZONES, edits
from tests.version.trees import applied, edit_of, refund_tree

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import (
    Operation,
    Overrides,
    Scope,
    SetOverrides,
    SetTenant,
    Tree,
)
from peppershore.version.resolve import (
    BUILT_IN,
    resolve_route,
    resolve_service,
    routes_of,
    services_of,
    set_values,
)
from peppershore.version.snapshot import open_snapshot
from peppershore.version.tree import apply_edit, empty_tree


def test_later_layers_win_and_each_value_names_its_node() -> None:
    tree = refund_tree()
    layers = ("/", "/kassa", "/kassa/*", "/kassa/pasila", "/kassa/*/pay")
    for number, path in enumerate((*layers, "/kassa/pasila/pay"), start=1):
        tree = applied(tree, SetOverrides(path, Overrides(retry_attempts=number))).tree
        resolved = resolve_route(tree, "kassa", "pasila", "pay")
        assert resolved.settings.retry_attempts == number
        origin = next(each for each in resolved.origins if each.name == "retry_attempts")
        assert (origin.value, origin.path) == (number, path)
    elsewhere = resolve_route(tree, "kassa", "vantaa-t2", "pay")
    assert elsewhere.settings.retry_attempts == 5


def test_built_in_values_and_default_target() -> None:
    resolved = resolve_route(refund_tree(), "kuitti", "pasila", "read")
    origins = {each.name: each.path for each in resolved.origins}
    assert resolved.settings.target == "kuitti"
    assert origins["target"] == BUILT_IN
    assert origins["timeout_milliseconds"] == "/"
    service = resolve_service(refund_tree(), "kassa", "pasila")
    assert {each.name: each.path for each in service.origins}["slots"] == "/kassa"


def test_routes_of_a_zone_are_those_of_any_zone_and_its_own() -> None:
    operation = SetOverrides("/kassa/pasila/refund", Overrides(path_prefix="/refund"))
    tree = applied(refund_tree(), operation).tree
    assert routes_of(tree, "kassa", "pasila") == ("pay", "refund")
    assert routes_of(tree, "kassa", "vantaa-t2") == ("pay",)
    assert routes_of(tree, "nobody", "pasila") == ()


EVERY_ROUTE_SETTING = Overrides(
    path_prefix="/other",
    methods=("PUT", "POST"),
    target="kuitti",
    timeout_milliseconds=1,
    call_class="bulk",
    repeatable=True,
    audience=("member", "public"),
    hop="owner",
    retry_budget_percent=1,
    retry_attempts=1,
    require_ready=False,
    caller_rate_per_second=1,
    verify_secret="member-key",
    max_body_bytes=1,
    host="refund.example",
    splits=("kuitti=9", "kassa=1"),
    priority=2,
    target_latency_milliseconds=1,
    retry_errors=True,
    streamed_bodies=True,
    large_answers=True,
    keyless=True,
)
EVERY_SERVICE_SETTING = Overrides(
    calls=("kuitti",),
    slots=1,
    connections=1,
    queue_limit=1,
    slow_start_milliseconds=1,
    ejection_failures=1,
    ejection_max_percent=1,
    sign_secret="member-key",
    spill_over=False,
    holds_every_service=True,
    health_path="/health",
    backend_protocol="h1",
    backend_tls=True,
    max_header_bytes=300,
    header_timeout_milliseconds=1,
    idle_timeout_milliseconds=1,
    rollout_version="v2",
    rollout_state="running",
    rollout_share=800,
    rollout_began_milliseconds=1,
    rollout_milliseconds=1,
)


EVERY_TENANT_SETTING = Overrides(
    tenant_rate_per_second=1, tenant_burst=2, tenant_priority=3
)


def test_every_setting_reaches_the_node() -> None:
    tree = applied(
        refund_tree(),
        SetOverrides("/", EVERY_TENANT_SETTING),
        SetTenant("studio", keys=("key",)),
        SetOverrides("/kassa", EVERY_SERVICE_SETTING),
        SetOverrides("/kassa/*/pay", EVERY_ROUTE_SETTING),
    ).tree
    catalog = ScopeCatalog()
    catalog.load(tree)
    active = open_snapshot(catalog.snapshot(Scope("kassa", "vantaa-t2")))
    route = next(each for each in active.routes if each.service == "kassa")
    expected = {
        **set_values(EVERY_SERVICE_SETTING),
        **set_values(EVERY_ROUTE_SETTING),
        **set_values(EVERY_TENANT_SETTING),
    }
    tenant = active.tenants["studio"]
    held = {
        **msgspec.structs.asdict(active.services["kassa"]),
        **msgspec.structs.asdict(route.settings),
        "tenant_rate_per_second": tenant.rate_per_second,
        "tenant_burst": tenant.burst,
        "tenant_priority": tenant.priority,
    }
    assert held == expected
    assert held.keys() == set(Overrides.__struct_fields__)


def check_catalog_against_resolution(tree: Tree) -> None:
    catalog = ScopeCatalog()
    catalog.load(tree)
    for service in services_of(tree):
        for zone in (*ZONES, "undeclared"):
            active = open_snapshot(catalog.snapshot(Scope(service, zone)))
            settings = resolve_service(tree, service, zone).settings
            assert active.services[service] == settings
            holders = {service, *settings.calls}
            assert {(each.service, each.route) for each in active.routes} == {
                (name, route) for name in holders for route in routes_of(tree, name, zone)
            }
            for each in active.routes:
                resolved = resolve_route(tree, each.service, zone, each.route)
                assert each.settings == resolved.settings


@given(st.lists(edits, max_size=6))
def test_the_catalog_holds_what_resolution_gives(
    sequence: list[tuple[Operation, ...]],
) -> None:
    tree = applied(empty_tree("test"), *STARTING_OPERATIONS).tree
    for operations in sequence:
        outcome = apply_edit(tree, edit_of(*operations), tree.version + 1)
        if isinstance(outcome, Success):
            tree = outcome.unwrap().tree
    assert set(services_of(tree)) <= set(SERVICES)
    check_catalog_against_resolution(tree)
