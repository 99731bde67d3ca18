"""Encoded records of claimed calls, and the segments that hold them.

A segment holds consecutively granted records, up to a fixed number. It is the unit of a
snapshot: a segment that is unchanged since the last snapshot is not stored again. Records
are held in encoded form, which saves memory and garbage collection.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.consensus.records import SnapshotPart

SEGMENT_RECORDS = 2_048


class ClaimRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claimed call.

    ``claimed_at`` is in milliseconds of the clock of the claims table (``ClaimTable``),
    which starts at 0 and advances by log entries of the leader.
    """

    attempt: str
    claimed_at: int
    completed: bool = False
    answer: KeptAnswer | None = None


class SegmentState(msgspec.Struct, array_like=True, frozen=True):
    """A segment as encoded in a snapshot; ``records`` begin with the oldest.

    The other fields are as in ``Segment``.
    """

    number: int
    taken: int
    newest_claimed_at: int
    answer_bytes: int
    records: dict[str, bytes]


class Segment:
    """Consecutively granted records; ``taken`` also counts those removed since.

    ``records`` holds the encoded records by their idempotency keys. ``newest_claimed_at``
    is the claim time of the newest one. ``answer_bytes`` is the size of their stored
    answers. ``part`` is the stored snapshot part with the current content, if there is one.
    ``changes`` counts the changes of the segment.
    """

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
        """Start empty; segments are numbered in the order in which claims are granted."""
        self.number = number
        self.taken = 0
        self.newest_claimed_at = 0
        self.answer_bytes = 0
        self.records: dict[str, bytes] = {}
        self.changes = 0
        self.part: SnapshotPart | None = None

    def changed(self) -> None:
        """Record a change, after which a stored snapshot part is no longer current."""
        self.changes += 1
        self.part = None

    def encode(self) -> bytes:
        """Encode the segment for a snapshot."""
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
    """Encode a claim record in the form in which a segment holds it."""
    return _ENCODER.encode(record)


def decode_record(packed: bytes) -> ClaimRecord:
    """Decode a record that ``encode_record`` encoded."""
    return _RECORD_DECODER.decode(packed)


def decode_segment(data: bytes | memoryview) -> Segment:
    """Decode a segment that ``Segment.encode`` encoded."""
    state = _SEGMENT_DECODER.decode(data)
    segment = Segment(state.number)
    segment.taken = state.taken
    segment.newest_claimed_at = state.newest_claimed_at
    segment.answer_bytes = state.answer_bytes
    segment.records = state.records
    return segment


def answer_size(answer: KeptAnswer) -> int:
    """Return the bytes of an answer's body and headers, which count towards the bound."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
