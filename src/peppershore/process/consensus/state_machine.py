"""What a group replicates: a deterministic state machine over opaque commands."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol, runtime_checkable

import msgspec

from peppershore.process.consensus.records import SnapshotPart


class StateMachine(Protocol):
    """Applies committed commands; equal logs give equal states on all replicas."""

    def apply(self, index: int, payload: bytes) -> None:
        """Apply the command of the entry at ``index``; its outcome stays inside."""
        ...

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the whole state by one that ``snapshot`` encoded."""
        ...


class NewPiece(msgspec.Struct, frozen=True):
    """A piece of a state that is not stored; ``stored_as`` is told its part."""

    data: bytes
    stored_as: Callable[[SnapshotPart], None]


Piece = SnapshotPart | NewPiece
"""A piece of a state: one that an older snapshot has stored, or a new one."""


@runtime_checkable
class PiecewiseStateMachine(StateMachine, Protocol):
    """A state machine whose snapshot is made piece by piece while it goes on.

    ``restore`` takes the bytes of all pieces put together.
    """

    def begin_snapshot(self) -> Iterator[Piece]:
        """Give the pieces of the state as it is now, each worked out when asked for.

        Entries may be applied between two pieces; they don't show in them.  A
        snapshot begun before is given up.
        """
        ...
