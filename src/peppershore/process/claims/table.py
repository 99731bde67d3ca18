"""The claims group's replicated state: which attempt may run which call.

The table applies log entries in order and returns an answer to each. It is deterministic:
time advances by ``ClockAdvanced`` entries, which the leader writes by its own monotonic
clock. The time between two leaders is not counted, so a record is stored for its horizon
or longer, never shorter, regardless of wall clocks.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from peppershore.process.claims.entries import (
    BoundsSet,
    ClaimEntry,
    ClockAdvanced,
    CompletionEntry,
    Granted,
    Noted,
    ReleaseEntry,
    TableAnswer,
    TableEntry,
    TableFull,
    Taken,
)
from peppershore.process.claims.records import (
    SEGMENT_RECORDS,
    ClaimRecord,
    Segment,
    answer_size,
    decode_record,
    decode_segment,
    encode_record,
)
from peppershore.process.claims.table_snapshot import MAGIC, TableSnapshot, unframed
from peppershore.process.consensus.state_machine import Piece

DEFAULT_MAX_RECORDS = 500_000
DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Bound on the total size of all stored answers. The oldest answers are dropped first;
their records stay."""


class TableHeader(msgspec.Struct, frozen=True, array_like=True):
    """The part of the table's state that does not belong to a segment of records."""

    clock: int
    next_segment: int
    bounds: BoundsSet


class FirstFormatState(msgspec.Struct, frozen=True, array_like=True):
    """The complete table in the first snapshot format, which had no segments."""

    clock: int
    records: tuple[tuple[str, ClaimRecord], ...]
    answered: tuple[tuple[str, int], ...]


_HEADER_DECODER = msgspec.msgpack.Decoder(TableHeader)
_FIRST_FORMAT_DECODER = msgspec.msgpack.Decoder(FirstFormatState)


