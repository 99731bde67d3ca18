"""Raft-based consensus core of one replica, as a deterministic state machine.

Inputs are method calls; those that depend on time take the monotonic time in seconds
as ``now``. The resulting outputs (messages, writes, notifications) are collected until
``take_outputs`` returns them. The payload of an entry is opaque. The modules
``election``, ``following`` and ``leadership`` hold the logic of the individual roles.
"""

from __future__ import annotations

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import (
    AppendReply,
    AppendRequest,
    ElectNow,
    EntryKind,
    LogEntry,
    Membership,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from peppershore.process.consensus.durable_log import DurableLog, compaction_point
from peppershore.process.consensus.election import Election, answer_vote_request
from peppershore.process.consensus.following import Following
from peppershore.process.consensus.former_leases import FormerLeases
from peppershore.process.consensus.leadership import Leadership
from peppershore.process.consensus.log import ReplicatedLog
from peppershore.process.consensus.membership import (
    MembershipHistory,
    encode_membership,
    find_member,
    group_id_of,
    is_store_of,
    voters_of,
)
from peppershore.process.consensus.outputs import (
    EntriesCommitted,
    LeaderChanged,
    LeadershipGained,
    LeadershipLost,
    Output,
    Persist,
    ReadFailed,
    SendToPeer,
    StateInstalled,
)
from peppershore.process.consensus.records import (
    HardState,
    SaveGroup,
    SaveHardState,
    SnapshotPart,
    StateSnapshot,
    StoredState,
)
from peppershore.process.consensus.role import Role
from peppershore.process.consensus.settings import ConsensusSettings
from peppershore.process.randomness import Randomness

FIRST_INDEX = 1
FIRST_TERM = 1

NEVER = float("-inf")

EARLY_ELECTION_SPREAD = 0.1
"""Upper bound of a random campaign delay, as a fraction of the election timeout.

It spreads the campaigns of replicas that learn at the same time that nobody leads.
"""


class Consensus:
    """Raft state of one replica: term, vote, log, role and pending outputs."""

    def __init__(
        self, settings: ConsensusSettings, stored: StoredState, randomness: Randomness
    ) -> None:
        """Restore ``stored``, the state read from disk; do nothing before ``start``.

        ``randomness`` supplies the random delays of elections.
        """
        self.settings = settings
        self.identity = stored.identity
        self.group_id = stored.group_id
        self.founding = 0
        """Id of the group that this store was made to found; 0 if it was made later."""
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.durable_log = DurableLog(stored)
        self.commit_index = 0 if stored.snapshot is None else stored.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact = NEVER
        self.former_leases = FormerLeases(settings.election_seconds)
        self.leadership: Leadership | None = None
        self.election: Election | None = None
        self.durability = self.durable_log.durability
        self.disk_refused = False
        self._following = Following(self)
        self._randomness = randomness
        self._election_due = 0.0
        self._last_tick_at = 0.0
        self._outputs: list[Output] = []

    # --- inputs --------------------------------------------------------------

    def start(self, now: float) -> None:
        """Start the election timer and the period of withheld votes.

        This replica grants no votes while a leader from before its start may still
        hold a lease. The only voter of a group campaigns at the next tick.
        """
        self.former_leases.begin(now)
        self._postpone_election(now)
        if voters_of(self.membership) == (self.settings.replica,):
            self._election_due = now

    def found(self, membership: Membership, now: float) -> None:
        """Make this membership the first entry of the log of a new group.

        A group of hubs is founded by the first election: each of its first members makes
        the same entry by itself.
        """
        assert self.group_id == 0
        self.join_group(group_id_of(membership))
        if self.term < FIRST_TERM:
            self.enter_term(FIRST_TERM, voted_for="")
        payload = encode_membership(membership)
        self.append((LogEntry(FIRST_INDEX, FIRST_TERM, EntryKind.MEMBERSHIP, payload),))
        self._election_due = now
        self.flush(now)

    def join_group(self, group_id: int) -> None:
        """Record permanently that this replica belongs to the group with this id."""
        assert self.group_id == 0
        self.group_id = group_id
        self.durability.add(SaveGroup(group_id))

    def tick(self, now: float) -> None:
        """Send heartbeats as leader; as voter, campaign once the election timeout expires.

        A leader without answers from a majority for an election timeout steps down.
        """
        was_suspended = now - self._last_tick_at > self.settings.election_seconds / 2
        self._last_tick_at = now
        if self.leadership is not None:
            if was_suspended:
                self.leadership.restart_quorum_check(now)
            if self.leadership.quorum_lost(now):
                self.follow("", self.term, "no majority answers", now)
            else:
                self.leadership.broadcast(now)
        elif now >= self._election_due and self.may_campaign:
            self.campaign(pre_vote=True, transfer=False, now=now)
        self.flush(now)

    def receive(self, name: str, identity: int, message: Message, now: float) -> None:
        """Handle a consensus message from the replica of that name and store identity.

        Replies count only if the identity is that of the member: a new store under
        a member's name has granted no votes and acknowledged no entries.
        """
        if isinstance(message, AppendRequest):
            self._following.handle_append(name, message, now)
        elif isinstance(message, SnapshotChunk):
            self._following.handle_chunk(name, message, now)
        elif isinstance(message, VoteRequest):
            answer_vote_request(self, name, message, now)
        elif self._is_member(name, identity):
            self._receive_from_member(name, message, now)
        self.flush(now)

    def note_not_leading(self, name: str, now: float) -> float | None:
        """Record that another replica reported that it does not lead.

        If this ends the wait for a former leader's lease and no leader is known, return
        the seconds until the next ``tick`` is due, else None.
        """
        waited = self.awaits_former_leader(now)
        self.former_leases.note_not_leading(name)
        if not waited or self.awaits_former_leader(now) or self.leader:
            return None
        longest = EARLY_ELECTION_SPREAD * self.settings.election_seconds
        seconds = self._randomness.between(0.0, longest)
        self._election_due = now + seconds
        return seconds

    def propose(self, payload: bytes) -> int | None:
        """Append a command; return its index, or None if no proposals are accepted.

        Nothing is sent or written before ``flush``, so proposals made before the
        same flush are batched.
        """
        if not self.ready_to_propose:
            return None
        return self._append_own(EntryKind.COMMAND, payload)

    def propose_membership(self, membership: Membership) -> int | None:
        """Append a membership that differs in one member; return its index.

        Return None if this replica accepts no proposals or the newest membership is
        not committed yet.
        """
        unsettled = self.memberships.current_index > self.commit_index
        if unsettled or not self.ready_to_propose:
            return None
        return self._append_own(EntryKind.MEMBERSHIP, encode_membership(membership))

    def read(self, request: int, now: float) -> None:
        """Request a read index for the read numbered ``request``.

        The output is ``ReadConfirmed`` or ``ReadFailed`` with the same number.
        """
        if self.leadership is None:
            self.emit(ReadFailed(request))
        else:
            self.leadership.read(request, now)

    def transfer_leadership(self) -> None:
        """Transfer leadership to the voter with the most advanced log (planned stop)."""
        if self.leadership is not None:
            self.leadership.transfer_leadership()

    def compact(self, index: int, parts: tuple[SnapshotPart, ...]) -> None:
        """Save a snapshot of the state after the entry at ``index``; drop old entries.

        ``parts`` hold the encoded state. The entry must be committed.
        """
        assert index <= self.commit_index
        in_transfer = None
        if self.leadership is not None:
            in_transfer = self.leadership.oldest_snapshot_in_transfer()
        kept = self.settings.kept_entries
        self.durable_log.compact(index, parts, compaction_point(index, kept, in_transfer))

    def persisted(self, token: int, now: float) -> None:
        """Handle that the write numbered ``token`` is done: its records are durable."""
        self.disk_refused = False
        self.durability.persisted(token)
        self.flush(now)

    def disk_failed(self, now: float) -> None:
        """Step down after a failed write; do not lead or vote until a write succeeds."""
        self.disk_refused = True
        self.follow("", self.term, "the disk refuses writes", now)

    def retry_disk(self) -> None:
        """Request one write of all records that are not durable yet.

        Without such records, the disk counts as accepting writes again.
        """
        write = self.durability.reissue()
        if write is None:
            self.disk_refused = False
        else:
            self.emit(Persist(write.token, write.records, retry=True))

    def flush(self, now: float) -> None:
        """Request the write of collected records; as leader, replicate new entries.

        While the disk refuses writes, only ``retry_disk`` requests one.
        """
        if self.leadership is not None:
            self.leadership.replicate(now)
        if not self.disk_refused:
            write = self.durability.issue()
            if write is not None:
                self.emit(write)

    def take_outputs(self) -> list[Output]:
        """Return the outputs collected since the last call."""
        taken = self._outputs
        self._outputs = []
        return taken

    # --- state shared with the role modules -----------------------------------

    @property
    def log(self) -> ReplicatedLog:
        """Log entries after the compaction point."""
        return self.durable_log.entries

    @property
    def snapshot(self) -> StateSnapshot | None:
        """Newest snapshot of the state machine; None before the first one."""
        return self.durable_log.snapshot

    @property
    def memberships(self) -> MembershipHistory:
        """Memberships along the log."""
        return self.durable_log.memberships

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, committed or not."""
        return self.memberships.current

    def awaits_former_leader(self, now: float) -> bool:
        """Return whether a leader from before this start may still hold a lease."""
        return self.former_leases.may_be_valid(self._possible_former_leaders, now)

    @property
    def may_campaign(self) -> bool:
        """Whether this replica, with this store, is a voter whose disk accepts writes."""
        own = find_member(self.membership, self.settings.replica)
        if own is None or self.disk_refused:
            return False
        is_first = self.founding != 0 and self.founding == self.group_id
        return own.voter and is_store_of(own, self.identity, is_first)

    @property
    def ready_to_propose(self) -> bool:
        """Whether this replica leads and accepts proposals.

        True once its term's first entry is committed, so that all entries of earlier
        terms were output to be applied; False during a leadership transfer.
        """
        leadership = self.leadership
        return leadership is not None and leadership.announced

    def emit(self, output: Output) -> None:
        """Add an output for the next ``take_outputs``."""
        self._outputs.append(output)

    def send(self, peer: str, message: Message) -> None:
        """Send without waiting for the disk.

        Only for messages that do not depend on records still being written.
        """
        self.emit(SendToPeer(peer, message))

    def send_when_durable(self, peer: str, message: Message) -> None:
        """Send after all records collected so far are durable."""
        self.durability.when_durable(lambda: self.send(peer, message))

    def campaign(self, pre_vote: bool, transfer: bool, now: float) -> None:
        """Start a campaign, with or without the pre-vote phase.

        ``transfer`` marks a campaign that the leader requested; it has no pre-votes.
        """
        self._set_leader("")
        self._postpone_election(now)
        self.election = Election(self, pre_vote, transfer)
        if pre_vote:
            self.election.begin_pre_vote(now)
        else:
            self.election.begin_vote(now)

    def enter_term(self, term: int, voted_for: str) -> None:
        """Set the current term and the candidate voted for in it; queue both for the disk.

        ``voted_for`` is "" without a vote.
        """
        self.term = term
        self.voted_for = voted_for
        self.durability.add(SaveHardState(HardState(term, voted_for)))

    def vote_for(self, name: str, now: float) -> None:
        """Vote for a candidate in the current term and restart the election timer."""
        if self.voted_for != name:
            self.enter_term(self.term, name)
        self._postpone_election(now)

    def lead(self, now: float) -> None:
        """Become leader: append the term's first, empty entry and send heartbeats."""
        self.role = Role.LEADER
        self.election = None
        self.leadership = Leadership(self, now)
        self._append_own(EntryKind.EMPTY, b"")
        self._set_leader(self.settings.replica)
        self.leadership.broadcast(now)

    def follow(self, leader: str, term: int, reason: str, now: float) -> None:
        """Become a follower of ``leader`` in ``term``; ``leader`` is "" while unknown.

        ``reason`` is reported if this replica was the leader.
        """
        if term > self.term:
            self.enter_term(term, voted_for="")
        if self.leadership is not None:
            self.leadership.end()
            self.leadership = None
            self.emit(LeadershipLost(reason))
        self.role = Role.FOLLOWER
        self.election = None
        if leader:
            self.last_leader_contact = now
        self._set_leader(leader)
        self._postpone_election(now)

    def commit_to(self, index: int) -> None:
        """Advance the commit index to ``index``; output the newly committed entries."""
        if index <= self.commit_index:
            return
        first = self.commit_index + 1
        self.commit_index = index
        entries = tuple(self.log.entry_at(each) for each in range(first, index + 1))
        self.emit(EntriesCommitted(entries))
        if self.leadership is not None and self.leadership.note_commit(index):
            self.emit(LeadershipGained(self.term))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries to the log in memory and queue them for the disk."""
        self.durable_log.append(entries)

    def truncate_from(self, index: int) -> None:
        """Drop the uncommitted entries from ``index`` on; the leader does not have them."""
        assert index > self.commit_index
        self.durable_log.truncate_from(index)

    def install(self, snapshot: StateSnapshot) -> None:
        """Replace the log and the state machine's state by a snapshot ahead of both."""
        self.durable_log.install(snapshot)
        self.commit_index = snapshot.index
        self.emit(StateInstalled(snapshot))

    # --- internals -----------------------------------------------------------

    def _receive_from_member(self, name: str, message: Message, now: float) -> None:
        if isinstance(message, VoteReply):
            self._handle_vote_reply(name, message, now)
        elif isinstance(message, AppendReply):
            if self._reply_counts(message.term, now) and self.leadership is not None:
                self.leadership.handle_append_reply(name, message)
                self._step_down_if_removed(now)
        elif isinstance(message, SnapshotReply):
            if self._reply_counts(message.term, now) and self.leadership is not None:
                self.leadership.handle_snapshot_reply(name, message)
        elif isinstance(message, ElectNow):
            self._handle_elect_now(message, now)

    def _handle_vote_reply(self, name: str, reply: VoteReply, now: float) -> None:
        election = self.election
        if not reply.granted:
            if reply.term > self.term:
                self.follow("", reply.term, "a voter has a higher term", now)
            return
        if election is None or election.pre_vote != reply.pre_vote:
            return
        if reply.term == self.term + (1 if reply.pre_vote else 0):
            election.count(name, now)

    def _reply_counts(self, term: int, now: float) -> bool:
        if term > self.term:
            self.follow("", term, "a peer has a higher term", now)
        return term == self.term

    def _handle_elect_now(self, message: ElectNow, now: float) -> None:
        if message.term == self.term and self.leadership is None and self.may_campaign:
            self.campaign(pre_vote=False, transfer=True, now=now)

    def _step_down_if_removed(self, now: float) -> None:
        own = find_member(self.membership, self.settings.replica)
        settled = self.memberships.current_index <= self.commit_index
        if own is None and settled:
            self.follow("", self.term, "removed from the group", now)

    def _append_own(self, kind: EntryKind, payload: bytes) -> int:
        index = self.log.last_index + 1
        term = self.term
        self.append((LogEntry(index, term, kind, payload),))
        self.durability.when_durable(lambda: self._own_log_durable(term, index))
        return index

    def _own_log_durable(self, term: int, index: int) -> None:
        if self.leadership is not None and self.term == term:
            self.leadership.own_log_durable(index)

    @property
    def _possible_former_leaders(self) -> frozenset[str]:
        memberships = (self.membership, self.memberships.before_current)
        names = {member.name for each in memberships for member in each.members}
        return frozenset(names - {self.settings.replica})

    def _is_member(self, name: str, identity: int) -> bool:
        member = find_member(self.membership, name)
        return member is not None and member.identity == identity

    def _set_leader(self, leader: str) -> None:
        if leader != self.leader:
            self.leader = leader
            self.emit(LeaderChanged(leader, self.term))

    def _postpone_election(self, now: float) -> None:
        shortest = self.settings.election_seconds
        self._election_due = now + self._randomness.between(shortest, 2 * shortest)
