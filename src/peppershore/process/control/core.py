"""The core of a control replica: accepts edits, serves relays and operators."""

from __future__ import annotations

import msgspec

from peppershore.connection.identity import parse_identity
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import (
    ProgressShared,
    ProgressTableShared,
    ProgressWanted,
)
from peppershore.connection.messages.operators import (
    EditAnswered,
    HistoryAnswered,
    HistoryQuery,
    MembershipChange,
    NotLeader,
    StatusAnswered,
    StatusQuery,
    SubmitEdit,
    TenantUsageQuery,
    TreeAnswered,
    TreeQuery,
    WatchRequest,
)
from peppershore.connection.messages.quotas import (
    QuotaAsked,
    QuotaForwarded,
    QuotaReturned,
)
from peppershore.connection.messages.relay import (
    CommittedEdit,
    ConfirmReply,
    ConfirmRequest,
    FollowRequest,
    ProgressReported,
)
from peppershore.connection.messages.rollouts import EvidencePassed, EvidenceShared
from peppershore.connection.messages.session import Goodbye, Refused, RetryAfter
from peppershore.process import events
from peppershore.process.commands import SetTimer
from peppershore.process.consensus.joining import SeedsChanged
from peppershore.process.consensus.records import StoredState
from peppershore.process.consensus.replica import ReplicaCore
from peppershore.process.consensus.replica_statuses import replica_statuses
from peppershore.process.consensus.settings import replica_settings
from peppershore.process.control import notices
from peppershore.process.control.clock import ClockObserved, WallClock
from peppershore.process.control.edit_intake import INTERNAL_LINK, EditIntake
from peppershore.process.control.followers import Followers
from peppershore.process.control.notices import edit_refused
from peppershore.process.control.progress import ProgressTable
from peppershore.process.control.progress_sharing import ProgressSharing
from peppershore.process.control.quota_service import QuotaService
from peppershore.process.control.redaction import redact_edits, redact_tree
from peppershore.process.control.releases import (
    ReleaseQueried,
    Releases,
    ReleaseSubmitted,
)
from peppershore.process.control.rollout_orders import (
    RolloutAborted,
    RolloutOrdered,
    RolloutOrders,
    RolloutQueried,
)
from peppershore.process.control.rollouts import Rollouts
from peppershore.process.control.rotation import RotationBarrier
from peppershore.process.control.state import (
    ControlCommand,
    ControlState,
    encode_command,
)
from peppershore.process.events import LinkId
from peppershore.process.settings import ControlSettings
from peppershore.version.model import (
    Edit,
    EditAccepted,
    EditInvalid,
    EditOutcome,
    Problem,
    Version,
)
from peppershore.version.rollout import touches_rollout

WATCH_TIMER = "control-watch"
WATCH_BATCH_SECONDS = 0.005
"""Changes of the nodes' progress within this time are sent to operators in one status."""

MAX_WAITING_EDITS = 10_000
BUSY_RETRY_MILLISECONDS = 500
HISTORY_CAPACITY = 5_000
MILLISECONDS_PER_SECOND = 1_000

CONTROL_ROLE = "control"
RELAY_ROLE = "relay"
OPERATOR_ROLE = "operator"

DISK_REFUSED = "the disk refuses writes"

ROLLOUT_NOT_EDITABLE = Problem(
    "rollout", "is the control group's own", "an order, see `peppershore rollout`"
)

_RELAY_MESSAGES = (
    FollowRequest,
    ConfirmRequest,
    ProgressReported,
    EvidenceShared,
    QuotaAsked,
)


class PendingRead(msgspec.Struct, frozen=True):
    """A client's request that waits for a read to be confirmed by a quorum."""

    link: LinkId
    request: ConfirmRequest | TreeQuery


