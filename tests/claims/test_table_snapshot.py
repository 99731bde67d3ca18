"""Snapshots encoded in pieces hold the state at their start, and reuse stored pieces."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from peppershore.connection.messages.claims import KeptAnswer
from peppershore.process.claims.entries import (
    ClaimEntry,
    ClockAdvanced,
    CompletionEntry,
    ReleaseEntry,
    TableEntry,
    Taken,
)
from peppershore.process.claims.records import ClaimRecord, answer_size
from peppershore.process.claims.table import ClaimTable, FirstFormatState
from peppershore.process.consensus.records import SnapshotPart
from peppershore.process.consensus.state_machine import NewPiece

HORIZON = 1_000
ANSWER = KeptAnswer(200, (), b"paid")
SEGMENT_RECORDS = 3

KEYS = st.sampled_from([f"k{number}" for number in range(12)])
ATTEMPTS = st.sampled_from(["a", "b"])
ENTRIES: st.SearchStrategy[TableEntry] = st.one_of(
    st.builds(ClaimEntry, KEYS, ATTEMPTS),
    st.builds(ClaimEntry, KEYS, ATTEMPTS),
    st.builds(CompletionEntry, KEYS, ATTEMPTS, st.sampled_from([None, ANSWER])),
    st.builds(ReleaseEntry, KEYS, ATTEMPTS),
    st.builds(ClockAdvanced, st.integers(0, HORIZON // 2)),
)


def small_table() -> ClaimTable:
    return ClaimTable(
        HORIZON,
        max_records=10,
        max_answer_bytes=3 * answer_size(ANSWER),
        segment_records=SEGMENT_RECORDS,
    )


class Store:
    """Numbers new pieces as a replica's log does, and counts the pieces written."""

    def __init__(self) -> None:
        self.parts: list[SnapshotPart] = []
        self.written = 0

    def take(self, piece: SnapshotPart | NewPiece) -> None:
        if isinstance(piece, NewPiece):
            self.written += 1
            part = SnapshotPart(1_000 + self.written, piece.data)
            piece.stored_as(part)
            piece = part
        self.parts.append(piece)

    def finish(self) -> bytes:
        state = b"".join(part.data for part in self.parts)
        self.parts = []
        return state


@settings(max_examples=300)
@given(st.lists(ENTRIES, max_size=120), st.data())
def test_a_snapshot_holds_the_table_as_it_was_when_it_began(entries, data):
    table, store, pieces, expected = small_table(), Store(), None, b""
    for entry in entries:
        if pieces is None and data.draw(st.booleans()):
            expected = table.snapshot()
            pieces = table.begin_snapshot()
        table.apply_entry(entry)
        if pieces is None or data.draw(st.booleans()):
            continue
        piece = next(pieces, None)
        if piece is None:
            assert store.finish() == expected
            pieces = None
        else:
            store.take(piece)
    for piece in pieces or ():
        store.take(piece)
    if pieces is not None:
        assert store.finish() == expected


@given(st.lists(ENTRIES, max_size=80), st.lists(ENTRIES, max_size=40))
def test_a_restored_table_goes_on_as_the_first_one(before, after):
    first, second = small_table(), small_table()
    for entry in before:
        first.apply_entry(entry)
    second.restore(first.snapshot())
    for entry in after:
        assert first.apply_entry(entry) == second.apply_entry(entry)
        assert first.answer_bytes == second.answer_bytes
    assert first.snapshot() == second.snapshot()


def test_segments_without_a_change_are_not_encoded_again():
    table, store = small_table(), Store()
    for number in range(9):
        table.apply_entry(ClaimEntry(f"pay-{number}", "a"))
    for piece in table.begin_snapshot():
        store.take(piece)
    first = store.finish()
    assert store.written == 4, "the header and three segments"
    table.apply_entry(CompletionEntry("pay-4", "a", ANSWER))
    table.apply_entry(ClaimEntry("pay-9", "a"))
    for piece in table.begin_snapshot():
        store.take(piece)
    second = store.finish()
    assert store.written == 4 + 3, "the header, the changed segment, the new one"
    assert first != second == table.snapshot()


def test_a_segment_changed_after_it_was_taken_is_encoded_the_next_time():
    table, store = small_table(), Store()
    table.apply_entry(ClaimEntry("pay-1", "a"))
    pieces = table.begin_snapshot()
    header, segment = list(pieces)
    table.apply_entry(CompletionEntry("pay-1", "a", ANSWER))
    store.take(header)
    store.take(segment)
    store.finish()
    for piece in table.begin_snapshot():
        store.take(piece)
    restored = small_table()
    restored.restore(store.finish())
    assert restored.apply_entry(ClaimEntry("pay-1", "b")) == Taken(ANSWER)


def test_a_snapshot_of_the_first_format_is_taken_up():
    records = (
        ("pay-1", ClaimRecord("a", 5, True, ANSWER)),
        ("pay-2", ClaimRecord("b", 600)),
    )
    state = FirstFormatState(700, records, (("pay-1", 4),))
    table = small_table()
    table.restore(msgspec.msgpack.encode(state))
    assert table.apply_entry(ClaimEntry("pay-1", "c")) == Taken(ANSWER)
    assert table.apply_entry(ClaimEntry("pay-2", "c")) == Taken(None)
    table.apply_entry(ClockAdvanced(600))
    assert table.size == 1, "the record of time 5 is past its horizon at 1300"
