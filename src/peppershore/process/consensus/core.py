"""The consensus core of one replica: a deterministic state machine of the Raft family.

Inputs are method calls with the monotonic time; what they ask for is collected
and handed out by ``take_outputs``.  Entries are opaque.  Elections, the duties
of a follower and those of a leader live in modules of their own.
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
"""Part of the election timeout over which those campaign at random who learned at the
same moment that nobody leads."""


class Consensus:
    """One replica's part in keeping one log equal on all replicas."""

    def __init__(
        self, settings: ConsensusSettings, stored: StoredState, randomness: Randomness
    ) -> None:
        """Take up what the store holds; nothing happens before ``start``."""
        self.settings = settings
        self.identity = stored.identity
        self.group_id = stored.group_id
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.durable_log = DurableLog(stored)
        self.commit_index = 0 if stored.snapshot is None else stored.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_heard_at = NEVER
        self.former_leases = FormerLeases(settings.election_seconds)
        self.leadership: Leadership | None = None
        self.election: Election | None = None
        self.durability = self.durable_log.durability
        self.disk_refused = False
        self._following = Following(self)
        self._randomness = randomness
        self._election_due = 0.0
        self._ticked_at = 0.0
        self._outputs: list[Output] = []

    # --- inputs --------------------------------------------------------------

    def start(self, now: float) -> None:
        """Begin; votes are withheld while a former leader's lease may count."""
        self.former_leases.begin(now)
        self._postpone_election(now)
        if voters_of(self.membership) == (self.settings.replica,):
            self._election_due = now

    def found(self, membership: Membership, now: float) -> None:
        """Begin a new group with this founding membership."""
        assert self.group_id == 0
        self.join_group(group_id_of(membership))
        self.enter_term(FIRST_TERM, voted_for="")
        payload = encode_membership(membership)
        self.append((LogEntry(FIRST_INDEX, FIRST_TERM, EntryKind.MEMBERSHIP, payload),))
        self._election_due = now
        self.flush(now)

    def join_group(self, group_id: int) -> None:
        """Note for good which group this replica belongs to."""
        assert self.group_id == 0
        self.group_id = group_id
        self.durability.add(SaveGroup(group_id))

    def tick(self, now: float) -> None:
        """Send a heartbeat as leader; campaign when no leader is heard of."""
        stood_still = now - self._ticked_at > self.settings.election_seconds / 2
        self._ticked_at = now
        if self.leadership is not None:
            if stood_still:
                self.leadership.asks_anew(now)
            if self.leadership.quorum_lost(now):
                self.follow("", self.term, "no majority answers", now)
            else:
                self.leadership.broadcast(now)
        elif now >= self._election_due and self.may_campaign:
            self.campaign(pre_vote=True, transfer=False, now=now)
        self.flush(now)

    def receive(self, name: str, identity: int, message: Message, now: float) -> None:
        """Take a consensus message from the replica of that name and identity.

        Answers count only if the identity is that of the member: a blank disk
        under a member's name has voted for nothing and holds nothing.
        """
        if isinstance(message, AppendRequest):
            self._following.take_append(name, message, now)
        elif isinstance(message, SnapshotChunk):
            self._following.take_chunk(name, message, now)
        elif isinstance(message, VoteRequest):
            answer_vote_request(self, name, message, now)
        elif self._is_member(name, identity):
            self._receive_from_member(name, message, now)
        self.flush(now)

    def note_not_leading(self, name: str, now: float) -> float | None:
        """A replica said that it does not lead.

        Gives the seconds until the next ``tick`` should come, if that ended this
        replica's wait for a former leader.
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
        """Append a command; its index if this replica leads, else None.

        Nothing is sent or written before ``flush``, so that proposals that come
        together travel together.
        """
        if not self.ready_to_propose:
            return None
        return self._append_own(EntryKind.COMMAND, payload)

    def propose_membership(self, membership: Membership) -> int | None:
        """Append a membership that differs in one member; None if it can't be now."""
        unsettled = self.memberships.current_index > self.commit_index
        if unsettled or not self.ready_to_propose:
            return None
        return self._append_own(EntryKind.MEMBERSHIP, encode_membership(membership))

    def read(self, request: int, now: float) -> None:
        """Ask for a confirmed index; answered by ReadConfirmed or ReadFailed."""
        if self.leadership is None:
            self.emit(ReadFailed(request))
        else:
            self.leadership.read(request, now)

    def hand_over(self) -> None:
        """Give up leadership to the most advanced voter, for a planned stop."""
        if self.leadership is not None:
            self.leadership.hand_over()

    def compact(self, index: int, parts: tuple[SnapshotPart, ...]) -> None:
        """Keep the state after the entry at ``index``; drop old entries."""
        assert index <= self.commit_index
        under_way = None
        if self.leadership is not None:
            under_way = self.leadership.oldest_snapshot_under_way()
        kept = self.settings.kept_entries
        self.durable_log.compact(index, parts, compaction_point(index, kept, under_way))

    def persisted(self, token: int, now: float) -> None:
        """The records of that write are durable."""
        self.disk_refused = False
        self.durability.persisted(token)
        self.flush(now)

    def disk_failed(self, now: float) -> None:
        """The disk refused a write: lead and vote no more until it takes one."""
        self.disk_refused = True
        self.follow("", self.term, "the disk refuses writes", now)

    def retry_disk(self) -> None:
        """Ask again for all that is not durable yet."""
        again = self.durability.issue_again()
        if again is None:
            self.disk_refused = False
        else:
            self.emit(Persist(again.token, again.records, retry=True))

    def flush(self, now: float) -> None:
        """Write what was collected and, as leader, send what peers lack."""
        if self.leadership is not None:
            self.leadership.replicate(now)
        if not self.disk_refused:
            write = self.durability.issue()
            if write is not None:
                self.emit(write)

    def take_outputs(self) -> list[Output]:
        """Hand out what was asked for since the last call."""
        taken = self._outputs
        self._outputs = []
        return taken

    # --- state that the parts share ------------------------------------------

    @property
    def log(self) -> ReplicatedLog:
        """The entries after the compaction point."""
        return self.durable_log.entries

    @property
    def snapshot(self) -> StateSnapshot | None:
        """The newest snapshot of the state."""
        return self.durable_log.snapshot

    @property
    def memberships(self) -> MembershipHistory:
        """The memberships along the log."""
        return self.durable_log.memberships

    @property
    def membership(self) -> Membership:
        """The newest membership in the log, committed or not."""
        return self.memberships.current

    def awaits_former_leader(self, now: float) -> bool:
        """Whether a leader of before this replica's start may still hold a lease."""
        return self.former_leases.may_count(self._others_that_may_have_led, now)

    @property
    def may_campaign(self) -> bool:
        """Whether this very store is a voter and can write."""
        own = find_member(self.membership, self.settings.replica)
        if own is None or self.disk_refused:
            return False
        return own.voter and own.identity == self.identity

    @property
    def ready_to_propose(self) -> bool:
        """Whether this replica leads and has applied all earlier terms' entries."""
        leadership = self.leadership
        return leadership is not None and leadership.announced

    def emit(self, output: Output) -> None:
        """Add an output."""
        self._outputs.append(output)

    def send(self, peer: str, message: Message) -> None:
        """Send at once: the message promises nothing about this replica's disk."""
        self.emit(SendToPeer(peer, message))

    def send_when_durable(self, peer: str, message: Message) -> None:
        """Send once all records collected so far are durable."""
        self.durability.when_durable(lambda: self.send(peer, message))

    def campaign(self, pre_vote: bool, transfer: bool, now: float) -> None:
        """Start an election, of pre-votes first unless the leader asked for it."""
        self._set_leader("")
        self._postpone_election(now)
        self.election = Election(self, pre_vote, transfer)
        if pre_vote:
            self.election.begin_pre_vote(now)
        else:
            self.election.begin_vote(now)

    def enter_term(self, term: int, voted_for: str) -> None:
        """Move to a term with this vote."""
        self.term = term
        self.voted_for = voted_for
        self.durability.add(SaveHardState(HardState(term, voted_for)))

    def vote_for(self, name: str, now: float) -> None:
        """Give this term's vote."""
        if self.voted_for != name:
            self.enter_term(self.term, name)
        self._postpone_election(now)

    def lead(self, now: float) -> None:
        """Won the election: append this term's first entry and take the lead."""
        self.role = Role.LEADER
        self.election = None
        self.leadership = Leadership(self, now)
        self._append_own(EntryKind.EMPTY, b"")
        self._set_leader(self.settings.replica)
        self.leadership.broadcast(now)

    def follow(self, leader: str, term: int, reason: str, now: float) -> None:
        """Follow ``leader`` ("" for nobody yet) in ``term``; leave any other role."""
        if term > self.term:
            self.enter_term(term, voted_for="")
        if self.leadership is not None:
            self.leadership.end()
            self.leadership = None
            self.emit(LeadershipLost(reason))
        self.role = Role.FOLLOWER
        self.election = None
        if leader:
            self.leader_heard_at = now
        self._set_leader(leader)
        self._postpone_election(now)

    def commit_to(self, index: int) -> None:
        """Hand out the entries up to ``index`` as committed."""
        if index <= self.commit_index:
            return
        first = self.commit_index + 1
        self.commit_index = index
        entries = tuple(self.log.entry_at(each) for each in range(first, index + 1))
        self.emit(EntriesCommitted(entries))
        if self.leadership is not None and self.leadership.begins_with(index):
            self.emit(LeadershipGained(self.term))

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries to the log, in memory and on disk."""
        self.durable_log.append(entries)

    def truncate_from(self, index: int) -> None:
        """Drop uncommitted entries that the leader doesn't have."""
        assert index > self.commit_index
        self.durable_log.truncate_from(index)

    def install(self, snapshot: StateSnapshot) -> None:
        """Replace log and state by a snapshot that is ahead of both."""
        self.durable_log.install(snapshot)
        self.commit_index = snapshot.index
        self.emit(StateInstalled(snapshot))

    # --- internals -----------------------------------------------------------

    def _receive_from_member(self, name: str, message: Message, now: float) -> None:
        if isinstance(message, VoteReply):
            self._take_vote_reply(name, message, now)
        elif isinstance(message, AppendReply):
            if self._reply_counts(message.term, now) and self.leadership is not None:
                self.leadership.take_append_reply(name, message)
                self._leave_if_removed(now)
        elif isinstance(message, SnapshotReply):
            if self._reply_counts(message.term, now) and self.leadership is not None:
                self.leadership.take_snapshot_reply(name, message)
        elif isinstance(message, ElectNow):
            self._take_elect_now(message, now)

    def _take_vote_reply(self, name: str, reply: VoteReply, now: float) -> None:
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

    def _take_elect_now(self, message: ElectNow, now: float) -> None:
        if message.term == self.term and self.leadership is None and self.may_campaign:
            self.campaign(pre_vote=False, transfer=True, now=now)

    def _leave_if_removed(self, now: float) -> None:
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
    def _others_that_may_have_led(self) -> frozenset[str]:
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
