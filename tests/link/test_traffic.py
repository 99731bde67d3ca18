"""Bytes on links are counted by kind of message; body bytes have a kind of their own."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.link.test_head_packing import connected_links, head

from peppershore.connection import call_link as call_link_module
from peppershore.connection import link as link_module
from peppershore.connection.codec import MESSAGE_TYPES, encode_message, kind_name
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.calls import (
    CallBody,
    CallCancelled,
    CallLinkProbe,
    CallPacked,
)
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


def test_a_body_inside_a_packed_head_is_subtracted_from_no_other_kind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The body's bytes were counted with the packed message. Subtracting them from the
    count of the head's kind made that count negative."""
    traffic = Traffic()
    monkeypatch.setattr(link_module, "TRAFFIC", traffic)
    monkeypatch.setattr(call_link_module, "TRAFFIC", traffic)

    async def scene() -> None:
        link, received, _, listener = await connected_links(packs=True)
        started = msgspec.structs.replace(head(1), data=b"x" * 300, content_length=300)
        link.send(started)
        async with asyncio.timeout(20):
            while not received:  # noqa: ASYNC110
                await asyncio.sleep(0.002)
        assert received == [started]
        link.close()
        await listener.close()

    asyncio.run(scene())
    for tallies in (traffic.sent, traffic.received):
        assert all(tally.octets >= 0 for tally in tallies.values())
        packed = tallies[CallPacked.__struct_config__.tag or 0]
        assert packed.octets == sum(tally.octets for tally in tallies.values())


def test_round_trips_are_returned_once() -> None:
    traffic = Traffic()
    traffic.note_round_trip(0.2)
    traffic.note_round_trip(0.1)
    taken = traffic.take_round_trips()
    assert (taken.count, taken.longest) == (2, 0.2)
    assert traffic.take_round_trips().count == 0
