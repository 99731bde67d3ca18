"""The catalog: deltas and how far back they reach, shared entries, affected scopes."""

from tests.version.trees import applied, refund_tree

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.model import (
    Operation,
    Overrides,
    PromoteSecret,
    PutSecret,
    RemoveNode,
    Scope,
    SetOverrides,
    Snapshot,
)
from peppershore.version.scope_state import HISTORY_LIMIT
from peppershore.version.snapshot import apply_update, open_snapshot

TILL = Scope("till", "pasila")
KASSA = Scope("kassa", "pasila")
KUITTI = Scope("kuitti", "pasila")
KASSA_ELSEWHERE = Scope("kassa", "vantaa-t2")
SCOPES = (TILL, KASSA, KUITTI, KASSA_ELSEWHERE)


def loaded() -> ScopeCatalog:
    catalog = ScopeCatalog()
    catalog.load(refund_tree())
    for scope in SCOPES:
        catalog.use(scope)
    return catalog


def advance(catalog: ScopeCatalog, *operations: Operation) -> set[Scope]:
    change = applied(catalog.tree, *operations)
    affected = catalog.advance(change)
    assert affected == catalog.affected(change)
    return set(affected)


def set_attempts(path: str, attempts: int) -> SetOverrides:
    return SetOverrides(path, Overrides(retry_attempts=attempts))


def test_only_scopes_that_hold_what_changed_are_affected() -> None:
    catalog = loaded()
    assert advance(catalog, set_attempts("/kassa/*/pay", 1)) == {
        TILL,
        KASSA,
        KASSA_ELSEWHERE,
    }
    assert advance(catalog, set_attempts("/kassa/pasila/pay", 3)) == {TILL, KASSA}
    assert advance(catalog, set_attempts("/till", 3)) == {TILL}
    assert advance(catalog, set_attempts("/", 5)) == {TILL, KUITTI}
    assert advance(catalog, SetOverrides("/kuitti", Overrides(slots=3))) == {TILL, KUITTI}


def test_an_edit_without_effect_affects_no_scope() -> None:
    catalog = loaded()
    advance(catalog, set_attempts("/kassa/pasila/pay", 3))
    assert advance(catalog, set_attempts("/kassa/pasila/pay", 3)) == set()
    assert advance(catalog, set_attempts("/kassa/pasila", 5)) == set()
    assert advance(catalog, RemoveNode("/kassa/pasila")) != set()


def test_a_changed_secret_reaches_the_scopes_that_use_it() -> None:
    catalog = loaded()
    held = catalog.snapshot(TILL)
    holders = {TILL, KASSA, KASSA_ELSEWHERE}
    assert advance(catalog, PutSecret("member-key", b"second")) == holders
    rotating = receive(catalog, held)
    assert rotating.resources.keys() == held.resources.keys()
    secret = open_snapshot(rotating).secrets["member-key"]
    assert [each.generation for each in secret.generations] == [1, 2]
    assert secret.signing_generation == 1
    assert advance(catalog, PromoteSecret("member-key", 2)) == holders
    final = open_snapshot(receive(catalog, rotating)).secrets["member-key"]
    assert final.signing_generation == 2


def receive(catalog: ScopeCatalog, held: Snapshot) -> Snapshot:
    """Return the snapshot after a delta; the catalog must know the base ``held``."""
    update = catalog.update_since(held.scope, held.version, held.digest)
    assert update is not None
    assert not update.full
    return apply_update(held, update).unwrap()


def test_hundreds_of_missed_changes_are_one_delta_of_what_differs() -> None:
    catalog = loaded()
    held = catalog.snapshot(TILL)
    for number in range(HISTORY_LIMIT - 1):
        advance(catalog, set_attempts("/kuitti/*/read", number % 4 + 3))
    update = catalog.update_since(TILL, held.version, held.digest)
    assert update is not None
    assert [each.name for each in update.changed] == ["route:kuitti/read"]
    assert receive(catalog, held) == catalog.snapshot(TILL)


def test_a_base_older_than_the_history_gets_full_state() -> None:
    catalog = loaded()
    held = catalog.snapshot(TILL)
    for number in range(1, HISTORY_LIMIT + 1):
        settings = Overrides(timeout_milliseconds=number)
        advance(catalog, SetOverrides("/kuitti/*/read", settings))
    update = catalog.update_since(TILL, held.version, held.digest)
    assert update is not None
    assert update.full
    assert apply_update(held, update).unwrap() == catalog.snapshot(TILL)


def test_a_delta_lists_removed_names_only_if_its_base_has_them() -> None:
    catalog = loaded()
    held = catalog.snapshot(TILL)
    advance(catalog, RemoveNode("/kuitti/*/read"))
    update = catalog.update_since(TILL, held.version, held.digest)
    assert update is not None
    assert update.removed == ("route:kuitti/read",)
    after = receive(catalog, held)
    advance(catalog, SetOverrides("/kuitti/*/read", Overrides(path_prefix="/receipts")))
    again = catalog.update_since(TILL, after.version, after.digest)
    assert again is not None
    assert (len(again.changed), again.removed) == (1, ())


def test_a_holder_with_the_same_digest_or_ahead_gets_nothing() -> None:
    catalog = loaded()
    snapshot = catalog.snapshot(TILL)
    assert catalog.update_since(TILL, 0, snapshot.digest) is None
    assert catalog.update_since(TILL, snapshot.version + 1, 12345) is None
    assert catalog.update_since(TILL, 0, 12345) is not None


def test_updates_and_encoded_resources_are_shared() -> None:
    catalog = loaded()
    assert catalog.update_since(TILL, 0, 0) is catalog.update_since(TILL, 0, 0)
    for_till = catalog.snapshot(TILL).resources
    for_kassa = catalog.snapshot(KASSA).resources
    elsewhere = catalog.snapshot(KASSA_ELSEWHERE).resources
    assert for_till["route:kassa/pay"] is for_kassa["route:kassa/pay"]
    assert for_kassa["service:kassa"] is elsewhere["service:kassa"]
    assert for_kassa["route:kassa/pay"] is not elsewhere["route:kassa/pay"]


def test_a_target_outside_calls_is_held_as_well() -> None:
    catalog = loaded()
    assert catalog.services_held(KASSA) == {"kassa"}
    advance(catalog, SetOverrides("/kassa/*/pay", Overrides(target="kuitti")))
    assert catalog.services_held(KASSA) == {"kassa", "kuitti"}
    assert "route:kuitti/read" not in catalog.snapshot(KASSA).resources
    assert advance(catalog, SetOverrides("/kuitti", Overrides(slots=3))) == set(SCOPES)


def test_a_scope_of_an_absent_service_is_empty_until_the_service_is_added() -> None:
    catalog = loaded()
    scope = Scope("desk", "pasila")
    empty = catalog.snapshot(scope)
    assert empty.resources == {}
    assert empty.digest != 0
    assert advance(catalog, SetOverrides("/desk", Overrides(slots=3))) == {scope}
    assert receive(catalog, empty).resources.keys() == {"service:desk"}


def test_a_forgotten_scope_starts_without_history() -> None:
    catalog = loaded()
    held = catalog.snapshot(TILL)
    catalog.forget(TILL)
    assert TILL not in catalog.scopes
    assert advance(catalog, set_attempts("/kuitti/*/read", 3)) == {KUITTI}
    update = catalog.update_since(TILL, held.version, held.digest)
    assert update is not None
    assert update.full
