"""Memberships as small values, worked out by the product's own functions.

A membership in the model's states is a pair of bit sets; quorums and changes of
it come from ``peppershore.process.consensus.membership``.
"""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

from peppershore.connection.messages.consensus import Membership, ReplicaMember
from peppershore.process.consensus.membership import (
    quorum_size,
    voters_of,
    with_member,
    without_member,
)


class Members(NamedTuple):
    """Voters and learners, each a set of replicas as bits."""

    voters: int
    learners: int = 0

    @property
    def everyone(self) -> int:
        """Voters and learners."""
        return self.voters | self.learners


@cache
def quorum(members: Members) -> int:
    """How many voters make a majority."""
    return quorum_size(_product_value(members))


def counts_of(members: Members, replicas: int) -> int:
    """How many of these replicas count in a quorum."""
    return (members.voters & replicas).bit_count()


@cache
def with_learner(members: Members, replica: int) -> Members:
    """The membership with a new member that does not vote yet."""
    changed = with_member(_product_value(members), _member(replica, voter=False))
    return _model_value(changed)


@cache
def with_voter(members: Members, replica: int) -> Members:
    """The membership with this member as a voter."""
    changed = with_member(_product_value(members), _member(replica, voter=True))
    return _model_value(changed)


@cache
def without(members: Members, replica: int) -> Members:
    """The membership without this member."""
    return _model_value(without_member(_product_value(members), str(replica)))


def _member(replica: int, voter: bool) -> ReplicaMember:
    name = str(replica)
    return ReplicaMember(name, f"{name}:1", replica, voter)


def _replicas(bits: int) -> list[int]:
    return [place for place in range(bits.bit_length()) if bits >> place & 1]


def _product_value(members: Members) -> Membership:
    voters = [_member(replica, voter=True) for replica in _replicas(members.voters)]
    learners = [_member(replica, voter=False) for replica in _replicas(members.learners)]
    return Membership(tuple(sorted((*voters, *learners))))


def _model_value(membership: Membership) -> Members:
    voters = set(voters_of(membership))
    everyone = {member.name for member in membership.members}
    return Members(_bits(voters), _bits(everyone - voters))


def _bits(names: set[str]) -> int:
    return sum(1 << int(name) for name in names)
