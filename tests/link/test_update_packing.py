"""Packed updates: whole again after unpacking, an error for anything else."""

from __future__ import annotations

import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from peppershore.connection import update_packing
from peppershore.connection.update_packing import DICTIONARY, pack_update, unpack_update
from peppershore.version.model import Resource, Scope, Update

UINT64 = st.integers(0, 2**64 - 1)
NAMES = st.text(max_size=20)
UPDATES = st.builds(
    Update,
    scope=st.builds(Scope, NAMES, NAMES),
    full=st.booleans(),
    base_digest=UINT64,
    version=st.integers(0, 2**53),
    digest=UINT64,
    changed=st.lists(st.builds(Resource, NAMES, st.binary(max_size=200))).map(tuple),
    removed=st.lists(NAMES).map(tuple),
)


@given(UPDATES)
def test_an_update_is_the_same_after_unpacking(update: Update) -> None:
    assert unpack_update(pack_update(update)).unwrap() == update


@given(st.binary(max_size=300))
def test_garbage_gives_an_error_or_an_update(data: bytes) -> None:
    outcome = unpack_update(data)
    assert isinstance(outcome, Failure) or isinstance(outcome.unwrap(), Update)


@given(UPDATES, st.data())
def test_a_packed_update_cut_short_gives_an_error(
    update: Update, data: st.DataObject
) -> None:
    packed = pack_update(update)
    length = data.draw(st.integers(0, len(packed) - 1))
    assert isinstance(unpack_update(packed[:length]), Failure)


def test_an_update_that_unpacks_to_too_much_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    huge = Resource("route:a/b", bytes(3_000_000))
    packed = pack_update(Update(Scope("a", "z"), True, 0, 1, 1, (huge,), ()))
    assert len(packed) < 1_000
    monkeypatch.setattr(update_packing, "MAX_UNPACKED_BYTES", 1_000_000)
    assert isinstance(unpack_update(packed), Failure)


def test_the_dictionary_is_part_of_the_protocol_and_does_not_change() -> None:
    known = "9edd1808234bcee83c2c0d04bd107bfb0f1068b872eeaa8a39d4ba787fc830e4"
    assert hashlib.sha256(DICTIONARY).hexdigest() == known
