"""Events that a replica reports to its log and metrics."""

from __future__ import annotations

from typing import ClassVar

from peppershore.connection.messages.consensus import ReplicaMember
from peppershore.process.commands import Notice


class LeadershipStarted(Notice, frozen=True):
    """This replica became the leader of the group."""

    replica: str
    term: int


class LeadershipEnded(Notice, frozen=True):
    """This replica stopped leading the group."""

    replica: str
    reason: str


class LeaderObserved(Notice, frozen=True):
    """The leader that this replica knows has changed; "" means none is known."""

    replica: str
    leader: str
    term: int


class GroupFounded(Notice, frozen=True):
    """This replica founded the group; all first members were blank and reachable.

    In a group of hubs each seed of the first start reports it; the first election follows.
    """

    replica: str
    group_id: int


class GroupJoined(Notice, frozen=True):
    """This blank replica received its first message of a leader and joined its group."""

    replica: str
    group_id: int


class FoundingAwaited(Notice, frozen=True):
    """A blank replica waits to found a group or to be added to one.

    ``missing`` first members are not connected; those in ``already_in_group`` show that
    the group exists already. An operator adds the blank replica to the existing group; in
    a group that manages its own membership, the leader does. A hub of the first start waits
    for a majority of the first seeds.
    """

    level: ClassVar[str] = "warning"
    replica: str
    missing: tuple[str, ...]
    already_in_group: tuple[str, ...]


class OtherStoreSeen(Notice, frozen=True):
    """A replica with a member's name has another store; its replies do not count."""

    level: ClassVar[str] = "warning"
    replica: str
    peer: str


class PeerRefused(Notice, frozen=True):
    """A link was rejected: wrong cluster, group, name or certificate."""

    level: ClassVar[str] = "warning"
    replica: str
    peer: str
    reason: str


class StorageRefused(Notice, frozen=True):
    """A write to disk failed; this replica neither leads nor votes until one succeeds."""

    level: ClassVar[str] = "error"
    replica: str
    reason: str


class StorageRecovered(Notice, frozen=True):
    """A write to disk succeeded after failed ones."""

    replica: str


class MembershipProposed(Notice, frozen=True):
    """The leader of a group that manages its membership proposes these members."""

    replica: str
    members: tuple[ReplicaMember, ...]


class MembershipChanged(Notice, frozen=True):
    """A new membership of the group was committed."""

    replica: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
