"""Creation of a replica's snapshots: at once, or in parts between other work.

A piece is a section of the state as the state machine encodes it; stored under a number,
it is a part of the snapshot. A piecewise snapshot writes its parts in separate commits,
so that no turn of the event loop takes long. It is valid only once the record that names
all its parts is durable. After a crash before that, the older snapshot and its log
entries are still in place.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from peppershore.process.commands import SetTimer
from peppershore.process.consensus.records import SnapshotPart
from peppershore.process.consensus.state_machine import (
    Piece,
    PiecewiseStateMachine,
    StateMachine,
)

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore

SNAPSHOT_TIMER = "consensus-snapshot"
PIECE_INTERVAL_SECONDS = 0.01
"""Interval between writing two parts of a snapshot; other events are handled in it."""


class Snapshotting:
    """Starts a snapshot once enough entries were applied, and completes it."""

    def __init__(self, replica: ReplicaCore, machine: StateMachine) -> None:
        """Make snapshots of ``machine`` for ``replica``; none is in progress yet."""
        self._replica = replica
        self._machine = machine
        self._index = 0
        self._pieces: Iterator[Piece] | None = None
        self._parts: list[SnapshotPart] = []
        self.made = 0

    def begin_if_due(self) -> None:
        """Start a snapshot if enough entries were applied since the last one.

        ``ReplicaSettings.snapshot_entries`` is how many are enough.
        """
        replica = self._replica
        if self._pieces is not None:
            return
        snapshot = replica.consensus.snapshot
        newest = 0 if snapshot is None else snapshot.index
        if replica.applied_index - newest < replica.settings.snapshot_entries:
            return
        if isinstance(self._machine, PiecewiseStateMachine):
            self._index = replica.applied_index
            self._pieces = self._machine.begin_snapshot()
            self._schedule_next_piece()
            return
        part = replica.consensus.durable_log.new_part(self._machine.snapshot())
        self._compact(replica.applied_index, (part,))

    def advance(self) -> None:
        """Write the next part or, after the last one, the snapshot that names them."""
        if self._pieces is None:
            return
        if self._replica.consensus.disk_refused:
            self._schedule_next_piece()
            return
        piece = self._next_unstored(self._pieces)
        if piece is None:
            parts = tuple(self._parts)
            self.cancel()
            self._compact(self._index, parts)
            return
        self._parts.append(piece)
        self._replica.consensus.durable_log.save_part(piece)
        self._replica.consensus.flush(self._replica.now)
        self._schedule_next_piece()

    def cancel(self) -> None:
        """Forget the snapshot in progress, as it is complete or the state was replaced."""
        self._pieces = None
        self._parts = []

    def _next_unstored(self, pieces: Iterator[Piece]) -> SnapshotPart | None:
        """Return the next piece that is not stored yet, as a part; None after the last.

        Pieces before it that are stored already are added to the snapshot.
        """
        for piece in pieces:
            if isinstance(piece, SnapshotPart):
                self._parts.append(piece)
                continue
            part = self._replica.consensus.durable_log.new_part(piece.data)
            piece.stored_as(part)
            return part
        return None

    def _compact(self, index: int, parts: tuple[SnapshotPart, ...]) -> None:
        self.made += 1
        self._replica.consensus.compact(index, parts)
        self._replica.consensus.flush(self._replica.now)

    def _schedule_next_piece(self) -> None:
        self._replica.command(SetTimer(SNAPSHOT_TIMER, PIECE_INTERVAL_SECONDS))
