"""A snapshot of the claims table, encoded one segment at a time while entries are applied.

A snapshot is a sequence of parts: the table's header, which follows ``MAGIC``, then one for
each segment. Each is prefixed with its length, so that a concatenated snapshot can be split
into them again. A segment is encoded before its first change after the snapshot began, so
that the snapshot holds its former state.
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
    """One snapshot of a claims table in progress, encoded part by part."""

    def __init__(self, header: bytes, segments: list[Segment]) -> None:
        """Record which segments are already stored and which have to be encoded.

        ``header`` is the encoded state that does not belong to a segment.
        """
        self._header = header
        self._segments = segments
        self._stored = {
            segment.number: segment.part for segment in segments if segment.part is not None
        }
        self._waiting = {each.number for each in segments} - self._stored.keys()
        self._encoded: dict[int, bytes] = {}

    def before_change(self, segment: Segment) -> None:
        """Encode a segment before it changes, if the snapshot still needs it."""
        if segment.number in self._waiting:
            self._waiting.discard(segment.number)
            self._encoded[segment.number] = framed(segment.encode())

    def pieces(self) -> Iterator[Piece]:
        """Yield the parts in order; each is encoded only when it is reached."""
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
    """Return the data prefixed with its length."""
    return len(data).to_bytes(LENGTH_BYTES, BYTE_ORDER) + data


def unframed(state: bytes) -> Iterator[memoryview]:
    """Yield the parts of an encoded table, which must start with ``MAGIC``."""
    view = memoryview(state)
    offset = len(MAGIC)
    while offset < len(view):
        start = offset + LENGTH_BYTES
        length = int.from_bytes(view[offset:start], BYTE_ORDER)
        yield view[start : start + length]
        offset = start + length
