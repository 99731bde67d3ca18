"""Packed updates survive a round trip; anything else gives an error."""

from __future__ import annotations

import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from peppershore.connection import packing
from peppershore.connection.update_packing import DICTIONARY, pack_update, unpack_update
from peppershore.version.model import (
    Digest,
    Resource,
    RouteResource,
    RouteSettings,
    Scope,
    SecretGeneration,
    SecretResource,
    ServiceResource,
    ServiceSettings,
    Update,
)
from peppershore.version.resource_codec import decode_resource, encode_resource
from peppershore.version.snapshot import apply_update, empty_snapshot

SCOPE = Scope("kassa", "pasila")
UINT64 = st.integers(0, 2**64 - 1)
NAMES = st.text(max_size=20)
GENERATIONS = st.builds(SecretGeneration, st.integers(0, 99), st.binary(max_size=64))
RESOURCES = st.one_of(
    st.builds(RouteResource, NAMES, NAMES, st.builds(RouteSettings, NAMES, target=NAMES)),
    st.builds(ServiceResource, NAMES, st.builds(ServiceSettings, st.just(()))),
    st.builds(SecretResource, NAMES, st.lists(GENERATIONS).map(tuple), st.just(1)),
).map(encode_resource)


def make_update(
    full: bool, held: Digest, changed: tuple[Resource, ...], removed: tuple[str, ...] = ()
) -> Update:
    return Update(SCOPE, full, 0 if full else held, 2**53, 2**64 - 1, changed, removed)


UPDATES = st.builds(
    make_update,
    full=st.booleans(),
    held=UINT64,
    changed=st.lists(RESOURCES).map(tuple),
    removed=st.lists(NAMES).map(tuple),
)


@given(UPDATES)
def test_an_update_is_the_same_after_unpacking(update: Update) -> None:
    assert unpack_update(pack_update(update), SCOPE, update.base_digest).unwrap() == update


@given(st.binary(max_size=200))
def test_a_payload_that_is_no_resource_is_refused_for_what_it_is(payload: bytes) -> None:
    packed = pack_update(make_update(True, 0, (Resource("route:kassa/pay", payload),)))
    update = unpack_update(packed, SCOPE, 0).unwrap()
    (resource,) = update.changed
    is_readable = not isinstance(decode_resource(resource), Failure)
    problem = apply_update(empty_snapshot(SCOPE), update).failure()
    assert problem.kind == ("digest-mismatch" if is_readable else "malformed")


@given(st.binary(max_size=300))
def test_garbage_gives_an_error_or_an_update(data: bytes) -> None:
    outcome = unpack_update(data, SCOPE, 1)
    assert isinstance(outcome, Failure) or isinstance(outcome.unwrap(), Update)


@given(UPDATES, st.data())
def test_a_packed_update_cut_short_gives_an_error(
    update: Update, data: st.DataObject
) -> None:
    packed = pack_update(update)
    length = data.draw(st.integers(0, len(packed) - 1))
    assert isinstance(unpack_update(packed[:length], SCOPE, 1), Failure)


def test_an_update_that_unpacks_to_too_much_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    huge = Resource("route:a/b", bytes(3_000_000))
    packed = pack_update(make_update(True, 0, (huge,)))
    assert len(packed) < 1_000
    monkeypatch.setattr(packing, "MAX_UNPACKED_BYTES", 1_000_000)
    assert isinstance(unpack_update(packed, SCOPE, 0), Failure)


def test_the_dictionary_is_part_of_the_protocol_and_does_not_change() -> None:
    known = "9edd1808234bcee83c2c0d04bd107bfb0f1068b872eeaa8a39d4ba787fc830e4"
    assert hashlib.sha256(DICTIONARY).hexdigest() == known
