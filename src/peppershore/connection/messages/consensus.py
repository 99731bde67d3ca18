"""Messages between the replicas of a consensus group."""

from __future__ import annotations

import enum

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.relay import ProgressReported
from peppershore.version.hidden import describe


class EntryKind(enum.IntEnum):
    """What a log entry means to the consensus core itself."""

    EMPTY = 0
    COMMAND = 1
    MEMBERSHIP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; only a COMMAND payload is for the state machine."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes

    def __repr__(self) -> str:
        """Show of bytes only how many there are."""
        return describe(self)


class ReplicaMember(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member of a consensus group.

    ``identity`` is the random number its store was made with: a blank disk under
    the same name has another one and is another member.  A learner (``voter``
    false) receives the log and is counted in no quorum.
    """

    name: str
    address: str
    identity: int
    voter: bool = True


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """All members of a consensus group, sorted by name."""

    members: tuple[ReplicaMember, ...]


class ReplicaHello(Message, frozen=True, tag=70):
    """First message between two replicas, and its answer.

    ``group_id`` 0 means that the store of the sender is blank.  ``not_leading``: the
    sender did not lead its group at that moment.
    """

    cluster: str
    replica: str
    identity: int
    group_id: int
    not_leading: bool = False


class VoteRequest(Message, frozen=True, tag=71):
    """Ask for a vote in ``term``; a pre-vote changes nothing at the receiver.

    ``transfer``: the leader asked for this election, so its lease is given up.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(Message, frozen=True, tag=72):
    """Answer to a ``VoteRequest``; a granted pre-vote repeats the asked term."""

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(Message, frozen=True, tag=73):
    """Entries that follow ``previous_index``; without entries a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...]


class AppendReply(Message, frozen=True, tag=74):
    """``last_index`` is durable and equal to the leader's log if ``accepted``,
    else the highest index at which the receiver may agree."""

    term: int
    accepted: bool
    last_index: int
    round: int


class SnapshotChunk(Message, frozen=True, tag=75):
    """A piece of the state at ``index``, for a replica that lacks compacted entries."""

    term: int
    index: int
    index_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    round: int


class SnapshotReply(Message, frozen=True, tag=76):
    """The receiver holds the first ``received_bytes`` of the snapshot at ``index``."""

    term: int
    index: int
    received_bytes: int
    round: int


class ElectNow(Message, frozen=True, tag=77):
    """The leader of ``term`` hands over: campaign at once."""

    term: int


class ReadIndexRequest(Message, frozen=True, tag=78):
    """A follower asks the leader which index a read must have applied."""

    request: int


class ReadIndexReply(Message, frozen=True, tag=79):
    """A quorum confirmed ``index`` after the request came, or nobody did."""

    request: int
    index: int
    confirmed: bool


class ProgressShared(Message, frozen=True, tag=80):
    """A replica passes a relay's report on to the leader."""

    report: ProgressReported
    age_milliseconds: int


class GroupDescribed(Message, frozen=True, tag=81):
    """Answer to the hello of a replica that is no member: who the members are."""

    members: tuple[ReplicaMember, ...]


class ProgressTableShared(Message, frozen=True, tag=82):
    """The leader tells what it knows of all relays; of each, only a few nodes by name."""

    shared: tuple[ProgressShared, ...]


class ProgressWanted(Message, frozen=True, tag=83):
    """A replica at which operators watch asks the leader to be told of changes soon."""
