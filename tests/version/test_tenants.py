"""Tenants in the tree: edits, rules, inheritance, differences, resources of nodes."""

from __future__ import annotations

import hashlib
import math
import re
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from tests.version.trees import applied, edit_of, refund_tree

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.difference import Difference, compare_trees
from peppershore.version.model import (
    ChangeTenantKeys,
    Edit,
    EditConflict,
    ExpectedRevision,
    Operation,
    Overrides,
    RemoveTenant,
    Scope,
    SetOverrides,
    SetTenant,
    Tenant,
    TenantResource,
    Tree,
)
from peppershore.version.revert import revert_operations
from peppershore.version.snapshot import apply_update, empty_snapshot, open_snapshot
from peppershore.version.tenant_keys import change_keys
from peppershore.version.tenants import (
    HIDDEN_MARK,
    MAXIMUM_KEY_BYTES,
    MAXIMUM_KEYS_OF_TENANT,
    hidden_keys,
    key_digest,
    key_fingerprint,
    limit_origins,
    limits_of,
    shared_keys,
)
from peppershore.version.tree import apply_edit, revision_of
from peppershore.version.tree_file import tree_from_toml, tree_to_toml
from peppershore.version.validation import MAXIMUM_TENANTS, validate_tree

STUDIO = SetTenant("studio", 350, 100.5, 1, ("studio-key-one", "studio-key-two"))
FARM = SetTenant("farm", keys=("farm-key",))
TILL = Scope("till", "pasila")
KASSA = Scope("kassa", "vantaa-t2")


def tree_of(*operations: Operation) -> Tree:
    return applied(refund_tree(), *operations).tree


def refused(tree: Tree, *operations: Operation) -> tuple[str, str]:
    problems = apply_edit(tree, edit_of(*operations), tree.version + 1).failure().problems  # type: ignore[union-attr]
    assert len(problems) == 1, problems
    return problems[0].subject, problems[0].reason


# --- edits -------------------------------------------------------------------


def test_a_tenant_is_set_changed_and_removed() -> None:
    tree = tree_of(STUDIO, FARM)
    assert tree.tenants["studio"].keys == ("studio-key-one", "studio-key-two")
    assert tree.tenants["studio"].revision == tree.version
    slower = applied(tree, SetTenant("studio", 10)).tree
    assert slower.tenants["studio"].keys == tree.tenants["studio"].keys
    assert limits_of(slower, "studio").burst == 0, "what is unset is inherited"
    assert slower.tenants["farm"] is tree.tenants["farm"]
    assert applied(slower, RemoveTenant("studio")).tree.tenants.keys() == {"farm"}
    assert refund_tree().tenants == {}


def test_a_tenant_that_is_not_there_cannot_be_removed() -> None:
    assert refused(refund_tree(), RemoveTenant("nobody")) == (
        "tenant:nobody",
        "there is no such tenant",
    )


def test_the_second_of_two_edits_of_a_tenant_is_a_conflict() -> None:
    tree = tree_of(STUDIO)
    seen = revision_of(tree, "tenant:studio")
    assert seen == tree.version
    tree = applied(tree, SetTenant("studio", 5), change_id="winner").tree
    late = Edit(
        "late", (SetTenant("studio", 6),), (ExpectedRevision("tenant:studio", seen),)
    )
    conflict = apply_edit(tree, late, tree.version + 1).failure()
    assert isinstance(conflict, EditConflict)
    assert (conflict.subject, conflict.winner_change_id) == ("tenant:studio", "winner")
    absent = (ExpectedRevision("tenant:other", 0),)
    new = Edit("new", (SetTenant("other"),), absent)
    assert isinstance(apply_edit(tree, new, tree.version + 1), Success)


def test_a_key_may_move_to_another_tenant_within_one_edit() -> None:
    tree = tree_of(FARM)
    renamed = applied(tree, RemoveTenant("farm"), SetTenant("mill", keys=("farm-key",)))
    assert renamed.tree.tenants.keys() == {"mill"}


FIRST, SECOND = (key_fingerprint(key) for key in STUDIO.keys or ())


def test_keys_are_added_and_dropped_by_fingerprint() -> None:
    tree = tree_of(STUDIO, FARM)
    both = applied(tree, ChangeTenantKeys("studio", keys=("studio-key-three",))).tree
    assert both.tenants["studio"].keys == (*STUDIO.keys, "studio-key-three")
    assert both.tenants["studio"].revision == both.version
    assert limits_of(both, "studio") == limits_of(tree, "studio"), "limits stay"
    last = applied(both, ChangeTenantKeys("studio", drop=(FIRST, SECOND))).tree
    assert last.tenants["studio"].keys == ("studio-key-three",)
    none = applied(last, ChangeTenantKeys("farm", drop=(key_fingerprint("farm-key"),)))
    assert none.tree.tenants["farm"].keys == ()


