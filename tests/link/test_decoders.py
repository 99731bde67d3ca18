"""Frames and messages survive a round trip; anything else gives a typed error."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from tests.link.message_strategies import messages_of

from peppershore.connection.codec import (
    MESSAGE_TYPES,
    UndecodableMessage,
    decode_message,
    encode_message,
)
from peppershore.connection.framing import FrameReader, FrameTooLarge, encode_frame
from peppershore.connection.messages.base import Message

ALLOWED_BYTES = 1_000
EXAMPLES = 30


def assert_typed(payload: bytes) -> None:
    decoded = decode_message(payload)
    if isinstance(decoded, Failure):
        assert isinstance(decoded.failure(), UndecodableMessage)
        assert decoded.failure().reason
    else:
        assert isinstance(decoded.unwrap(), Message)


@pytest.mark.parametrize("kind", MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_every_message_comes_back_and_no_part_of_it_raises(kind: type[Message]) -> None:
    @settings(max_examples=EXAMPLES)
    @given(messages_of(kind), st.data())
    def check(message: Message, data: st.DataObject) -> None:
        payload = encode_message(message)
        assert decode_message(payload) == Success(message)
        cut = data.draw(st.integers(0, len(payload) - 1))
        assert isinstance(decode_message(payload[:cut]), Failure)
        place = data.draw(st.integers(0, len(payload) - 1))
        flipped = payload[place] ^ data.draw(st.integers(1, 255))
        assert_typed(payload[:place] + bytes((flipped,)) + payload[place + 1 :])

    check()


@given(st.binary(max_size=200))
def test_arbitrary_payloads_are_messages_or_typed_errors(payload: bytes) -> None:
    assert_typed(payload)


def test_deep_nesting_is_a_typed_error() -> None:
    assert isinstance(decode_message(b"\x91" * 100_000), Failure)


@given(st.lists(st.binary(max_size=40), max_size=5), st.data())
def test_frames_come_back_however_the_bytes_are_cut(
    payloads: list[bytes], data: st.DataObject
) -> None:
    stream = b"".join(map(encode_frame, payloads))
    reader = FrameReader(ALLOWED_BYTES)
    received: list[bytes] = []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        received += reader.feed(stream[:size]).unwrap()
        stream = stream[size:]
    assert received == payloads
    assert reader.pending_bytes == 0


@given(st.lists(st.binary(max_size=100), max_size=8))
def test_arbitrary_bytes_are_frames_or_too_large(pieces: list[bytes]) -> None:
    reader = FrameReader(ALLOWED_BYTES)
    for piece in pieces:
        fed = reader.feed(piece)
        if isinstance(fed, Failure):
            assert isinstance(fed.failure(), FrameTooLarge)
            assert fed.failure().announced_bytes > ALLOWED_BYTES
            return
        assert all(len(payload) <= ALLOWED_BYTES for payload in fed.unwrap())
