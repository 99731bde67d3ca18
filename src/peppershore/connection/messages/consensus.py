"""Messages between the replicas of a consensus group."""

from __future__ import annotations

import enum

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.relay import ProgressReported
from peppershore.version.hidden import describe


class EntryKind(enum.IntEnum):
    """Type of a log entry: empty, a command for the state machine, or a membership."""

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
        """Show only the lengths of byte strings, not their content."""
        return describe(self)


FIRST_STORE = 0
"""Identity of a member whose store was made at the very first start and is not known yet.

No store has this identity.
"""


class ReplicaMember(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member of a consensus group.

    ``identity`` is a random number that was generated with the member's store: a replica
    with the same name but a blank disk has a different one and is a different member.
    ``FIRST_STORE`` stands for the store that the member's hub made at the cluster's very
    first start, until the leader has heard its identity.
    A learner (``voter`` false) receives the log but is not counted in any quorum.
    """

    name: str
    address: str
    identity: int
    voter: bool = True


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """All members of a consensus group, sorted by name."""

    members: tuple[ReplicaMember, ...]


class ReplicaHello(Message, frozen=True, tag=70):
    """First message between two replicas, and the reply to it.

    ``group_id`` 0 means that the store of the sender is blank. ``not_leading``: the
    sender was not the leader of its group when it sent this. ``founding`` is the id of the
    group that the sender's store was made to found, at the cluster's very first start; 0
    for a store that was made later, and in a group whose membership operators change.
    """

    cluster: str
    replica: str
    identity: int
    group_id: int
    not_leading: bool = False
    founding: int = 0


class VoteRequest(Message, frozen=True, tag=71):
    """Request for a vote in ``term``; a pre-vote changes no state at the receiver.

    ``transfer``: the leader requested this election and so no longer holds its lease.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(Message, frozen=True, tag=72):
    """Reply to a ``VoteRequest``; a granted pre-vote repeats the requested term."""

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(Message, frozen=True, tag=73):
    """Log entries that follow ``previous_index``; a heartbeat if there are none."""

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    entries: tuple[LogEntry, ...]


class AppendReply(Message, frozen=True, tag=74):
    """Reply to an ``AppendRequest``.

    If ``accepted``, the receiver's log up to ``last_index`` is durable and equal to the
    leader's; otherwise ``last_index`` is the highest index at which they may agree.
    ``request_term`` is the term of the request, which ``round`` belongs to; 0 from a
    replica of a version that does not tell it.
    """

    term: int
    accepted: bool
    last_index: int
    round: int
    request_term: int = 0


class SnapshotChunk(Message, frozen=True, tag=75):
    """A chunk of the snapshot at ``index``, for a replica that lacks compacted entries."""

    term: int
    index: int
    index_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    round: int


class SnapshotReply(Message, frozen=True, tag=76):
    """The receiver holds the first ``received_bytes`` of the snapshot at ``index``.

    ``request_term``: as in ``AppendReply``.
    """

    term: int
    index: int
    received_bytes: int
    round: int
    request_term: int = 0


class ElectNow(Message, frozen=True, tag=77):
    """Leadership transfer by the leader of ``term``: the receiver campaigns at once."""

    term: int


class ReadIndexRequest(Message, frozen=True, tag=78):
    """Request of a follower to the leader for the index that a read must have applied."""

    request: int


class ReadIndexReply(Message, frozen=True, tag=79):
    """Reply to a ``ReadIndexRequest``.

    ``confirmed``: a quorum confirmed ``index`` after the request was received.
    """

    request: int
    index: int
    confirmed: bool


class ProgressShared(Message, frozen=True, tag=80):
    """A relay's progress report, forwarded by a replica to the leader."""

    report: ProgressReported
    age_milliseconds: int


class GroupDescribed(Message, frozen=True, tag=81):
    """Reply to the hello of a replica that is not a member: the current members."""

    members: tuple[ReplicaMember, ...]


class ProgressTableShared(Message, frozen=True, tag=82):
    """The leader's progress reports of all relays, each naming only a few nodes."""

    shared: tuple[ProgressShared, ...]


class ProgressWanted(Message, frozen=True, tag=83):
    """Request to the leader for prompt reports of progress.

    It is sent by a replica at which operators watch the progress of a version.
    """