class ControlCore(ReplicaCore):
    """Control replica: replicates edits and serves relays and operators."""

    def __init__(self, settings: ControlSettings, stored: StoredState) -> None:
        """Restore ``stored``, the state read from disk; do nothing before ``Started``."""
        self.state = ControlState(
            settings.cluster, settings.change_id_horizon, HISTORY_CAPACITY
        )
        super().__init__(replica_settings(settings), stored, self.state)
        self._intake = EditIntake(self.state)
        self._followers = Followers(self.state)
        self._quotas = QuotaService(self, settings.quotas)
        self._progress = ProgressTable()
        self._sharing = ProgressSharing(self._progress)
        self._rotation: RotationBarrier | None = None
        self._clock = WallClock()
        self._identities: dict[LinkId, str] = {}
        self._pending_reads: dict[int, PendingRead] = {}
        self._watchers: dict[LinkId, Version] = {}
        self._watch_timer_set = False
        self._releases = Releases(self)
        self.rollouts = Rollouts(
            self, settings.rollout_exposure_share, settings.apply_milliseconds
        )
        self._rollout_orders = RolloutOrders(self)

    # --- events --------------------------------------------------------------

    def on_event(self, event: events.Event) -> None:
        """Handle clock readings, release and roll-out requests, and new seed addresses."""
        if isinstance(event, ClockObserved):
            self._clock.observe(event, self.now)
        elif isinstance(event, ReleaseSubmitted):
            self._releases.submit(event)
        elif isinstance(event, ReleaseQueried):
            self._releases.read_newest(event)
        elif isinstance(event, RolloutOrdered | RolloutAborted | RolloutQueried):
            self._rollout_orders.handle_request(event)
        elif isinstance(event, SeedsChanged):
            self.joining.use_seeds(event.seeds)

    def on_timer(self, timer: str) -> None:
        """Send the newest status to watching operators."""
        if timer == WATCH_TIMER:
            self._watch_timer_set = False
            self._notify_watchers()

    def on_tick(self) -> None:
        """Handle time-outs, share the nodes' progress, continue roll-outs and rotations.

        Silent relays expire here. In rotations of secrets, the leader promotes the keys
        that all nodes hold, and reports the rotations that are overdue.
        """
        self._releases.tick()
        self._rollout_orders.tick()
        self._quotas.tick()
        if self._rotation is None:
            self._rotation = RotationBarrier(self._progress, self.now)
        if self._progress.refresh(self.now):
            self._progress_changed()
        self._share_progress()
        self.rollouts.tick()
        if not self.leads or self.stopping:
            return
        for notice in self._rotation.overdue(self.state.tree, self.now):
            self.report(notice)
        for edit in self._rotation.due(self.state.tree, self.now):
            self._submit(INTERNAL_LINK, edit)

    def on_link_opened(self, link: LinkId, identity: str) -> None:
        """Store the identity from the client's certificate."""
        self._identities[link] = identity

    def on_link_closed(self, link: LinkId) -> None:
        """Drop everything held for the client of a closed link."""
        self._identities.pop(link, None)
        self._watchers.pop(link, None)
        self._followers.leave(link)
        self._quotas.link_closed(link)

    def may_be_replica(self, link: LinkId, name: str) -> bool:
        """Report whether the certificate on this link permits that replica name.

        On a link without a certificate every name is permitted.
        """
        identity = self._identities.get(link, "")
        if not identity:
            return True
        parsed = parse_identity(identity).value_or(None)
        if parsed is None or parsed.cluster != self.settings.cluster:
            return False
        return (parsed.role, parsed.name) == (CONTROL_ROLE, name)

    # --- clients -------------------------------------------------------------

    def on_client_message(self, link: LinkId, message: Message) -> None:
        """Handle a message from a relay or an operator."""
        if not self._allowed(link, message):
            self.send(link, Refused("role", "this certificate may not ask for that"))
        elif isinstance(message, SubmitEdit):
            self._submit(link, message.edit)
        elif isinstance(message, FollowRequest):
            self._follow(link, message)
        elif isinstance(message, (ConfirmRequest, TreeQuery)):
            self._ask_read(link, message)
        elif isinstance(message, ProgressReported):
            self._accept_progress(message)
        elif isinstance(message, EvidenceShared):
            self.rollouts.add_evidence(message.evidence)
        elif isinstance(message, QuotaAsked | TenantUsageQuery):
            self._quotas.handle_client(link, message)
        elif isinstance(message, HistoryQuery):
            self.send(link, self._history(message))
        elif isinstance(message, StatusQuery):
            self.send(link, self.status())
        elif isinstance(message, WatchRequest):
            self._watchers[link] = message.version
            self._progress_changed()
            self._share_progress()
        elif isinstance(message, MembershipChange):
            self._change_membership(link, message)
        else:
            self.send(link, Refused("unexpected", type(message).__name__))

    def on_peer_message(self, peer: str, message: Message) -> None:
        """Handle reports, quota messages and edits sent by another replica."""
        if isinstance(message, SubmitEdit):
            self.submit_internally(message.edit)
        elif isinstance(message, EvidencePassed):
            self.rollouts.add_evidence(message.evidence)
        elif isinstance(message, ProgressShared):
            self._accept_shared(message)
        elif isinstance(message, ProgressTableShared) and peer == self.consensus.leader:
            for each in message.shared:
                if not self._sharing.has_recent_report(each.report.relay, self.now):
                    self._accept_shared(each)
        elif isinstance(message, ProgressWanted):
            self._sharing.note_table_request(peer, self.now)
            self._share_progress()
        elif isinstance(message, QuotaForwarded | QuotaReturned):
            self._quotas.handle_peer(peer, message)

    def _allowed(self, link: LinkId, message: Message) -> bool:
        identity = self._identities.get(link, "")
        if not identity:
            return True
        parsed = parse_identity(identity).value_or(None)
        if parsed is None or parsed.cluster != self.settings.cluster:
            return False
        wanted = RELAY_ROLE if isinstance(message, _RELAY_MESSAGES) else OPERATOR_ROLE
        return parsed.role == wanted

    def _submit(self, link: LinkId, edit: Edit) -> None:
        if not self.leads or self.stopping:
            self._answer(link, NotLeader(self.leader_address))
            return
        if link != INTERNAL_LINK and touches_rollout(edit.operations):
            self._answer(
                link, EditAnswered(EditInvalid(edit.change_id, (ROLLOUT_NOT_EDITABLE,)))
            )
            return
        known = self._intake.known_outcome(edit)
        if known is not None:
            self._answer_known(link, known)
        elif self._intake.waiting_edits >= MAX_WAITING_EDITS:
            self._answer(link, RetryAfter(BUSY_RETRY_MILLISECONDS))
        else:
            stamp = self._clock.unix_milliseconds(self.now)
            self._intake.submit(link, edit, stamp, self.next_index, self._propose)

    def submit_to_leader(self, edit: Edit) -> None:
        """Have the leader propose an edit that this replica composed itself."""
        if self.leads:
            self.submit_internally(edit)
        else:
            self.send_to_peer(self.consensus.leader, SubmitEdit(edit))

    def submit_internally(self, edit: Edit) -> None:
        """Propose, as the leader, an edit that a control replica composed itself.

        No answer is sent: a component of this replica that waits for the edit is notified
        when it is applied.
        """
        self._submit(INTERNAL_LINK, edit)

    def _answer_known(self, link: LinkId, outcome: EditOutcome) -> None:
        recorded = self.state.outcomes.find(outcome.change_id) is not None
        if not recorded and not isinstance(outcome, EditAccepted):
            self.report(edit_refused(outcome, self.name))
        self._answer(link, EditAnswered(outcome))

    def _propose(self, command: ControlCommand) -> int | None:
        return self.propose(encode_command(command))

    def _answer(self, link: LinkId, message: Message) -> None:
        if link != INTERNAL_LINK:
            self.send(link, message)

    def _follow(self, link: LinkId, request: FollowRequest) -> None:
        if request.cluster != self.settings.cluster:
            self.send(link, Refused("other-cluster", self.settings.cluster))
            return
        self._quotas.relay_followed(link, request.relay)
        for command in self._followers.follow(link, request):
            self.command(command)

    def _ask_read(self, link: LinkId, request: ConfirmRequest | TreeQuery) -> None:
        if isinstance(request, TreeQuery) and request.version != 0:
            self._answer_tree(link, request.version)
            return
        self._pending_reads[self.read()] = PendingRead(link, request)

    def on_read(self, request: int, confirmed: bool) -> None:
        """Answer the request that waited for this read.

        If the read was not confirmed by a quorum, a tree query is redirected to the leader,
        and a relay's request for confirmation stays unanswered.
        """
        if self._releases.handle_read(request, confirmed):
            return
        if self._rollout_orders.handle_read(request, confirmed):
            return
        pending = self._pending_reads.pop(request, None)
        if pending is None:
            return
        if isinstance(pending.request, TreeQuery):
            if confirmed:
                self._answer_tree(pending.link, self.state.tree.version)
            else:
                self.send(pending.link, NotLeader(self.leader_address))
        elif confirmed:
            version = self.state.tree.version
            self.send(pending.link, ConfirmReply(pending.request.nonce, version))

    def _answer_tree(self, link: LinkId, version: Version) -> None:
        tree = self.state.history.tree_at(self.state.tree, version)
        if tree is None:
            oldest = self.state.history.base_version
            detail = f"kept are {oldest} to {self.state.tree.version}"
            self.send(link, Refused("version-not-kept", detail))
            return
        self.send(link, TreeAnswered(redact_tree(tree)))

    def _history(self, query: HistoryQuery) -> HistoryAnswered:
        """Return the newest ``limit`` retained edits after the version asked for."""
        edits = self.state.history.edits_after(query.after_version)
        newest = edits[-query.limit :] if query.limit > 0 else ()
        retained = self.state.history.retained_edits()
        first = retained[0].version if retained else 0
        return HistoryAnswered(redact_edits(newest), first)

    def _change_membership(self, link: LinkId, change: MembershipChange) -> None:
        if self.leads and not self.stopping:
            self.changes.request(link, change)
        else:
            self.send(link, NotLeader(self.leader_address))

    # --- replication ---------------------------------------------------------

    def on_applied(self) -> None:
        """Answer the applied edits and send the accepted ones to relays."""
        self._quotas.tree_changed()
        edits = self.state.take_new_edits()
        outcomes = self.state.take_new_outcomes()
        if self.consensus.leadership is not None:
            self._report_outcomes(edits, outcomes)
        for outcome in outcomes:
            for link in self._intake.links_waiting_for(outcome.change_id):
                self._answer(link, EditAnswered(outcome))
        for command in self._followers.advance(edits):
            self.command(command)
        if outcomes:
            self._releases.applied(outcomes)
            self._rollout_orders.applied(outcomes)
        self._progress_changed()

    def _report_outcomes(
        self, edits: list[CommittedEdit], outcomes: list[EditOutcome]
    ) -> None:
        for committed in edits:
            edit = committed.edit
            self.report(
                notices.EditAccepted(
                    committed.version, edit.change_id, edit.author, self.name
                )
            )
        for outcome in outcomes:
            if not isinstance(outcome, EditAccepted):
                self.report(edit_refused(outcome, self.name))

    def on_state_installed(self) -> None:
        """Send the complete tree to relays that a newly installed snapshot is ahead of.

        Requests about releases are answered if their outcome came with the snapshot.
        """
        for command in self._followers.state_replaced():
            self.command(command)
        self._quotas.tree_changed()
        self._releases.state_installed()

    def on_leadership_gained(self) -> None:
        """Start to lead.

        Edits are validated on the newest tree from now on, and rotations wait for new
        reports.
        """
        if self._rotation is not None:
            self._rotation.restart(self.now)
        self._intake.begin()
        self._quotas.leadership_gained()
        self.rollouts.leadership_gained()

    def on_leadership_lost(self) -> None:
        """Stop leading and redirect the senders of unanswered edits.

        Those edits may still be committed: the senders retry with the same change id.
        """
        self._quotas.leadership_lost()
        for link in self._intake.end():
            self._answer(link, NotLeader(self.leader_address, undecided=True))

    def on_disk_refused(self) -> None:
        """Send the relays to other replicas, which still receive new edits.

        Relays of the only replica stay.
        """
        if len(self.consensus.membership.members) == 1:
            return
        for link in self._followers.links():
            self.send(link, Goodbye(DISK_REFUSED))

    def has_unanswered(self) -> bool:
        """Report whether an edit waits for its outcome."""
        return self._intake.waiting_edits > 0

    def client_links(self) -> tuple[LinkId, ...]:
        """Return the links of following relays and of operators that watch the status."""
        return tuple(dict.fromkeys((*self._followers.links(), *self._watchers)))

    # --- progress and status -------------------------------------------------

    @property
    def in_force(self) -> Version:
        """The version that all nodes hold, as far as their relays have reported."""
        return self._progress.in_force

    @property
    def unix_milliseconds(self) -> int:
        """Wall-clock time, in milliseconds since the Unix epoch.

        It is for display and for times that must stay meaningful across a restart.
        """
        return self._clock.unix_milliseconds(self.now)

    def _accept_progress(self, report: ProgressReported) -> None:
        self._sharing.add_direct_report(report, self.now)
        if self._progress.add_report(report, self.now, self.now):
            self._progress_changed()
        self._share_progress()

    def _accept_shared(self, shared: ProgressShared) -> None:
        reported_at = self.now - shared.age_milliseconds / MILLISECONDS_PER_SECOND
        if self._progress.add_report(shared.report, reported_at, self.now):
            self._progress_changed()
        self._share_with_watchers()

    def _share_progress(self) -> None:
        """Send the messages on the nodes' progress that are due to other replicas.

        A follower sends its relays' reports to the leader, and asks it for changes while
        operators watch here. A leader sends its table of reports to the other replicas.
        """
        if self.consensus.leadership is None:
            leader = self.consensus.leader
            for shared in self._sharing.reports_for_leader(leader, self.now):
                self.send_to_peer(leader, shared)
            if leader and self._watchers and self._sharing.table_request_due(self.now):
                self.send_to_peer(leader, ProgressWanted())
            return
        self._share_with_watchers()
        table = self._sharing.table_for_followers(self.now)
        if table is None:
            return
        for member in self.consensus.membership.members:
            if member.name != self.name:
                self.send_to_peer(member.name, table)

    def _share_with_watchers(self) -> None:
        """As leader, send a changed table of reports to replicas where operators watch."""
        found = None if not self.leads else self._sharing.table_for_watchers(self.now)
        if found is not None:
            names, table = found
            for name in names:
                self.send_to_peer(name, table)

    def _progress_changed(self) -> None:
        if self._watchers and not self._watch_timer_set:
            self._watch_timer_set = True
            self.command(SetTimer(WATCH_TIMER, WATCH_BATCH_SECONDS))

    def _notify_watchers(self) -> None:
        status = self.status()
        for link, version in list(self._watchers.items()):
            self.send(link, status)
            if status.in_force >= version:
                del self._watchers[link]

    def status(self) -> StatusAnswered:
        """Return the status of the cluster as this replica sees it."""
        rotations: tuple[str, ...] = ()
        if self._rotation is not None:
            rotations = self._rotation.descriptions(self.state.tree, self.now)
        return StatusAnswered(
            self.settings.cluster,
            self.name,
            self.consensus.leader,
            self.state.tree.version,
            min(self._progress.in_force, self.state.tree.version),
            replica_statuses(self),
            self._progress.statuses(self.now),
            rotations,
            self._progress.awaited(self.now),
        )
