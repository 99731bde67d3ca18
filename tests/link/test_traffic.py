"""What went over links is counted by kind of message, bodies under their own name."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peppershore.connection.codec import MESSAGE_TYPES, encode_message, kind_name
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import CallBody, CallCancelled, CallLinkProbe
from peppershore.connection.traffic import BODIES, UNKNOWN, Traffic, message_tag


@pytest.mark.parametrize(
    ("message", "name"),
    [
        (CallCancelled(7), "call_cancelled"),
        (CallLinkProbe(1), "call_link_probe"),
        (CallBody(1, b"x" * 300, False, []), "call_body"),
    ],
)
def test_the_tag_of_a_payload_names_its_kind(message: Message, name: str) -> None:
    assert kind_name(message_tag(encode_message(message))) == name


def test_every_kind_of_message_has_a_name_of_its_own() -> None:
    names = {kind_name(each.__struct_config__.tag or 0) for each in MESSAGE_TYPES}
    assert len(names) == len(MESSAGE_TYPES)


@given(st.binary(max_size=8))
def test_bytes_that_are_no_message_are_counted_too(payload: bytes) -> None:
    kind = message_tag(payload)
    assert kind == UNKNOWN or isinstance(kind, int)


def test_body_bytes_count_under_their_own_name() -> None:
    traffic = Traffic()
    traffic.note_sent(141, 500)
    traffic.note_body_sent(141, 400)
    assert traffic.sent[141].octets == 100
    assert traffic.sent[BODIES].octets == 400
    assert not traffic.received


def test_round_trips_are_given_once() -> None:
    traffic = Traffic()
    traffic.note_round_trip(0.2)
    traffic.note_round_trip(0.1)
    taken = traffic.take_round_trips()
    assert (taken.count, taken.longest) == (2, 0.2)
    assert traffic.take_round_trips().count == 0
