"""Leader side of Raft: replication, commit, lease, reads, leadership transfer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from peppershore.connection.messages.consensus import (
    AppendReply,
    AppendRequest,
    ElectNow,
    LogEntry,
    SnapshotChunk,
    SnapshotReply,
)
from peppershore.process.consensus.membership import quorum_size, voters_of
from peppershore.process.consensus.outputs import ReadConfirmed, ReadFailed
from peppershore.process.consensus.peer_progress import PeerProgress

if TYPE_CHECKING:
    from peppershore.process.consensus.core import Consensus

CLOCK_DRIFT_BOUND = 0.05
"""Largest rate error of a replica's monotonic clock, fast or slow, as a fraction."""

TERM_NOT_TOLD = 0
"""``request_term`` of a reply from a replica of a version that does not tell it."""

LEASE_FRACTION = (1 - CLOCK_DRIFT_BOUND) / (1 + CLOCK_DRIFT_BOUND)
"""Length of a leader's lease, as a fraction of the election timeout."""


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits until a quorum has answered the leader's messages of ``round``.

    Besides, the log entry at ``index`` must be committed.
    """

    request: int
    index: int
    round: int


class Leadership:
    """State of the leader of one term."""

    def __init__(self, core: Consensus, now: float) -> None:
        """Start to lead ``core.term``; the caller then appends the term's first entry."""
        self.term = core.term
        self.first_index = core.log.last_index + 1
        self.own_match = 0
        self.transfer_target = ""
        self._announced = False
        self._core = core
        self._round = 0
        self._round_started: dict[int, float] = {}
        self._confirmed_round = 0
        self._confirmed_at = now
        self._quorum_check_restarted_at = now
        self._peers: dict[str, PeerProgress] = {}
        self._reads: list[PendingRead] = []
        self._round_requested = False

    @property
    def announced(self) -> bool:
        """Whether the term's first entry is committed and no transfer has begun."""
        return self._announced and not self.transfer_target

    def note_commit(self, commit_index: int) -> bool:
        """Record the commit index; return whether the term's first entry is now committed.

        It returns True once only: from then on the leader accepts proposals.
        """
        if self._announced or commit_index < self.first_index:
            return False
        self._announced = True
        return True

    # --- replication ---------------------------------------------------------

    def broadcast(self, now: float) -> None:
        """Begin a new round of messages: send entries or a heartbeat to every peer."""
        self._round += 1
        self._round_started[self._round] = now
        self._round_requested = False
        for peer in self._current_peers().values():
            self._send_append(peer, heartbeat=True)
        self._process_acknowledgements()

    def replicate(self, now: float) -> None:
        """Send new log entries to each peer that has few enough unanswered messages.

        If a read waits for a new round, begin the round as well.
        """
        if self._round_requested:
            self.broadcast(now)
        for peer in self._current_peers().values():
            self._send_append(peer, heartbeat=False)

    def handle_append_reply(self, name: str, reply: AppendReply) -> None:
        """Record a member's reply; commit entries, confirm reads and send more."""
        peer = self._current_peers().get(name)
        if peer is None:
            return
        self._record_round(peer, reply)
        if reply.accepted:
            peer.record_match(reply.last_index)
        else:
            peer.record_mismatch(reply.last_index)
        self._process_acknowledgements()
        self._transfer_if_ready()
        self._send_append(peer, heartbeat=False)

    def handle_snapshot_reply(self, name: str, reply: SnapshotReply) -> None:
        """Record how much of the snapshot a member holds and send the next chunk."""
        peer = self._current_peers().get(name)
        if peer is None:
            return
        self._record_round(peer, reply)
        self._process_acknowledgements()
        if peer.snapshot is None or peer.snapshot.index != reply.index:
            return
        if peer.record_received_bytes(reply.received_bytes):
            self._send_snapshot(peer)

    def _record_round(self, peer: PeerProgress, reply: AppendReply | SnapshotReply) -> None:
        """Count a reply for the rounds up to its own, if that is a round of this term.

        Rounds begin anew with each term: a late reply to a request of an earlier term would
        confirm rounds that the peer has not seen, and so lengthen the lease.
        """
        if reply.request_term in (self._core.term, TERM_NOT_TOLD):
            peer.record_round(reply.round)

    def peer_link_changed(self, name: str) -> None:
        """Probe a peer again whose link opened or closed: sent messages may be lost."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.restart()

    def match_index(self, name: str) -> int:
        """Return the highest index known to be durable at that member."""
        if name == self._core.settings.replica:
            return self.own_match
        peer = self._peers.get(name)
        return 0 if peer is None else peer.match_index

    def oldest_snapshot_in_transfer(self) -> int | None:
        """Return the index of the oldest snapshot being sent; None without one."""
        indexes = [peer.snapshot.index for peer in self._peers.values() if peer.snapshot]
        return min(indexes, default=None)

    def own_log_durable(self, index: int) -> None:
        """Record that this replica's own disk holds the log up to ``index``."""
        self.own_match = max(self.own_match, index)
        self._process_acknowledgements()

    def _process_acknowledgements(self) -> None:
        self._advance_commit()
        self._advance_confirmed_round()
        self._confirm_reads()

    def _advance_commit(self) -> None:
        """Commit what a majority holds durably, if its last entry is of this term."""
        core = self._core
        voters = voters_of(core.membership)
        matches = sorted((self.match_index(name) for name in voters), reverse=True)
        if not matches:
            return
        index = matches[quorum_size(core.membership) - 1]
        if index > core.commit_index and core.log.term_at(index) == self.term:
            core.commit_to(index)

    # --- lease, check-quorum and reads ---------------------------------------

    def lease_valid(self, now: float) -> bool:
        """Return whether this leader holds its lease.

        During a lease no other leader can be elected, provided that every clock stays
        within ``CLOCK_DRIFT_BOUND``.
        """
        if self.transfer_target:
            return False
        if self._is_sole_voter():
            return True
        if self._confirmed_round == 0:
            return False
        lease = self._core.settings.election_seconds * LEASE_FRACTION
        return now < self._confirmed_at + lease

    def quorum_lost(self, now: float) -> bool:
        """Return whether no majority answered for an election timeout (check quorum)."""
        if self._is_sole_voter():
            return False
        since = max(self._confirmed_at, self._quorum_check_restarted_at)
        return now >= since + self._core.settings.election_seconds

    def restart_quorum_check(self, now: float) -> None:
        """Start the check-quorum timeout anew, as this process was suspended.

        No peer was contacted during the suspension. The lease is not extended.
        """
        self._quorum_check_restarted_at = now

    def read(self, request: int, now: float) -> None:
        """Confirm the read numbered ``request`` by the lease or by a later round.

        Without a lease, the read waits for a majority's replies to a round of messages
        that begins after this call.
        """
        core = self._core
        if core.commit_index >= self.first_index and self.lease_valid(now):
            core.emit(ReadConfirmed(request, core.commit_index))
            return
        index = max(core.commit_index, self.first_index)
        self._reads.append(PendingRead(request, index, self._round + 1))
        self._round_requested = True

    def end(self) -> None:
        """End this leadership: fail all reads that wait for confirmation."""
        for read in self._reads:
            self._core.emit(ReadFailed(read.request))
        self._reads.clear()

    # --- leadership transfer -------------------------------------------------

    def transfer_leadership(self) -> None:
        """Transfer leadership to the voter with the most advanced log.

        That voter is asked to campaign as soon as its log is complete.
        """
        peers = self._current_peers()
        voters = [name for name in voters_of(self._core.membership) if name in peers]
        if not voters:
            return
        self.transfer_target = max(
            voters, key=lambda name: (peers[name].match_index, peers[name].answered_round)
        )
        self._transfer_if_ready()

    def _transfer_if_ready(self) -> None:
        peer = self._peers.get(self.transfer_target)
        if peer is None or peer.match_index < self._core.log.last_index:
            return
        self._core.send(self.transfer_target, ElectNow(self.term))

    # --- internals -----------------------------------------------------------

    def _is_sole_voter(self) -> bool:
        return voters_of(self._core.membership) == (self._core.settings.replica,)

    def _current_peers(self) -> dict[str, PeerProgress]:
        own = self._core.settings.replica
        members = [each for each in self._core.membership.members if each.name != own]
        for member in members:
            known = self._peers.get(member.name)
            if known is None or known.identity != member.identity:
                self._peers[member.name] = PeerProgress(
                    member.name, self._core.log.last_index + 1, member.identity
                )
        if len(self._peers) != len(members):
            self._peers = {each.name: self._peers[each.name] for each in members}
        return self._peers

    def _advance_confirmed_round(self) -> None:
        core = self._core
        own = core.settings.replica
        peers = self._current_peers()
        rounds = [
            self._round if name == own else peers[name].answered_round
            for name in voters_of(core.membership)
        ]
        if not rounds:
            return
        rounds.sort(reverse=True)
        answered = rounds[quorum_size(core.membership) - 1]
        if answered <= self._confirmed_round:
            return
        self._confirmed_round = answered
        self._confirmed_at = self._round_started[answered]
        for old in [each for each in self._round_started if each < answered]:
            del self._round_started[old]

    def _confirm_reads(self) -> None:
        core = self._core
        if not self._reads or core.commit_index < self.first_index:
            return
        waiting: list[PendingRead] = []
        for read in self._reads:
            if read.round <= self._confirmed_round and read.index <= core.commit_index:
                core.emit(ReadConfirmed(read.request, read.index))
            else:
                waiting.append(read)
        self._reads = waiting

    def _send_append(self, peer: PeerProgress, heartbeat: bool) -> None:
        core = self._core
        if peer.next_index <= core.log.base_index:
            self._send_snapshot_or_heartbeat(peer, heartbeat)
            return
        settings = core.settings
        may_send = peer.may_send_entries(settings.max_unanswered_messages)
        sent = False
        while may_send and peer.next_index <= core.log.last_index:
            entries = core.log.entries_after(
                peer.next_index - 1,
                settings.max_message_entries,
                settings.max_message_bytes,
            )
            self._send_request(peer, peer.next_index - 1, entries)
            peer.sent_entries(entries[-1].index)
            sent = True
            may_send = peer.may_send_entries(settings.max_unanswered_messages)
        if sent:
            return
        if heartbeat or peer.needs_commit_notice(core.commit_index):
            self._send_request(peer, peer.next_index - 1, ())

    def _send_request(
        self, peer: PeerProgress, previous_index: int, entries: tuple[LogEntry, ...]
    ) -> None:
        core = self._core
        previous_term = core.log.term_at(previous_index)
        assert previous_term is not None
        request = AppendRequest(
            self.term,
            previous_index,
            previous_term,
            core.commit_index,
            self._round,
            entries,
        )
        peer.sent_commit_index = core.commit_index
        core.send(peer.name, request)

    def _send_snapshot_or_heartbeat(self, peer: PeerProgress, heartbeat: bool) -> None:
        snapshot = self._core.snapshot
        assert snapshot is not None
        if peer.begin_snapshot(snapshot) or (heartbeat and peer.snapshot_stalled()):
            self._send_snapshot(peer)
        elif heartbeat:
            self._send_request(peer, self._core.log.base_index, ())

    def _send_snapshot(self, peer: PeerProgress) -> None:
        core = self._core
        snapshot = peer.snapshot
        assert snapshot is not None
        start = peer.snapshot_offset
        end = start + core.settings.snapshot_chunk_bytes
        chunk = SnapshotChunk(
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            start,
            snapshot.size,
            snapshot.piece(start, end),
            self._round,
        )
        core.send(peer.name, chunk)
