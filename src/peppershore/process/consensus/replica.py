"""The core of one replica of a group: consensus, peers, disk and state machine.

The cores of control and claims replicas derive from ``ReplicaCore``: they supply a
state machine and handle their own clients by overriding ``ReplicaHooks``.
"""

from __future__ import annotations

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import (
    AppendReply,
    AppendRequest,
    ElectNow,
    EntryKind,
    GroupDescribed,
    LogEntry,
    ReadIndexReply,
    ReadIndexRequest,
    ReplicaHello,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from peppershore.connection.messages.session import Goodbye, Refused
from peppershore.process import events
from peppershore.process.commands import (
    Command,
    Exit,
    Notice,
    Report,
    SendMessage,
    SetTimer,
)
from peppershore.process.consensus import notices, outputs
from peppershore.process.consensus.core import Consensus
from peppershore.process.consensus.greeting import Greeting
from peppershore.process.consensus.joining import Joining
from peppershore.process.consensus.membership import find_member, voters_of
from peppershore.process.consensus.membership_changes import MembershipChanges
from peppershore.process.consensus.peers import PeerIdentity, PeerLinks, identity_in
from peppershore.process.consensus.records import PersistLog, StoredState
from peppershore.process.consensus.replica_hooks import ReplicaHooks
from peppershore.process.consensus.replica_reads import ReplicaReads
from peppershore.process.consensus.settings import ReplicaSettings
from peppershore.process.consensus.snapshotting import SNAPSHOT_TIMER, Snapshotting
from peppershore.process.consensus.state_machine import StateMachine
from peppershore.process.events import LinkId
from peppershore.process.link_numbers import LinkNumbers
from peppershore.process.randomness import Randomness

TICK_TIMER = "consensus-tick"
TIMER_MARGIN_SECONDS = 0.001
"""Added to a timer's delay so that its action is certainly due when it fires."""

FLUSH_TIMER = "consensus-flush"
DISK_TIMER = "consensus-disk"
STOP_TIMER = "consensus-stop"
DISK_RETRY_SECONDS = 1.0
STOP_TIMEOUT_SECONDS = 3.0

_CONSENSUS_MESSAGES = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    ElectNow,
)


