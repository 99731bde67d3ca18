"""The core of one replica of a claims group.

Takes what nodes ask, replicates it, answers from the committed table.  An
answer leaves only after a quorum has the entry on disk.
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

ClaimsAsk = ClaimRequest | ClaimCompleted | ClaimReleased


class WaitingAsk(msgspec.Struct, frozen=True):
    """Who asked for the entry proposed at some index."""

    link: LinkId
    request: int
    entry: TableEntry


class ClaimsCore(ReplicaCore):
    """Claims replica: a replicated table on one side, nodes on the other."""

    def __init__(self, settings: ClaimsSettings, stored: StoredState) -> None:
        """Take up a stored state; nothing happens before ``Started``."""
        self._bounds = BoundsSet(
            settings.horizon_seconds * MILLISECONDS,
            settings.max_records,
            settings.max_answer_megabytes * BYTES_PER_MEGABYTE,
        )
        bounds = msgspec.structs.astuple(self._bounds)
        self.machine = ClaimsMachine(ClaimTable(*bounds))
        super().__init__(replica_settings(settings), stored, self.machine)
        self._identities: dict[LinkId, str] = {}
        self._waiting: dict[int, WaitingAsk] = {}
        self._clock_proposed_at = 0.0
        self.refused_busy = 0

    @property
    def waiting(self) -> int:
        """Asks that wait for a quorum."""
        return len(self._waiting)

    # --- hooks of the replica core -------------------------------------------

    def on_link_opened(self, link: LinkId, identity: str) -> None:
        """Remember who the certificate says is there."""
        self._identities[link] = identity

    def on_link_closed(self, link: LinkId) -> None:
        """Forget a link; what it asked for still commits."""
        self._identities.pop(link, None)

    def may_be_replica(self, link: LinkId, name: str) -> bool:
        """Whether the certificate on this link is that replica's."""
        return self._is(link, CLAIMS_ROLE, name)

    def on_client_message(self, link: LinkId, message: Message) -> None:
        """Serve a node, or an operator who replaces a replica."""
        if isinstance(message, (ClaimRequest, ClaimCompleted, ClaimReleased)):
            self._ask(link, message)
        elif isinstance(message, MembershipChange) and self._is(link, OPERATOR_ROLE):
            self._change_membership(link, message)
        elif isinstance(message, StatusQuery) and self.consensus.leader:
            self.send(link, self._status())
        elif isinstance(message, StatusQuery):
            self.send(link, NotLeader(""))
        else:
            self.send(link, Refused("unexpected", type(message).__name__))

    def on_applied(self) -> None:
        """Answer what was committed."""
        for applied in self.machine.take_applied():
            self._answer(applied)

    def on_leadership_gained(self) -> None:
        """Count the table's time from now on; all replicas keep this one's bounds."""
        self._clock_proposed_at = self.now
        self.propose(encode_entry(self._bounds))

    def on_leadership_lost(self) -> None:
        """What waits may commit or not: the nodes ask the next leader again."""
        waiting = self._waiting
        self._waiting = {}
        for ask in waiting.values():
            self._refuse(ask.link, ask.request, REASON_NOT_LEADER)

    def on_tick(self) -> None:
        """Let the table's clock advance while this replica leads."""
        passed = self.now - self._clock_proposed_at
        if not self.leads or self.stopping or passed < CLOCK_SECONDS:
            return
        self._clock_proposed_at = self.now
        self.propose(encode_entry(ClockAdvanced(int(passed * MILLISECONDS))))

    def has_unanswered(self) -> bool:
        """Whether a node waits for an answer."""
        return bool(self._waiting)

    def client_links(self) -> tuple[LinkId, ...]:
        """Links of nodes; they ask another replica after a goodbye."""
        return tuple(dict.fromkeys(ask.link for ask in self._waiting.values()))

    # --- asks and answers ----------------------------------------------------

    def _ask(self, link: LinkId, ask: ClaimsAsk) -> None:
        if not self.leads or self.stopping:
            self._refuse(link, ask.request, REASON_NOT_LEADER)
            return
        if len(self._waiting) >= MAX_WAITING:
            self.refused_busy += 1
            self._refuse(link, ask.request, REASON_BUSY)
            return
        entry = _entry_of(ask)
        index = self.propose(encode_entry(entry))
        if index is None:
            self._refuse(link, ask.request, REASON_NOT_LEADER)
            return
        self._waiting[index] = WaitingAsk(link, ask.request, entry)

    def _refuse(self, link: LinkId, request: int, reason: str) -> None:
        self.send(link, ClaimRefused(request, reason, self.leader_address))

    def _answer(self, applied: AppliedEntry) -> None:
        ask = self._waiting.pop(applied.index, None)
        if ask is None:
            return
        assert ask.entry == applied.entry, "another entry committed at a proposed index"
        self.send(ask.link, self._message_of(ask.request, applied.answer))

    def _message_of(self, request: int, answer: TableAnswer) -> Message:
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
        """The members; a claims group holds no version and serves no relays."""
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

    def _is(self, link: LinkId, role: str, name: str = "") -> bool:
        identity = self._identities.get(link, "")
        if not identity:
            return True  # links without TLS carry no identity
        parsed = parse_identity(identity).value_or(None)
        if parsed is None or parsed.cluster != self.settings.cluster:
            return False
        return parsed.role == role and name in ("", parsed.name)


def _entry_of(ask: ClaimsAsk) -> TableEntry:
    match ask:
        case ClaimRequest():
            return ClaimEntry(ask.key, ask.attempt)
        case ClaimCompleted():
            return CompletionEntry(ask.key, ask.attempt, ask.answer)
        case ClaimReleased():
            return ReleaseEntry(ask.key, ask.attempt)
