"""In-memory replacement of a replica's store."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from peppershore.connection.messages.consensus import LogEntry
from peppershore.process.consensus.records import (
    InstallSnapshot,
    Record,
    SaveEntries,
    SaveGroup,
    SaveHardState,
    SaveSnapshot,
    SaveSnapshotPart,
    StoredState,
)


class MemoryStore:
    """Applies records to a stored state as ``LogStore`` does."""

    def __init__(self, identity: int) -> None:
        self.state = StoredState(identity)

    def write(self, records: Iterable[Record]) -> None:
        for record in records:
            self.state = _after(self.state, record)


def _after(state: StoredState, record: Record) -> StoredState:
    replace = msgspec.structs.replace
    if isinstance(record, SaveHardState):
        return replace(state, hard_state=record.hard_state)
    if isinstance(record, SaveGroup):
        return replace(state, group_id=record.group_id)
    if isinstance(record, SaveEntries):
        return replace(state, entries=_with_entries(state, record.entries))
    if isinstance(record, SaveSnapshotPart):
        return state  # has no effect until a snapshot names it
    if isinstance(record, InstallSnapshot):
        return replace(state, snapshot=record.snapshot, entries=())
    assert isinstance(record, SaveSnapshot)
    kept = tuple(each for each in state.entries if each.index >= record.first_kept_index)
    return replace(state, snapshot=record.snapshot, entries=kept)


def _with_entries(state: StoredState, added: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    kept = tuple(each for each in state.entries if each.index < added[0].index)
    last = kept[-1].index if kept else 0
    if state.snapshot is not None:
        last = max(last, state.snapshot.index)
    assert added[0].index <= last + 1, "a gap in the stored log"
    return kept + added