INVALID_KEY_CHANGES: dict[str, tuple[ChangeTenantKeys, str]] = {
    "no tenant": (ChangeTenantKeys("nobody", ("k",)), "there is no such tenant"),
    "held": (ChangeTenantKeys("studio", ("studio-key-one",)), f"has the key .* {FIRST}"),
    "given twice": (ChangeTenantKeys("studio", ("k", "k")), "has the key"),
    "not held": (ChangeTenantKeys("studio", (), ("sha256:00000000",)), "has no key"),
    "no fingerprint": (ChangeTenantKeys("studio", (), ("studio-key-one",)), "is no finge"),
    "another's": (ChangeTenantKeys("studio", ("farm-key",)), "shares a key"),
    "empty": (ChangeTenantKeys("studio", ("",)), "key 3 is empty"),
    "hidden": (ChangeTenantKeys("studio", hidden_keys(["k"])), "control character"),
}


@pytest.mark.parametrize("case", INVALID_KEY_CHANGES)
def test_an_invalid_change_of_keys_is_refused_without_showing_a_key(case: str) -> None:
    operation, expected = INVALID_KEY_CHANGES[case]
    subject, reason = refused(tree_of(STUDIO, FARM), operation)
    assert subject == f"tenant:{operation.name}"
    assert re.search(expected, reason)
    for key in ("studio-key", "farm-key"):
        assert key not in reason


def test_dropping_a_fingerprint_of_two_keys_is_refused() -> None:
    held = ("key", *hidden_keys(["key"]))
    drop = (key_fingerprint("key"),)
    (reason,) = change_keys(held, (), drop).failure()
    assert "has 2 keys" in reason


def test_each_limit_has_its_origin() -> None:
    root = SetOverrides("/", Overrides(tenant_rate_per_second=7, tenant_priority=3))
    tree = tree_of(root, SetTenant("studio", rate_per_second=0), FARM)
    assert [(each.value, each.path) for each in limit_origins(tree, "studio")] == [
        (0, "tenant:studio"),
        (0, "built-in"),
        (3, "/"),
    ]
    for name in ("studio", "farm"):
        values = {each.name: each.value for each in limit_origins(tree, name)}
        assert values == msgspec.structs.asdict(limits_of(tree, name))


# --- rules -------------------------------------------------------------------

INVALID_TENANTS: dict[str, tuple[SetTenant, str]] = {
    "shared key": (SetTenant("other", keys=("x", "farm-key")), "shares a key"),
    "empty key": (SetTenant("other", keys=("x", "")), "key 2 is empty"),
    "negative rate": (SetTenant("other", rate_per_second=-1), "rate_per_second is -1"),
    "no number": (SetTenant("other", rate_per_second=math.nan), "rate_per_second is"),
    "endless burst": (SetTenant("other", burst=math.inf), "burst is"),
    "huge burst": (SetTenant("other", burst=10**5_000), "burst is"),
    "truth for a rate": (SetTenant("other", rate_per_second=True), "rate_per_second is"),
    "negative priority": (SetTenant("other", priority=-1), "priority is -1"),
    "huge priority": (SetTenant("other", priority=10**5_000), "priority is"),
    "no name": (SetTenant("Other Tenant"), "not a tenant's name"),
    "empty name": (SetTenant(""), "not a tenant's name"),
    "line feed": (SetTenant("other", keys=("secret\nkey",)), "control character"),
    "hidden key": (SetTenant("other", keys=hidden_keys(["k"])), "control character"),
    "long key": (SetTenant("other", keys=("k" * (MAXIMUM_KEY_BYTES + 1),)), "bytes"),
    "many keys": (
        SetTenant("other", keys=tuple(map(str, range(MAXIMUM_KEYS_OF_TENANT + 1)))),
        "keys",
    ),
}


@pytest.mark.parametrize("name", INVALID_TENANTS)
def test_an_invalid_tenant_is_refused_without_showing_a_key(name: str) -> None:
    operation, reason = INVALID_TENANTS[name]
    subject, found = refused(tree_of(FARM), operation)
    assert subject == (f"tenant:{operation.name}")
    assert reason in found
    assert "farm-key" not in found
    assert "secret" not in found


def test_a_shared_key_is_found_even_if_only_one_tenant_changed() -> None:
    tree = tree_of(STUDIO, FARM)
    assert refused(tree, SetTenant("studio", keys=("farm-key",))) == (
        "tenant:studio",
        "shares a key with the tenant farm",
    )


def test_a_tenant_may_have_the_same_key_twice_or_no_key() -> None:
    tree = tree_of(SetTenant("twice", keys=("k", "k")), SetTenant("none", keys=()))
    assert tree.tenants["twice"].keys == ("k", "k")
    assert len(held(tree, TILL)["twice"].key_digests) == 1
    assert held(tree, TILL)["none"].key_digests == ()


