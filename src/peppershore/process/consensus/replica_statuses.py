"""Status of the replicas of a group, as one of them knows it, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import ReplicaMember
from peppershore.connection.messages.operators import ReplicaStatus

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore

ROLE_LEADER = "leader"
ROLE_FOLLOWER = "follower"
ROLE_LEARNER = "learner"
ROLE_UNREACHABLE = "unreachable"
ROLE_DISK_REFUSED = "disk-refused"


def replica_statuses(replica: ReplicaCore) -> tuple[ReplicaStatus, ...]:
    """Return each member's role and the highest index known to be durable there.

    A replica that does not lead returns its own applied index, and 0 for the others.
    """
    consensus = replica.consensus
    return tuple(
        ReplicaStatus(
            member.name,
            member.address,
            _role_of(replica, member),
            consensus.term,
            _match_index(replica, member.name),
            member.voter,
        )
        for member in consensus.membership.members
    )


def _match_index(replica: ReplicaCore, name: str) -> int:
    leadership = replica.consensus.leadership
    if leadership is not None:
        return leadership.match_index(name)
    return replica.applied_index if name == replica.name else 0


def _role_of(replica: ReplicaCore, member: ReplicaMember) -> str:
    if member.name == replica.consensus.leader:
        return ROLE_LEADER
    if member.name == replica.name:
        if replica.consensus.disk_refused:
            return ROLE_DISK_REFUSED
    elif replica.peers.link_to(member.name) is None:
        return ROLE_UNREACHABLE
    return ROLE_FOLLOWER if member.voter else ROLE_LEARNER
