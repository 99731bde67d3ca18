"""Interface of the replicated, deterministic state machine with opaque commands."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol, runtime_checkable

import msgspec

from peppershore.process.consensus.records import SnapshotPart


class StateMachine(Protocol):
    """Applies committed commands; equal logs result in equal states on all replicas."""

    def apply(self, index: int, payload: bytes) -> None:
        """Apply the command of the entry at ``index``; the state holds its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state by one that ``snapshot`` returned."""
        ...


class NewPiece(msgspec.Struct, frozen=True):
    """A section of an encoded state that is not stored as a part of a snapshot yet.

    ``stored_as`` is called with the numbered part that ``data`` is about to be stored
    as. The state machine may return that part for later snapshots while the section
    is unchanged.
    """

    data: bytes
    stored_as: Callable[[SnapshotPart], None]


Piece = SnapshotPart | NewPiece
"""A section of an encoded state: a part stored for an older snapshot, or a new one."""


@runtime_checkable
class PiecewiseStateMachine(StateMachine, Protocol):
    """A state machine that encodes its snapshot in sections (pieces) between other work.

    ``restore`` is called with the concatenated bytes of all pieces.
    """

    def begin_snapshot(self) -> Iterator[Piece]:
        """Return an iterator that encodes the pieces of the current state lazily.

        Entries applied between two pieces do not affect them. A snapshot in progress
        is discarded.
        """
        ...