class ClaimTable:
    """Records of one claims group, bounded in age, number and size of answers."""

    def __init__(
        self,
        horizon_milliseconds: int,
        max_records: int = DEFAULT_MAX_RECORDS,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
        segment_records: int = SEGMENT_RECORDS,
    ) -> None:
        """Start empty; store each record for ``horizon_milliseconds`` of the table's clock.

        The three bounds apply until the log or a snapshot provides others.
        ``segment_records`` is the number of records granted before a new segment is begun.
        """
        self.bounds = BoundsSet(horizon_milliseconds, max_records, max_answer_bytes)
        self.refused_full = 0
        self._segment_records = segment_records
        self._clock = 0
        self._answer_bytes = 0
        self._next_segment = 1
        self._segments: dict[int, Segment] = {}
        self._index: dict[str, int] = {}
        self._newest: Segment | None = None
        self._oldest_answered: list[str] = []
        self._oldest_answered_segment = 0
        self._snapshot: TableSnapshot | None = None

    @property
    def size(self) -> int:
        """Number of records."""
        return len(self._index)

    @property
    def answer_bytes(self) -> int:
        """Total bytes of all stored answers."""
        return self._answer_bytes

    def apply_entry(self, entry: TableEntry) -> TableAnswer:
        """Apply one log entry; return the table's answer to it."""
        match entry:
            case ClaimEntry():
                return self._claim(entry)
            case CompletionEntry():
                self._complete(entry)
            case ReleaseEntry():
                self._release(entry)
            case ClockAdvanced():
                self._advance(entry.milliseconds)
            case BoundsSet():
                self.bounds = entry
                self._drop_answers_beyond_bound()
        return Noted()

    # --- snapshots -----------------------------------------------------------

    def begin_snapshot(self) -> Iterator[Piece]:
        """Return an iterator over the parts of a snapshot of the current state.

        They are parts that are stored already, and new ones. Entries may be applied while
        the iterator is consumed.
        """
        state = TableHeader(self._clock, self._next_segment, self.bounds)
        header = msgspec.msgpack.encode(state)
        self._snapshot = TableSnapshot(header, list(self._segments.values()))
        return self._snapshot.pieces()

    def snapshot(self) -> bytes:
        """Return the complete table, encoded as one snapshot."""
        pieces = self.begin_snapshot()
        return b"".join(piece.data for piece in pieces)

    def restore(self, data: bytes) -> None:
        """Replace the complete table by that of an encoded snapshot."""
        self._clear()
        if not data.startswith(MAGIC):
            self._restore_first_format(data)
            return
        pieces = unframed(data)
        header = _HEADER_DECODER.decode(next(pieces))
        self._clock = header.clock
        self._next_segment = header.next_segment
        self.bounds = header.bounds
        for piece in pieces:
            self._add_segment(decode_segment(piece))

    def _clear(self) -> None:
        self._answer_bytes = 0
        self._next_segment = 1
        self._segments.clear()
        self._index.clear()
        self._newest = None
        self._oldest_answered.clear()
        self._snapshot = None

    def _add_segment(self, segment: Segment) -> None:
        self._segments[segment.number] = segment
        self._index.update(dict.fromkeys(segment.records, segment.number))
        self._answer_bytes += segment.answer_bytes
        self._newest = segment

    def _restore_first_format(self, data: bytes) -> None:
        state = _FIRST_FORMAT_DECODER.decode(data)
        for key, record in state.records:
            self._clock = record.claimed_at
            self._add_record(key, record)
        self._clock = state.clock

    # --- entries -------------------------------------------------------------

    def _claim(self, entry: ClaimEntry) -> TableAnswer:
        record = self._find(entry.key)
        if record is None:
            return self._grant(entry)
        if record.attempt == entry.attempt and not record.completed:
            return Granted()
        return Taken(record.answer)

    def _grant(self, entry: ClaimEntry) -> TableAnswer:
        if len(self._index) >= self.bounds.max_records:
            self.refused_full += 1
            return TableFull()
        self._add_record(entry.key, ClaimRecord(entry.attempt, self._clock))
        return Granted()

    def _complete(self, entry: CompletionEntry) -> None:
        record = self._find(entry.key)
        if record is None or record.attempt != entry.attempt or record.completed:
            return
        segment = self._segments[self._index[entry.key]]
        self._change(segment)
        completed_record = ClaimRecord(
            record.attempt, record.claimed_at, True, entry.answer
        )
        segment.records[entry.key] = encode_record(completed_record)
        if entry.answer is not None:
            self._count_answer(segment, answer_size(entry.answer))
            self._drop_answers_beyond_bound()

    def _release(self, entry: ReleaseEntry) -> None:
        record = self._find(entry.key)
        if record is None or record.attempt != entry.attempt or record.completed:
            return
        segment = self._segments[self._index.pop(entry.key)]
        self._change(segment)
        del segment.records[entry.key]
        if not segment.records and segment is not self._newest:
            del self._segments[segment.number]

    def _advance(self, milliseconds: int) -> None:
        self._clock += max(0, milliseconds)
        oldest_kept = self._clock - self.bounds.horizon_milliseconds
        for segment in list(self._segments.values()):
            if segment.newest_claimed_at >= oldest_kept:
                self._expire_records(segment, oldest_kept)
                return
            self._expire_segment(segment)

    # --- records -------------------------------------------------------------

    def _find(self, key: str) -> ClaimRecord | None:
        number = self._index.get(key)
        if number is None:
            return None
        return decode_record(self._segments[number].records[key])

    def _add_record(self, key: str, record: ClaimRecord) -> None:
        segment = self._newest
        if segment is None or segment.taken >= self._segment_records:
            segment = self._open_segment()
        self._change(segment)
        segment.records[key] = encode_record(record)
        segment.taken += 1
        segment.newest_claimed_at = record.claimed_at
        self._index[key] = segment.number
        if record.answer is not None:
            self._count_answer(segment, answer_size(record.answer))

    def _open_segment(self) -> Segment:
        full = self._newest
        if full is not None and not full.records:
            self._segments.pop(full.number, None)
        segment = Segment(self._next_segment)
        self._next_segment += 1
        self._segments[segment.number] = segment
        self._newest = segment
        return segment

    def _change(self, segment: Segment) -> None:
        """Let a snapshot in progress encode the segment before it changes."""
        if self._snapshot is not None:
            self._snapshot.before_change(segment)
        segment.changed()

    # --- expiry --------------------------------------------------------------

    def _expire_segment(self, segment: Segment) -> None:
        self._change(segment)
        for key in segment.records:
            del self._index[key]
        self._answer_bytes -= segment.answer_bytes
        self._oldest_answered.clear()
        del self._segments[segment.number]
        if segment is self._newest:
            self._newest = None

    def _expire_records(self, segment: Segment, oldest_kept: int) -> None:
        expired: list[str] = []
        freed = 0
        for key, packed in segment.records.items():
            record = decode_record(packed)
            if record.claimed_at >= oldest_kept:
                break
            expired.append(key)
            freed += 0 if record.answer is None else answer_size(record.answer)
        if not expired:
            return
        self._change(segment)
        for key in expired:
            del segment.records[key]
            del self._index[key]
        self._count_answer(segment, -freed)

    # --- stored answers ------------------------------------------------------

    def _count_answer(self, segment: Segment, size: int) -> None:
        """Add ``size`` (negative: subtract) to the bytes of answers in a segment.

        The list of the oldest answers is discarded if the change may affect it.
        """
        segment.answer_bytes += size
        self._answer_bytes += size
        if segment.number <= self._oldest_answered_segment:
            self._oldest_answered.clear()

    def _drop_answers_beyond_bound(self) -> None:
        while self._answer_bytes > self.bounds.max_answer_bytes:
            if not self._oldest_answered:
                self._oldest_answered = self._oldest_answered_keys()
            self._drop_answer(self._oldest_answered.pop())

    def _oldest_answered_keys(self) -> list[str]:
        """Return the keys with stored answers in the oldest segment that has any.

        The key with the oldest answer is last.
        """
        for segment in self._segments.values():
            if segment.answer_bytes > 0:
                self._oldest_answered_segment = segment.number
                keys = [
                    key
                    for key, packed in segment.records.items()
                    if decode_record(packed).answer is not None
                ]
                return keys[::-1]
        raise AssertionError("answer bytes counted, but no segment holds an answer")

    def _drop_answer(self, key: str) -> None:
        segment = self._segments[self._index[key]]
        record = decode_record(segment.records[key])
        assert record.answer is not None
        self._change(segment)
        size = answer_size(record.answer)
        segment.answer_bytes -= size
        self._answer_bytes -= size
        segment.records[key] = encode_record(
            ClaimRecord(record.attempt, record.claimed_at, record.completed)
        )
