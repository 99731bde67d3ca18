"""Follower side of log replication and snapshot transfer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Membership,
    SnapshotChunk,
    SnapshotReply,
)
from peppershore.process.consensus.records import StateSnapshot

if TYPE_CHECKING:
    from peppershore.process.consensus.core import Consensus


class IncomingSnapshot:
    """A snapshot that the leader is sending to this replica in chunks."""

    def __init__(self, index: int, term: int, membership: Membership) -> None:
        """Start to receive a snapshot of the state after the log entry at ``index``.

        ``term`` is the term of that entry. No bytes of the snapshot are received yet.
        """
        self.index = index
        self.term = term
        self.membership = membership
        self.data = bytearray()


class Following:
    """Handles entries and snapshot chunks from the leader of the newest term."""

    def __init__(self, core: Consensus) -> None:
        """Handle the leader's messages for ``core``, without a snapshot in transfer."""
        self._core = core
        self._incoming: IncomingSnapshot | None = None

    def handle_append(self, leader: str, request: AppendRequest, now: float) -> None:
        """Append the leader's entries, or reject them with an index that may match.

        A request that starts before the compaction point is acknowledged up to the
        commit index.
        """
        core = self._core
        if not self._accept_leader(leader, request, now):
            return
        previous = request.previous_index
        if previous < core.log.base_index:
            self._reply(leader, True, core.commit_index, request)
            return
        if core.log.term_at(previous) != request.previous_term:
            self._reply(leader, False, self._hint(previous), request)
            return
        self._append_new(request.entries)
        last = previous + len(request.entries)
        core.commit_to(min(request.commit_index, last))
        self._reply(leader, True, last, request)

    def handle_chunk(self, leader: str, chunk: SnapshotChunk, now: float) -> None:
        """Store a snapshot chunk; install the snapshot once it is complete."""
        core = self._core
        if not self._accept_leader(leader, chunk, now):
            return
        if chunk.index <= core.commit_index:
            self._incoming = None
            self._reply(leader, True, core.commit_index, chunk)
            return
        incoming = self._incoming_for(chunk)
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
        if len(incoming.data) < chunk.total_bytes:
            received = len(incoming.data)
            reply = SnapshotReply(core.term, chunk.index, received, chunk.round, chunk.term)
            core.send_when_durable(leader, reply)
            return
        self._incoming = None
        parts = (core.durable_log.new_part(bytes(incoming.data)),)
        core.install(
            StateSnapshot(incoming.index, incoming.term, incoming.membership, parts)
        )
        self._reply(leader, True, chunk.index, chunk)

    def _accept_leader(
        self, leader: str, request: AppendRequest | SnapshotChunk, now: float
    ) -> bool:
        core = self._core
        if core.disk_refused:
            return False
        if request.term < core.term:
            self._reply(leader, False, core.log.last_index, request)
            return False
        assert core.leadership is None or request.term > core.term
        core.follow(leader, request.term, "another replica leads", now)
        return True

    def _incoming_for(self, chunk: SnapshotChunk) -> IncomingSnapshot:
        incoming = self._incoming
        same = incoming is not None and (
            (incoming.index, incoming.term) == (chunk.index, chunk.index_term)
        )
        if incoming is None or not same:
            incoming = IncomingSnapshot(chunk.index, chunk.index_term, chunk.membership)
            self._incoming = incoming
        return incoming

    def _append_new(self, entries: tuple[LogEntry, ...]) -> None:
        core = self._core
        for position, entry in enumerate(entries):
            if core.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= core.log.last_index:
                core.truncate_from(entry.index)
            core.append(entries[position:])
            return

    def _hint(self, previous: int) -> int:
        """Return the highest index at which this log may match the leader's.

        This is the end of this log, or the entry before the conflicting term's first
        one, but never below the commit index.
        """
        log = self._core.log
        if previous > log.last_index:
            return log.last_index
        first = log.first_index_of_term_at(previous)
        return max(first - 1, self._core.commit_index)

    def _reply(
        self,
        leader: str,
        accepted: bool,
        index: int,
        request: AppendRequest | SnapshotChunk,
    ) -> None:
        core = self._core
        core.send_when_durable(
            leader,
            AppendReply(core.term, accepted, index, request.round, request.term),
        )
