"""Tenants in the replicated state: stored, reverted, and missing from older snapshots."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from tests.version.trees import REFUND_OPERATIONS

from peppershore.connection.packing import pack_block, unpack_block
from peppershore.process.control.change_ids import may_have_run_before
from peppershore.process.control.state import ControlState, EditAdmitted, encode_command
from peppershore.version.model import (
    ChangeTenantKeys,
    Edit,
    ExpectedRevision,
    Operation,
    RemoveTenant,
    SetTenant,
)
from peppershore.version.tenants import key_fingerprint

STUDIO = SetTenant("studio", 350, 0.5, keys=("studio-key",))
EDITS = (
    Edit("first", REFUND_OPERATIONS),
    Edit("second", (STUDIO, SetTenant("farm", keys=("farm-key",)))),
    Edit("third", (SetTenant("studio", 7), RemoveTenant("farm"))),
)


def state_after(edits: tuple[Edit, ...]) -> ControlState:
    state = ControlState("refund", 100, 100)
    for index, edit in enumerate(edits, 1):
        state.apply(index, encode_command(EditAdmitted(edit)))
    return state


def restored(encoded: bytes) -> ControlState:
    state = ControlState("refund", 100, 100)
    state.restore(encoded)
    return state


def test_tenants_are_restored_unchanged_from_log_and_snapshot() -> None:
    state = state_after(EDITS[:2])
    again = restored(state.snapshot())
    assert again.tree == state.tree
    studio = again.tree.tenants["studio"]
    assert studio.keys == ("studio-key",)
    assert [type(each) for each in (studio.rate_per_second, studio.burst)] == [int, float]
    assert again.snapshot() == state.snapshot()


def test_history_leads_back_to_tenants_that_were_changed_and_removed() -> None:
    for state in (state_after(EDITS), restored(state_after(EDITS).snapshot())):
        older = state.history.tree_at(state.tree, 2)
        assert older is not None
        assert older.tenants == state_after(EDITS[:2]).tree.tenants
        oldest = state.history.tree_at(state.tree, 1)
        assert oldest is not None
        assert oldest.tenants == {}


def test_changed_keys_come_back_and_history_leads_back_to_the_former_ones() -> None:
    edits = (*EDITS[:2], Edit("keys", (KEYS_CHANGED,)))
    for state in (state_after(edits), restored(state_after(edits).snapshot())):
        assert state.tree.tenants["studio"].keys == ("next-key",)
        older = state.history.tree_at(state.tree, 2)
        assert older is not None
        assert older.tenants["studio"].keys == ("studio-key",)


def older_form(encoded: bytes) -> bytes:
    """Return a snapshot in the form of software that had no tenants."""
    image: list[Any] = msgspec.msgpack.decode(unpack_block(encoded))
    tree, *_, history = image
    del tree["tenants"]
    for _, _, reversal in history:
        del reversal[5:]
    return pack_block(msgspec.msgpack.encode(image))


def test_a_snapshot_of_software_without_tenants_is_accepted() -> None:
    state = state_after(EDITS[:1])
    again = restored(older_form(state.snapshot()))
    assert again.tree == state.tree
    assert again.tree.tenants == {}
    assert again.snapshot() == state.snapshot()
    again.apply(2, encode_command(EditAdmitted(EDITS[1])))
    assert again.tree.tenants.keys() == {"studio", "farm"}


KEYS_CHANGED = ChangeTenantKeys("studio", ("next-key",), (key_fingerprint("studio-key"),))


@pytest.mark.parametrize("operation", [STUDIO, KEYS_CHANGED, RemoveTenant("farm")])
def test_tenant_operations_are_decoded_as_they_were_encoded(operation: Operation) -> None:
    edit = Edit("id", (operation,))
    payload = msgspec.msgpack.encode(edit)
    assert msgspec.msgpack.decode(payload, type=Edit) == edit


def test_a_tenant_s_expected_revision_keeps_an_old_edit_from_running_twice() -> None:
    seen = (ExpectedRevision("tenant:studio", 5),)
    for operation in (STUDIO, KEYS_CHANGED):
        assert not may_have_run_before(Edit("id", (operation,), seen), horizon_version=9)
    assert may_have_run_before(Edit("id", (RemoveTenant("farm"),), seen), horizon_version=9)
