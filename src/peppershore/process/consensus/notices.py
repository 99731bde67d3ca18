"""What a replica reports to logs and metrics."""

from __future__ import annotations

from typing import ClassVar

from peppershore.connection.messages.consensus import ReplicaMember
from peppershore.process.commands import Notice


class LeadershipStarted(Notice, frozen=True):
    """This replica leads the group."""

    replica: str
    term: int


class LeadershipEnded(Notice, frozen=True):
    """This replica no longer leads the group."""

    replica: str
    reason: str


class LeaderObserved(Notice, frozen=True):
    """This replica follows another leader ("" for none)."""

    replica: str
    leader: str
    term: int


class GroupFounded(Notice, frozen=True):
    """All replicas of the first membership were blank and reachable."""

    replica: str
    group_id: int


class GroupJoined(Notice, frozen=True):
    """This replica's blank store received its first entries of a group."""

    replica: str
    group_id: int


class FoundingAwaited(Notice, frozen=True):
    """A blank store waits: for peers not reached, or to be added by an operator."""

    level: ClassVar[str] = "warning"
    replica: str
    missing: tuple[str, ...]
    already_in_group: tuple[str, ...]


class OtherStoreSeen(Notice, frozen=True):
    """A replica came under a member's name with another store; it isn't counted."""

    level: ClassVar[str] = "warning"
    replica: str
    peer: str


class PeerRefused(Notice, frozen=True):
    """A link was refused: wrong cluster, group, name or certificate."""

    level: ClassVar[str] = "warning"
    replica: str
    peer: str
    reason: str


class StorageRefused(Notice, frozen=True):
    """The disk refused a write; this replica leads and votes no more until it takes one."""

    level: ClassVar[str] = "error"
    replica: str
    reason: str


class StorageRecovered(Notice, frozen=True):
    """The disk takes writes again."""

    replica: str


class MembershipProposed(Notice, frozen=True):
    """The leader of a group that keeps itself proposes these members."""

    replica: str
    members: tuple[ReplicaMember, ...]


class MembershipChanged(Notice, frozen=True):
    """A membership was committed."""

    replica: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