def test_the_number_of_tenants_is_bounded() -> None:
    many = {f"t{number}": Tenant(()) for number in range(MAXIMUM_TENANTS + 1)}
    tree = Tree("c", 1, {}, refund_tree().nodes, refund_tree().secrets, 0, many)
    assert any("tenants" in problem.reason for problem in validate_tree(tree))


@given(
    st.dictionaries(
        st.sampled_from("abc"),
        st.lists(st.sampled_from(["k1", "k2", "k3"])).map(tuple),
    )
)
def test_exactly_the_pairs_that_share_a_key_are_named(
    keys_of: dict[str, tuple[str, ...]],
) -> None:
    named = {problem.subject.removeprefix("tenant:") for problem in shared_keys(keys_of)}
    expected = {
        name
        for name in keys_of
        for other in keys_of
        if other < name and set(keys_of[name]) & set(keys_of[other])
    }
    assert named == expected


# --- inheritance -------------------------------------------------------------


def test_unset_limits_of_a_tenant_are_inherited_from_the_root() -> None:
    shared = Overrides(tenant_rate_per_second=7.5, tenant_burst=3, tenant_priority=2)
    tree = tree_of(SetOverrides("/", shared), STUDIO, FARM)
    farm = limits_of(tree, "farm")
    assert (farm.rate_per_second, farm.burst, farm.priority) == (7.5, 3, 2)
    studio = limits_of(tree, "studio")
    assert (studio.rate_per_second, studio.burst, studio.priority) == (350, 100.5, 1)
    zero = applied(tree, SetTenant("farm", rate_per_second=0)).tree
    assert limits_of(zero, "farm").rate_per_second == 0, "0 is set, not inherited"


@pytest.mark.parametrize("path", ["/kassa", "/kassa/pasila", "/kassa/*/pay"])
def test_limits_of_tenants_are_allowed_on_the_root_only(path: str) -> None:
    _, reason = refused(refund_tree(), SetOverrides(path, Overrides(tenant_burst=1)))
    assert "makes no sense" in reason


# --- differences, reverts and files ------------------------------------------


def test_differences_show_fingerprints_of_keys_and_no_key() -> None:
    before = tree_of(STUDIO, FARM)
    after = applied(
        before,
        SetTenant("studio", 350, 9, keys=("studio-key-one", "studio-key-new")),
        RemoveTenant("farm"),
    ).tree
    found = compare_trees(before, after)
    assert [(each.subject, each.kind, each.setting) for each in found] == [
        ("tenant:farm", "removed", "keys"),
        ("tenant:studio", "changed", "burst"),
        ("tenant:studio", "changed", "keys"),
        ("tenant:studio", "removed", "priority"),
    ]
    assert found[1] == Difference("tenant:studio", "changed", "burst", "100.5", "9")
    assert key_fingerprint("studio-key-new") in found[2].after
    assert not any("-key" in each.before + each.after for each in found)


def test_a_hidden_key_has_the_fingerprint_of_the_key() -> None:
    hidden = hidden_keys(("farm-key",))
    assert hidden[0].startswith(HIDDEN_MARK)
    assert key_fingerprint(hidden[0]) == key_fingerprint("farm-key")
    assert hidden_keys(hidden) == hidden


def test_a_revert_restores_limits_but_no_removed_key() -> None:
    older = tree_of(STUDIO, FARM)
    now = applied(
        older, SetTenant("studio", 1, keys=("studio-key-two",)), SetTenant("late")
    ).tree
    reverted = applied(now, *revert_operations(now, older)).tree
    assert reverted.tenants.keys() == {"studio", "farm"}
    assert limits_of(reverted, "studio") == limits_of(older, "studio")
    assert reverted.tenants["studio"].keys == ("studio-key-two",)


def test_a_whole_configuration_sets_keys_too() -> None:
    older = tree_of(STUDIO, FARM)
    now = applied(older, SetTenant("studio", 350, 100.5, 1, ("studio-key-two",))).tree
    operations = revert_operations(now, older, with_keys=True)
    assert operations == (STUDIO,)
    assert revert_operations(older, older, with_keys=True) == ()


def test_a_tree_file_leaves_tenants_as_they_are_and_holds_no_key() -> None:
    tree = tree_of(STUDIO)
    text = tree_to_toml(tree, with_material=True)
    assert "studio-key" not in text
    read = tree_from_toml(text, tree.secrets, tree.tenants).unwrap()
    assert compare_trees(tree, read) == ()
    assert revert_operations(tree, read) == ()


# --- resources of nodes ------------------------------------------------------