class ReplicaCore(ReplicaHooks):
    """Drives consensus, applies entries to the state machine, and links the peers."""

    def __init__(
        self, settings: ReplicaSettings, stored: StoredState, machine: StateMachine
    ) -> None:
        """Restore ``stored``, the state read from disk; do nothing before ``Started``.

        ``machine`` is the state machine that committed entries are applied to.
        """
        self.settings = settings
        self.name = settings.consensus.replica
        self.now = 0.0
        self.stopping = False
        self._stored = stored
        self.first_seeds = stored.first_seeds
        self._machine = machine
        self._commands: list[Command] = []
        self._flush_timer_set = False
        self._applied_index = 0
        self._reads = ReplicaReads(self)
        self.consensus = Consensus(settings.consensus, stored, Randomness(stored.identity))
        self.peers = PeerLinks(LinkNumbers())
        self._snapshotting = Snapshotting(self, machine)
        self._greeting = Greeting(self)
        self.changes = MembershipChanges(self)
        self.joining = Joining(self)

    def step(self, event: events.Event, now: float) -> list[Command]:
        """Handle one event; return the resulting commands."""
        self.now = now
        self._handle_event(event)
        self._carry_out_outputs()
        commands = self._commands
        self._commands = []
        return commands

    # --- for the cores of control and claims replicas ------------------------

    @property
    def leads(self) -> bool:
        """Whether this replica leads and accepts proposals."""
        return self.consensus.ready_to_propose

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that the state machine has applied."""
        return self._applied_index

    @property
    def next_index(self) -> int:
        """Index that the next proposal gets."""
        return self.consensus.log.last_index + 1

    @property
    def leader_address(self) -> str:
        """Address of the leader; "" if this replica knows none."""
        leader = self.consensus.leader
        member = find_member(self.consensus.membership, leader)
        return "" if member is None else member.address

    @property
    def snapshots_made(self) -> int:
        """Number of snapshots made since the start."""
        return self._snapshotting.made

    def propose(self, payload: bytes) -> int | None:
        """Append a command; return its index, or None if no proposals are accepted.

        Proposals of the same turn of the event loop share a write.
        """
        index = self.consensus.propose(payload)
        if index is not None and not self._flush_timer_set:
            self._flush_timer_set = True
            self.command(SetTimer(FLUSH_TIMER, 0.0))
        return index

    def read(self) -> int:
        """Start a linearizable read; return the request number passed to ``on_read``."""
        return self._reads.begin_read()

    def command(self, command: Command) -> None:
        """Add a command to those that the current step returns."""
        self._commands.append(command)

    def send(self, link: LinkId, message: Message) -> None:
        """Send a message on a link."""
        self.command(SendMessage(link, message))

    def report(self, notice: Notice) -> None:
        """Report a notice to the log and metrics."""
        self.command(Report(notice))

    def send_to_peer(self, name: str, message: Message) -> None:
        """Send a message to another replica; drop it if that is not connected."""
        self._commands += self.peers.send(name, message)

    def greet_all(self) -> None:
        """Send a hello on every link to another replica."""
        self._greeting.greet_again()

    def note_not_leading(self, hello: ReplicaHello) -> None:
        """Record that another replica reported in its hello that it does not lead.

        A replica with a new store speaks for the member of that name only in a group
        that manages its membership: there the name is the address of its links, so no
        other process can still lead under it.
        """
        member = find_member(self.consensus.membership, hello.replica)
        is_member = member is not None and identity_in(hello).is_store_of(
            member, self.consensus.group_id
        )
        if not is_member and not self.joining.manages_membership:
            return
        seconds = self.consensus.note_not_leading(hello.replica, self.now)
        if seconds is not None:
            self.command(SetTimer(TICK_TIMER, seconds + TIMER_MARGIN_SECONDS))

    def update_peer_links(self) -> None:
        """Open links to all members and other wanted peers; close links to the rest.

        Other wanted peers are replicas about to be added, the first members while this
        replica is blank, and, while no leader is known, the seeds and described members.
        """
        wanted = {
            member.name: member.address for member in self.consensus.membership.members
        }
        if self.consensus.group_id == 0 and not self.settings.join:
            wanted |= {each.name: each.address for each in self.settings.replicas}
        wanted |= self.changes.pending_additions()
        wanted |= self.joining.temporary_peers()
        wanted.pop(self.name, None)
        self._commands += self.peers.set_targets(wanted)
        self._commands += self.peers.connect(self.now)

    # --- events --------------------------------------------------------------

    def _handle_event(self, event: events.Event) -> None:
        if isinstance(event, events.MessageReceived):
            self._handle_message(event.link, event.message)
        elif isinstance(event, events.TimerFired):
            self._handle_timer(event.timer)
        elif isinstance(event, events.RecordsPersisted):
            self._persisted(event.token)
        elif isinstance(event, events.RecordsFailed):
            self._records_failed(event.reason)
        elif isinstance(event, events.LinkOpened):
            self._link_opened(event)
        elif isinstance(event, events.LinkClosed):
            self._link_closed(event.link)
        elif isinstance(event, events.Started):
            self._started()
        elif isinstance(event, events.StopRequested):
            self._stop_requested()
        else:
            self.on_event(event)

    def _started(self) -> None:
        snapshot = self._stored.snapshot
        if snapshot is not None:
            self._machine.restore(snapshot.state)
            self._applied_index = snapshot.index
        self._stored = StoredState(self._stored.identity)
        self._greeting.take_seat()
        self.consensus.start(self.now)
        self._tick()

    def _handle_timer(self, timer: str) -> None:
        if timer == TICK_TIMER:
            self._tick()
        elif timer == FLUSH_TIMER:
            self._flush_timer_set = False
            self.consensus.flush(self.now)
        elif timer == SNAPSHOT_TIMER:
            self._snapshotting.advance()
        elif timer == DISK_TIMER:
            self.consensus.retry_disk()
        elif timer == STOP_TIMER:
            self.command(Exit("the bound of the planned stop ran out"))
        else:
            self.on_timer(timer)

    def _tick(self) -> None:
        self.command(SetTimer(TICK_TIMER, self.settings.consensus.heartbeat_seconds))
        self.update_peer_links()
        if self.consensus.group_id == 0 and not self.settings.join:
            self._greeting.found_if_possible()
        self._greeting.report_awaited_seeds()
        self.consensus.tick(self.now)
        self.changes.tick()
        self.joining.tick()
        self.on_tick()
        self._exit_if_stopped()

    def _persisted(self, token: int) -> None:
        if self.consensus.disk_refused:
            self.report(notices.StorageRecovered(self.name))
        self.consensus.persisted(token, self.now)

    def _records_failed(self, reason: str) -> None:
        if not self.consensus.disk_refused:
            self.report(notices.StorageRefused(self.name, reason))
            self.on_disk_refused()
        self.consensus.disk_failed(self.now)
        self.command(SetTimer(DISK_TIMER, DISK_RETRY_SECONDS))

    # --- links ----------------------------------------------------

    def _link_opened(self, event: events.LinkOpened) -> None:
        self.on_link_opened(event.link, event.identity)
        if self.peers.is_outgoing(event.link):
            self._greeting.greet(event.link)

    def _link_closed(self, link: LinkId) -> None:
        self.on_link_closed(link)
        peer = self.peers.closed(link)
        if peer is None:
            return
        if peer == self.consensus.leader:
            self._reads.leader_lost()
        if self.consensus.leadership is not None:
            self.consensus.leadership.peer_link_changed(peer)

    # --- messages ------------------------------------------------------------

    def _handle_message(self, link: LinkId, message: Message) -> None:
        if isinstance(message, ReplicaHello):
            self._greeting.handle_hello(link, message)
            return
        peer = self.peers.identity_on(link)
        if peer is not None:
            self.joining.record_contact(peer.name)
        if peer is None:
            self.on_client_message(link, message)
        elif isinstance(message, GroupDescribed):
            self.joining.handle_group_described(message)
        elif isinstance(message, _CONSENSUS_MESSAGES):
            self._handle_consensus_message(peer, message)
        elif isinstance(message, ReadIndexRequest):
            self._reads.handle_request(peer.name, message)
        elif isinstance(message, ReadIndexReply):
            self._reads.handle_reply(message)
        elif not isinstance(message, Refused):
            self.on_peer_message(peer.name, message)

    def _handle_consensus_message(self, peer: PeerIdentity, message: Message) -> None:
        own = self.consensus.group_id
        if own == 0 and isinstance(message, (AppendRequest, SnapshotChunk)):
            if peer.group_id == 0:
                return
            self.consensus.join_group(peer.group_id)
            self.report(notices.GroupJoined(self.name, peer.group_id))
            self._greeting.greet_again()
        elif own != 0 and peer.group_id not in (0, own):
            return
        self.consensus.receive(peer.name, self._member_identity(peer), message, self.now)

    def _member_identity(self, peer: PeerIdentity) -> int:
        """Return the peer's identity, or ``FIRST_STORE`` while its own seat is open."""
        member = find_member(self.consensus.membership, peer.name)
        if member is None or not peer.is_store_of(member, self.consensus.group_id):
            return peer.identity
        return member.identity

    # --- outputs of the consensus core ---------------------------------------

    def _carry_out_outputs(self) -> None:
        pending = self.consensus.take_outputs()
        while pending:
            for output in pending:
                self._carry_out(output)
            pending = self.consensus.take_outputs()

    def _carry_out(self, output: outputs.Output) -> None:
        if isinstance(output, outputs.SendToPeer):
            self.send_to_peer(output.peer, output.message)
        elif isinstance(output, outputs.Persist):
            self.command(PersistLog(output.token, output.records, output.retry))
        elif isinstance(output, outputs.EntriesCommitted):
            self._apply(output.entries)
        elif isinstance(output, outputs.StateInstalled):
            self._snapshotting.cancel()
            self._machine.restore(output.snapshot.state)
            self._applied_index = output.snapshot.index
            self.on_state_installed()
            self._reads.answer_ready()
        elif isinstance(output, outputs.LeadershipGained):
            self.report(notices.LeadershipStarted(self.name, output.term))
            self.joining.leadership_gained()
            self.on_leadership_gained()
        elif isinstance(output, outputs.LeadershipLost):
            self.report(notices.LeadershipEnded(self.name, output.reason))
            self.changes.leadership_lost()
            self.on_leadership_lost()
        elif isinstance(output, outputs.LeaderChanged):
            self.report(notices.LeaderObserved(self.name, output.leader, output.term))
            self._reads.leader_lost()
            self.on_leader_changed()
        else:
            self._reads.handle_output(output)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.COMMAND:
                self._machine.apply(entry.index, entry.payload)
            self._applied_index = entry.index
            if entry.kind is EntryKind.MEMBERSHIP:
                self._membership_committed()
        self.on_applied()
        self._reads.answer_ready()
        self._snapshotting.begin_if_due()

    def _membership_committed(self) -> None:
        members = self.consensus.membership.members
        learners = tuple(member.name for member in members if not member.voter)
        voters = voters_of(self.consensus.membership)
        self.report(notices.MembershipChanged(self.name, voters, learners))
        self.changes.membership_committed()
        self.update_peer_links()

    # --- planned stop --------------------------------------------------------

    def _stop_requested(self) -> None:
        if self.stopping:
            return
        self.stopping = True
        self.command(SetTimer(STOP_TIMER, STOP_TIMEOUT_SECONDS))
        for link in self.client_links():
            self.send(link, Goodbye("stopping"))
        self._exit_if_stopped()

    def _exit_if_stopped(self) -> None:
        if not self.stopping or self.has_unanswered():
            return
        alone = voters_of(self.consensus.membership) == (self.name,)
        if self.consensus.leadership is not None and not alone:
            self.consensus.transfer_leadership()
        elif self.consensus.durability.idle:
            self.command(Exit("stopped as planned"))
