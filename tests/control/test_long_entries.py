"""Long log entries and snapshots are compressed; uncompressed older ones are read."""

from __future__ import annotations

import msgspec

from peppershore.process.control.state import (
    ControlState,
    EditAdmitted,
    decode_command,
    encode_command,
)
from peppershore.version.model import Edit, Overrides, SetOverrides

ROUTES = 1_200


def long_edit() -> EditAdmitted:
    changes = tuple(
        SetOverrides(f"/kassa/*/r-{number:x}", Overrides(timeout_milliseconds=number))
        for number in range(1, ROUTES)
    )
    return EditAdmitted(Edit("long", changes))


def test_a_configuration_of_many_routes_is_compressed_to_less_than_a_fifth() -> None:
    plain = msgspec.msgpack.encode(long_edit())
    packed = encode_command(long_edit())
    assert len(packed) < len(plain) / 5
    assert decode_command(packed) == long_edit()


def test_entries_that_are_not_compressed_are_read() -> None:
    assert decode_command(msgspec.msgpack.encode(long_edit())) == long_edit()


def test_a_snapshot_gives_the_same_state() -> None:
    state = ControlState("test", 100, 100)
    state.apply(1, encode_command(long_edit()))
    other = ControlState("test", 100, 100)
    other.restore(state.snapshot())
    assert other.tree == state.tree
    assert other.outcomes.find("long") == state.outcomes.find("long")
