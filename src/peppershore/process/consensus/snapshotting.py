"""Makes a replica's snapshots: at once, or piece by piece between other work.

A piecewise snapshot writes one part with each of a run of commits, so that no
turn of the loop takes long, and counts only once the record naming all its parts
is durable.  A crash before that leaves the older snapshot and its log entries.
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
PIECE_PAUSE_SECONDS = 0.01
"""Between two parts: what came meanwhile is answered first."""


class Snapshotting:
    """Begins a snapshot when enough entries were applied, and carries it through."""

    def __init__(self, replica: ReplicaCore, machine: StateMachine) -> None:
        """Bind to the replica and its machine; nothing is under way."""
        self._replica = replica
        self._machine = machine
        self._index = 0
        self._pieces: Iterator[Piece] | None = None
        self._parts: list[SnapshotPart] = []
        self.made = 0

    def begin_if_due(self) -> None:
        """Begin a snapshot once ``snapshot_entries`` were applied since the last."""
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
            self._wait()
            return
        part = replica.consensus.durable_log.new_part(self._machine.snapshot())
        self._compact(replica.applied_index, (part,))

    def advance(self) -> None:
        """Write the next part; after the last one, the snapshot that names them."""
        if self._pieces is None:
            return
        if self._replica.consensus.disk_refused:
            self._wait()
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
        self._wait()

    def cancel(self) -> None:
        """Give up what is under way: the state was replaced, or it is done."""
        self._pieces = None
        self._parts = []

    def _next_unstored(self, pieces: Iterator[Piece]) -> SnapshotPart | None:
        """Pass over pieces that are stored; number the next new one."""
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

    def _wait(self) -> None:
        self._replica.command(SetTimer(SNAPSHOT_TIMER, PIECE_PAUSE_SECONDS))
