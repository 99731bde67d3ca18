"""The core of one replica of a claims group.

The leader replicates the requests of nodes and answers them from the committed table. An
answer is sent only after a quorum has the entry on disk.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.identity import parse_identity
from peppershore.connection.messages.base import Message
from peppershore.connection.messages.claims import (
    ClaimCompleted,
    ClaimGranted,
    ClaimNoted,
    ClaimRefused,
    ClaimReleased,
    ClaimRequest,
    ClaimTaken,
)
from peppershore.connection.messages.operators import (
    MembershipChange,
    NotLeader,
    StatusAnswered,
    StatusQuery,
)
from peppershore.connection.messages.session import Refused
from peppershore.process.claims.client_core import REASON_FULL, REASON_NOT_LEADER
from peppershore.process.claims.entries import (
    BoundsSet,
    ClaimEntry,
    ClockAdvanced,
    CompletionEntry,
    Granted,
    Noted,
    ReleaseEntry,
    TableAnswer,
    TableEntry,
    TableFull,
    Taken,
    encode_entry,
)
from peppershore.process.claims.machine import AppliedEntry, ClaimsMachine
from peppershore.process.claims.table import ClaimTable
from peppershore.process.consensus.records import StoredState
from peppershore.process.consensus.replica import ReplicaCore
from peppershore.process.consensus.replica_statuses import replica_statuses
from peppershore.process.consensus.settings import replica_settings
from peppershore.process.events import LinkId
from peppershore.process.settings import ClaimsSettings

MAX_WAITING = 20_000
CLOCK_SECONDS = 1.0
MILLISECONDS = 1_000
BYTES_PER_MEGABYTE = 1_048_576
REASON_BUSY = "busy"
CLAIMS_ROLE = "claims"
OPERATOR_ROLE = "operator"

ClientRequest = ClaimRequest | ClaimCompleted | ClaimReleased


class WaitingRequest(msgspec.Struct, frozen=True):
    """A node's request that waits until its proposed entry is committed.

    ``request`` is its number on ``link``.
    """

    link: LinkId
    request: int
    entry: TableEntry


class ClaimsCore(ReplicaCore):
    """Claims replica: serves requests of nodes from a replicated table of claims."""

    def __init__(self, settings: ClaimsSettings, stored: StoredState) -> None:
        """Restore the stored state; the replica runs from the event ``Started`` on."""
        self._bounds = BoundsSet(
            settings.horizon_seconds * MILLISECONDS,
            settings.max_records,
            settings.max_answer_megabytes * BYTES_PER_MEGABYTE,
        )
        bounds = msgspec.structs.astuple(self._bounds)
        self.machine = ClaimsMachine(ClaimTable(*bounds))
        super().__init__(replica_settings(settings), stored, self.machine)
        self._identities: dict[LinkId, str] = {}
        self._waiting: dict[int, WaitingRequest] = {}
        self._clock_proposed_at = 0.0
        self.refused_busy = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a quorum."""
        return len(self._waiting)

    # --- hooks of the replica core -------------------------------------------

    def on_link_opened(self, link: LinkId, identity: str) -> None:
        """Store the identity that the peer of a new link has in its certificate."""
        self._identities[link] = identity

    def on_link_closed(self, link: LinkId) -> None:
        """Drop the identity of a closed link; entries it requested may still commit."""
        self._identities.pop(link, None)

    def may_be_replica(self, link: LinkId, name: str) -> bool:
        """Return whether the certificate on this link is that of replica ``name``."""
        return self._has_role(link, CLAIMS_ROLE, name)

    def on_client_message(self, link: LinkId, message: Message) -> None:
        """Handle a message of a node, or of an operator who replaces a replica."""
        if isinstance(message, (ClaimRequest, ClaimCompleted, ClaimReleased)):
            self._ask(link, message)
        elif isinstance(message, MembershipChange) and self._has_role(link, OPERATOR_ROLE):
            self._change_membership(link, message)
        elif isinstance(message, StatusQuery) and self.consensus.leader:
            self.send(link, self._status())
        elif isinstance(message, StatusQuery):
            self.send(link, NotLeader(""))
        else:
            self.send(link, Refused("unexpected", type(message).__name__))

    def on_applied(self) -> None:
        """Answer the requests whose entries were committed and applied."""
        for applied in self.machine.take_applied():
            self._answer(applied)

    def on_leadership_gained(self) -> None:
        """Start to advance the table's clock; replicate this leader's table bounds."""
        self._clock_proposed_at = self.now
        self.propose(encode_entry(self._bounds))

    def on_leadership_lost(self) -> None:
        """Refuse all waiting requests, so that the nodes ask the next leader.

        Their entries may or may not commit.
        """
        waiting = self._waiting
        self._waiting = {}
        for client_request in waiting.values():
            self._refuse(client_request.link, client_request.request, REASON_NOT_LEADER)

    def on_tick(self) -> None:
        """Advance the table's clock by the time passed, while this replica leads."""
        passed = self.now - self._clock_proposed_at
        if not self.leads or self.stopping or passed < CLOCK_SECONDS:
            return
        self._clock_proposed_at = self.now
        self.propose(encode_entry(ClockAdvanced(int(passed * MILLISECONDS))))

    def has_unanswered(self) -> bool:
        """Return whether a node waits for an answer."""
        return bool(self._waiting)

    def client_links(self) -> tuple[LinkId, ...]:
        """Return the links of nodes that wait for an answer.

        Such a node connects to another replica when this one sends it a goodbye.
        """
        return tuple(
            dict.fromkeys(client_request.link for client_request in self._waiting.values())
        )

    # --- requests and answers ------------------------------------------------

    def _ask(self, link: LinkId, client_request: ClientRequest) -> None:
        if not self.leads or self.stopping:
            self._refuse(link, client_request.request, REASON_NOT_LEADER)
            return
        if len(self._waiting) >= MAX_WAITING:
            self.refused_busy += 1
            self._refuse(link, client_request.request, REASON_BUSY)
            return
        entry = _entry_of(client_request)
        index = self.propose(encode_entry(entry))
        if index is None:
            self._refuse(link, client_request.request, REASON_NOT_LEADER)
            return
        self._waiting[index] = WaitingRequest(link, client_request.request, entry)

    def _refuse(self, link: LinkId, request: int, reason: str) -> None:
        self.send(link, ClaimRefused(request, reason, self.leader_address))

    def _answer(self, applied: AppliedEntry) -> None:
        client_request = self._waiting.pop(applied.index, None)
        if client_request is None:
            return
        assert client_request.entry == applied.entry, (
            "another entry committed at a proposed index"
        )
        self.send(
            client_request.link,
            self._answer_message(client_request.request, applied.answer),
        )

    def _answer_message(self, request: int, answer: TableAnswer) -> Message:
        match answer:
            case Granted():
                horizon = self.machine.table.bounds.horizon_milliseconds
                return ClaimGranted(request, horizon // MILLISECONDS)
            case Taken():
                return ClaimTaken(request, answer.answer)
            case TableFull():
                return ClaimRefused(request, REASON_FULL)
            case Noted():
                return ClaimNoted(request)

    def _change_membership(self, link: LinkId, change: MembershipChange) -> None:
        if self.leads and not self.stopping:
            self.changes.request(link, change)
        else:
            self.send(link, NotLeader(self.leader_address))

    def _status(self) -> StatusAnswered:
        """Return the group's members; version and relays don't apply to a claims group."""
        return StatusAnswered(
            cluster=self.settings.cluster,
            replica=self.name,
            leader=self.consensus.leader,
            version=0,
            in_force=0,
            replicas=replica_statuses(self),
            relays=(),
            rotations=(),
        )

    def _has_role(self, link: LinkId, role: str, name: str = "") -> bool:
        identity = self._identities.get(link, "")
        if not identity:
            return True  # a link without TLS has no identity
        parsed = parse_identity(identity).value_or(None)
        if parsed is None or parsed.cluster != self.settings.cluster:
            return False
        return parsed.role == role and name in ("", parsed.name)


def _entry_of(client_request: ClientRequest) -> TableEntry:
    match client_request:
        case ClaimRequest():
            return ClaimEntry(client_request.key, client_request.attempt)
        case ClaimCompleted():
            return CompletionEntry(
                client_request.key, client_request.attempt, client_request.answer
            )
        case ClaimReleased():
            return ReleaseEntry(client_request.key, client_request.attempt)
