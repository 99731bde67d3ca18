"""The claims table as a replicated state machine that collects the table's answers."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from peppershore.process.claims.entries import (
    TableAnswer,
    TableEntry,
    decode_entry,
)
from peppershore.process.claims.table import ClaimTable
from peppershore.process.consensus.state_machine import Piece


class AppliedEntry(msgspec.Struct, frozen=True):
    """A committed entry, its index in the log, and the table's answer."""

    index: int
    entry: TableEntry
    answer: TableAnswer


class ClaimsMachine:
    """Applies committed entries and collects the answers for the waiting nodes."""

    def __init__(self, table: ClaimTable) -> None:
        """Start with ``table``, to which committed entries are applied."""
        self.table = table
        self._applied: list[AppliedEntry] = []

    def apply(self, index: int, payload: bytes) -> None:
        """Apply the committed entry at ``index``."""
        entry = decode_entry(payload)
        self._applied.append(AppliedEntry(index, entry, self.table.apply_entry(entry)))

    def snapshot(self) -> bytes:
        """Return the encoded state of the complete table."""
        return self.table.snapshot()

    def begin_snapshot(self) -> Iterator[Piece]:
        """Return an iterator over the parts of a snapshot of the current state.

        They are parts that are stored already, and new ones. Entries may be applied while
        the iterator is consumed.
        """
        return self.table.begin_snapshot()

    def restore(self, state: bytes) -> None:
        """Replace the complete table by an encoded state; drop collected answers."""
        self._applied.clear()
        self.table.restore(state)

    def take_applied(self) -> list[AppliedEntry]:
        """Return the applied entries collected so far, and clear the list."""
        applied = self._applied
        self._applied = []
        return applied