def held(tree: Tree, scope: Scope) -> dict[str, TenantResource]:
    catalog = ScopeCatalog()
    catalog.load(tree)
    return open_snapshot(catalog.snapshot(scope)).tenants


def test_every_scope_holds_digests_of_the_keys_and_no_key() -> None:
    tree = tree_of(STUDIO, FARM)
    digests = {hashlib.sha256(key.encode()).digest() for key in STUDIO.keys}  # type: ignore[union-attr]
    assert key_digest(b"studio-key-one") in digests
    catalog = ScopeCatalog()
    catalog.load(tree)
    for scope in (TILL, KASSA):
        snapshot = catalog.snapshot(scope)
        studio = open_snapshot(snapshot).tenants["studio"]
        assert set(studio.key_digests) == digests
        assert (studio.rate_per_second, studio.burst, studio.priority) == (350, 100.5, 1)
        assert open_snapshot(snapshot).tenants["farm"].priority is None
        payloads = b"".join(each.payload for each in snapshot.resources.values())
        assert b"studio-key" not in payloads
        assert b"farm-key" not in payloads


def test_a_scope_without_service_holds_no_tenants() -> None:
    assert held(tree_of(STUDIO), Scope("nobody", "pasila")) == {}


def test_a_changed_key_sends_only_that_tenants_resource() -> None:
    many = [SetTenant(f"t{number}", keys=(f"key-{number}",)) for number in range(82)]
    catalog = ScopeCatalog()
    catalog.load(tree_of(*many))
    scopes = {TILL, KASSA, Scope("kuitti", "pasila")}
    before = {scope: catalog.snapshot(scope) for scope in scopes}
    change = applied(catalog.tree, SetTenant("t7", keys=("key-7", "key-new")))
    assert set(catalog.advance(change)) == scopes
    for scope, known in before.items():
        update = catalog.update_since(scope, known.version, known.digest)
        assert update is not None
        assert not update.full
        assert [each.name for each in update.changed] == ["tenant:t7"]
        taken = apply_update(known, update).unwrap()
        assert len(open_snapshot(taken).tenants["t7"].key_digests) == 2


def test_a_removed_tenant_leaves_snapshots_and_the_order_of_keys_is_irrelevant() -> None:
    catalog = ScopeCatalog()
    catalog.load(tree_of(STUDIO, FARM))
    known = catalog.snapshot(TILL)
    reordered = SetTenant("studio", 350, 100.5, 1, ("studio-key-two", "studio-key-one"))
    assert catalog.advance(applied(catalog.tree, reordered)) == ()
    catalog.advance(applied(catalog.tree, RemoveTenant("farm")))
    update = catalog.update_since(TILL, known.version, known.digest)
    assert update is not None
    assert (update.changed, update.removed) == ((), ("tenant:farm",))
    assert open_snapshot(apply_update(known, update).unwrap()).tenants.keys() == {"studio"}


def test_a_limit_of_the_root_reaches_the_tenants_that_inherit_it() -> None:
    catalog = ScopeCatalog()
    catalog.load(tree_of(STUDIO, FARM))
    known = catalog.snapshot(TILL)
    change = applied(catalog.tree, SetOverrides("/", Overrides(tenant_rate_per_second=9)))
    catalog.advance(change)
    update = catalog.update_since(TILL, known.version, known.digest)
    assert update is not None
    assert [each.name for each in update.changed] == ["tenant:farm"]


names = st.sampled_from(["a", "b", "c"])
figures = st.one_of(st.integers(0, 9), st.floats(0, 9))
changes = st.one_of(
    st.builds(
        lambda name, rate, number: SetTenant(name, rate, keys=(f"{name}{number}",)),
        names,
        figures,
        st.integers(0, 3),
    ),
    names.map(RemoveTenant),
    figures.map(lambda rate: SetOverrides("/", Overrides(tenant_rate_per_second=rate))),
    st.just(SetOverrides("/kassa", Overrides(slots=3))),
)


@given(st.lists(changes, max_size=12), st.data())
def test_differences_give_what_a_new_catalog_gives(
    sequence: list[Any], data: st.DataObject
) -> None:
    catalog = ScopeCatalog()
    catalog.load(refund_tree())
    node = empty_snapshot(TILL)
    for operation in sequence:
        outcome = apply_edit(catalog.tree, edit_of(operation), catalog.version + 1)
        if not isinstance(outcome, Success):
            continue
        catalog.advance(outcome.unwrap())
        if data.draw(st.booleans()):
            update = catalog.update_since(TILL, node.version, node.digest)
            if update is not None:
                node = apply_update(node, update).unwrap()
            anew = ScopeCatalog()
            anew.load(catalog.tree)
            assert node.resources == anew.snapshot(TILL).resources
            assert open_snapshot(node).tenants == held(catalog.tree, TILL)
