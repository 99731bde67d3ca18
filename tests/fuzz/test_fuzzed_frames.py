"""Whatever bytes come on a link, they are cut and read the same way or refused."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from peppershore.connection.codec import decode_message, encode_message
from peppershore.connection.framing import FrameReader, encode_frame
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.claims import ClaimRequest
from peppershore.connection.messages.consensus import (
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    VoteRequest,
)
from peppershore.connection.messages.node import Freshness, NodeAlive, UpdateApplied
from peppershore.connection.messages.session import Goodbye

MAX_FRAME_BYTES = 64
numbers = st.integers(0, 2**63 - 1)
entries = st.builds(LogEntry, numbers, numbers, st.sampled_from(EntryKind), st.binary())
messages: st.SearchStrategy[Message] = st.one_of(
    st.builds(Goodbye, st.text()),
    st.builds(Freshness, numbers, numbers),
    st.builds(NodeAlive, numbers),
    st.builds(UpdateApplied, numbers, numbers),
    st.builds(VoteRequest, numbers, numbers, numbers, st.booleans(), st.booleans()),
    st.builds(AppendReply, numbers, st.booleans(), numbers, numbers),
    st.builds(
        AppendRequest,
        numbers,
        numbers,
        numbers,
        numbers,
        numbers,
        st.lists(entries, max_size=3).map(tuple),
    ),
    st.builds(ClaimRequest, numbers, st.text(), st.text()),
)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(place for place in places if place < len(data))})
    return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]


@given(st.lists(st.binary(max_size=MAX_FRAME_BYTES)), st.lists(st.integers(0, 600)))
def test_frames_are_the_same_however_they_are_cut(
    payloads: list[bytes], places: list[int]
) -> None:
    reader = FrameReader(MAX_FRAME_BYTES)
    read: list[bytes] = []
    for piece in cut(b"".join(map(encode_frame, payloads)), places):
        read += reader.feed(piece).unwrap()
    assert read == payloads
    assert reader.pending_bytes == 0


@given(st.lists(st.binary(max_size=40)))
def test_arbitrary_bytes_give_bounded_frames_or_a_refusal(pieces: list[bytes]) -> None:
    reader = FrameReader(MAX_FRAME_BYTES)
    for piece in pieces:
        read = reader.feed(piece)
        if isinstance(read, Failure):
            assert read.failure().announced_bytes > MAX_FRAME_BYTES
            return
        assert all(len(payload) <= MAX_FRAME_BYTES for payload in read.unwrap())


@given(st.binary())
def test_arbitrary_bytes_give_a_message_or_a_reason(payload: bytes) -> None:
    read = decode_message(payload)
    if isinstance(read, Success):
        assert decode_message(encode_message(read.unwrap())) == read
    else:
        assert read.failure().reason


@given(messages, st.lists(st.tuples(numbers, st.integers(0, 255)), max_size=4))
def test_a_damaged_message_is_read_or_refused(
    message: Message, damages: list[tuple[int, int]]
) -> None:
    payload = bytearray(encode_message(message))
    assert decode_message(bytes(payload)).unwrap() == message
    for place, value in damages:
        payload[place % len(payload)] = value
    read = decode_message(bytes(payload))
    if isinstance(read, Success):
        assert isinstance(read.unwrap(), Message)
    else:
        assert read.failure().reason
