"""A snapshot of the claims table, made segment by segment while entries go on.

Every piece is framed by its length, so that the pieces put together can be told
apart again.  A segment about to change is encoded first, as it was when the
snapshot began.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from peppershore.process.claims.records import Segment
from peppershore.process.consensus.records import SnapshotPart
from peppershore.process.consensus.state_machine import NewPiece, Piece

MAGIC = b"claims-2"
LENGTH_BYTES = 4
BYTE_ORDER: Final = "big"


class TableSnapshot:
    """One snapshot under way."""

    def __init__(self, header: bytes, segments: list[Segment]) -> None:
        """Take note of what is stored and what still has to be encoded."""
        self._header = header
        self._segments = segments
        self._stored = {
            segment.number: segment.part for segment in segments if segment.part is not None
        }
        self._waiting = {each.number for each in segments} - self._stored.keys()
        self._encoded: dict[int, bytes] = {}

    def about_to_change(self, segment: Segment) -> None:
        """Encode a segment whose turn has not come, before it changes."""
        if segment.number in self._waiting:
            self._waiting.discard(segment.number)
            self._encoded[segment.number] = framed(segment.encode())

    def pieces(self) -> Iterator[Piece]:
        """Give the pieces in order; each is worked out when asked for."""
        yield NewPiece(MAGIC + framed(self._header), lambda part: None)
        for segment in self._segments:
            stored = self._stored.get(segment.number)
            if stored is not None:
                yield stored
                continue
            yield self._new_piece(segment)
        self._segments.clear()
        self._stored.clear()

    def _new_piece(self, segment: Segment) -> NewPiece:
        changes = segment.changes
        was_changed = segment.number not in self._waiting
        if was_changed:
            data = self._encoded.pop(segment.number)
        else:
            self._waiting.discard(segment.number)
            data = framed(segment.encode())

        def stored_as(part: SnapshotPart) -> None:
            if not was_changed and segment.changes == changes:
                segment.part = part

        return NewPiece(data, stored_as)


def framed(data: bytes) -> bytes:
    """Put the length before the data."""
    return len(data).to_bytes(LENGTH_BYTES, BYTE_ORDER) + data


def unframed(state: bytes) -> Iterator[memoryview]:
    """Give the framed pieces of a state that begins with ``MAGIC``."""
    view = memoryview(state)
    offset = len(MAGIC)
    while offset < len(view):
        start = offset + LENGTH_BYTES
        length = int.from_bytes(view[offset:start], BYTE_ORDER)
        yield view[start : start + length]
        offset = start + length
