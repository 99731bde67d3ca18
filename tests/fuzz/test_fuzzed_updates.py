"""A damaged update is refused, or makes exactly what its digest names."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from tests.version.trees import applied, refund_tree

from peppershore.version.catalog import ScopeCatalog
from peppershore.version.closure import find_gaps
from peppershore.version.digest import snapshot_digest
from peppershore.version.model import Overrides, Scope, SetOverrides, Snapshot, Update
from peppershore.version.snapshot import apply_update

TILL = Scope("till", "pasila")


def held_and_update() -> tuple[Snapshot, Update]:
    tree = refund_tree()
    catalog = ScopeCatalog()
    catalog.load(tree)
    catalog.use(TILL)
    held = catalog.snapshot(TILL)
    change = applied(
        tree,
        SetOverrides("/till/*/new", Overrides(path_prefix="/new", target="kassa")),
        SetOverrides("/till", Overrides(calls=("kassa", "kuitti"), slots=9)),
        change_id="change",
    )
    catalog.advance(change)
    update = catalog.update_since(TILL, held.version, held.digest)
    assert update is not None
    return held, update


HELD, UPDATE = held_and_update()
places = st.integers(0, 50)


def without_one(update: Update, place: int) -> Update:
    index = place % len(update.changed)
    changed = (*update.changed[:index], *update.changed[index + 1 :])
    return msgspec.structs.replace(update, changed=changed)


def with_a_changed_byte(update: Update, place: int) -> Update:
    index = place % len(update.changed)
    resource = update.changed[index]
    payload = bytearray(resource.payload)
    payload[place % len(payload)] ^= 1 + place
    damaged = msgspec.structs.replace(resource, payload=bytes(payload))
    changed = (*update.changed[:index], damaged, *update.changed[index + 1 :])
    return msgspec.structs.replace(update, changed=changed)


def removing_one_held(update: Update, place: int) -> Update:
    names = sorted(HELD.resources)
    removed = (*update.removed, names[place % len(names)])
    return msgspec.structs.replace(update, removed=removed)


def for_another_base(update: Update, place: int) -> Update:
    return msgspec.structs.replace(update, base_digest=update.base_digest + place)


def called_full(update: Update, place: int) -> Update:
    del place
    return msgspec.structs.replace(update, full=not update.full)


damages = st.sampled_from(
    (without_one, with_a_changed_byte, removing_one_held, for_another_base, called_full)
)


@given(st.lists(st.tuples(damages, places), max_size=3))
def test_a_damaged_update_is_refused_or_makes_what_it_names(damaged) -> None:  # type: ignore[no-untyped-def]
    update = UPDATE
    for damage, place in damaged:
        if update.changed:
            update = damage(update, place)
    outcome = apply_update(HELD, update)
    if isinstance(outcome, Success):
        made = outcome.unwrap()
        assert snapshot_digest(TILL, made.resources.values()) == UPDATE.digest
        assert not find_gaps(TILL, made.resources.values())
    else:
        assert damaged
        assert outcome.failure().kind
