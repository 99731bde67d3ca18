"""Records of claimed calls, packed, and the segments that hold them.

A segment holds the records granted one after another, up to a fixed number.  It
is the unit of a snapshot: one without a change since the last snapshot is stored
already.  Records are kept packed, which spares memory and garbage collection.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.consensus.records import SnapshotPart

SEGMENT_RECORDS = 2_048


class ClaimRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claimed call; ``claimed_at`` in table milliseconds."""

    attempt: str
    claimed_at: int
    completed: bool = False
    answer: KeptAnswer | None = None


class SegmentState(msgspec.Struct, array_like=True, frozen=True):
    """A segment as a snapshot holds it, its records oldest first."""

    number: int
    taken: int
    newest_claimed_at: int
    answer_bytes: int
    records: dict[str, bytes]


class Segment:
    """Records granted one after another; ``taken`` counts also those gone since."""

    __slots__ = (
        "answer_bytes",
        "changes",
        "newest_claimed_at",
        "number",
        "part",
        "records",
        "taken",
    )

    def __init__(self, number: int) -> None:
        """Start empty; segments are numbered in the order of their claims."""
        self.number = number
        self.taken = 0
        self.newest_claimed_at = 0
        self.answer_bytes = 0
        self.records: dict[str, bytes] = {}
        self.changes = 0
        self.part: SnapshotPart | None = None

    def changed(self) -> None:
        """The stored part, if any, is no longer what the segment holds."""
        self.changes += 1
        self.part = None

    def encode(self) -> bytes:
        """Give the segment as a snapshot holds it."""
        state = SegmentState(
            self.number,
            self.taken,
            self.newest_claimed_at,
            self.answer_bytes,
            self.records,
        )
        return _ENCODER.encode(state)


_ENCODER = msgspec.msgpack.Encoder()
_RECORD_DECODER = msgspec.msgpack.Decoder(ClaimRecord)
_SEGMENT_DECODER = msgspec.msgpack.Decoder(SegmentState)


def encode_record(record: ClaimRecord) -> bytes:
    """Pack a record."""
    return _ENCODER.encode(record)


def decode_record(packed: bytes) -> ClaimRecord:
    """Give a record that ``encode_record`` packed."""
    return _RECORD_DECODER.decode(packed)


def decode_segment(data: bytes | memoryview) -> Segment:
    """Give the segment that ``Segment.encode`` encoded."""
    state = _SEGMENT_DECODER.decode(data)
    segment = Segment(state.number)
    segment.taken = state.taken
    segment.newest_claimed_at = state.newest_claimed_at
    segment.answer_bytes = state.answer_bytes
    segment.records = state.records
    return segment


def answer_size(answer: KeptAnswer) -> int:
    """Bytes that an answer counts against the bound: its body and its headers."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
