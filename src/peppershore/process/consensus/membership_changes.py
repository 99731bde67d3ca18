"""Membership changes that an operator requested, carried out one at a time.

A replica is added as a learner; once it has caught up, the leader makes it a voter. A
lost replica is removed and its replacement added. A replica that comes back under its
name with a blank disk is a new member: it must be removed and added again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from peppershore.connection.messages.consensus import ReplicaMember
from peppershore.connection.messages.operators import MembershipAnswered, MembershipChange
from peppershore.process.consensus.membership import (
    find_member,
    voters_of,
    with_member,
    without_member,
)
from peppershore.process.events import LinkId

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore

CHANGE_TIMEOUT_SECONDS = 60.0
CAUGHT_UP_ENTRIES = 100
"""Largest lag, in entries behind the log's end, at which a learner becomes a voter."""

ACTION_ADD = "add"
ACTION_REMOVE = "remove"
NOT_LEADER = "this replica no longer leads; ask `replica list` what came of it"


class _Request(msgspec.Struct, frozen=True):
    link: LinkId
    change: MembershipChange
    deadline: float


class MembershipChanges:
    """Carries out the requested membership changes on the leader, the oldest first."""

    def __init__(self, replica: ReplicaCore) -> None:
        """Start without requested changes of the membership of ``replica``'s group."""
        self._replica = replica
        self._requests: list[_Request] = []

    def pending_additions(self) -> dict[str, str]:
        """Return the addresses of the replicas to be added, by name."""
        return {
            request.change.replica: request.change.address
            for request in self._requests
            if request.change.action == ACTION_ADD
        }

    def request(self, link: LinkId, change: MembershipChange) -> None:
        """Accept an operator's membership change, or answer at once why it is rejected.

        The answer to an accepted change follows once the change is committed. A change
        past its deadline (``CHANGE_TIMEOUT_SECONDS``) is answered when it is the oldest.
        """
        problem = self._problem(change)
        if problem:
            self._replica.send(link, MembershipAnswered(problem))
            return
        deadline = self._replica.now + CHANGE_TIMEOUT_SECONDS
        self._requests.append(_Request(link, change, deadline))
        self._replica.update_peer_links()
        self.tick()

    def tick(self) -> None:
        """Advance the oldest request, and make a caught-up learner a voter.

        In a group that manages its own membership, learners are not promoted here.
        """
        consensus = self._replica.consensus
        if not consensus.ready_to_propose:
            return
        if self._requests:
            self._advance(self._requests[0])
        if not self._replica.joining.manages_membership:
            self._promote_caught_up()

    def membership_committed(self) -> None:
        """Answer the requests that the committed membership fulfils."""
        for request in [each for each in self._requests if self._done(each.change)]:
            self._answer(request, "")

    def leadership_lost(self) -> None:
        """Answer all requests with ``NOT_LEADER``; a new leader may complete them."""
        for request in self._requests:
            self._replica.send(request.link, MembershipAnswered(NOT_LEADER))
        self._requests.clear()

    def _problem(self, change: MembershipChange) -> str:
        member = find_member(self._replica.consensus.membership, change.replica)
        if change.action == ACTION_ADD:
            return "" if member is None else self._problem_of_repeated_add(change, member)
        if change.action != ACTION_REMOVE:
            return f"unknown action {change.action!r}: add or remove"
        if member is None:
            return f"{change.replica} is no member"
        if voters_of(self._replica.consensus.membership) == (change.replica,):
            return f"{change.replica} is the only voter"
        return ""

    def _problem_of_repeated_add(
        self, change: MembershipChange, member: ReplicaMember
    ) -> str:
        """Return why an existing member can't be added again; "" if it can.

        The operator may retry after a lost answer: the request then only waits until
        the member is a voter.
        """
        if member.address != change.address:
            return f"{change.replica} is a member already, at {member.address}"
        peers = self._replica.peers
        link = peers.link_to(change.replica)
        known = None if link is None else peers.identity_on(link)
        if known is not None and known.identity != member.identity:
            return f"{change.replica} is a member with another disk; remove it first"
        return ""

    def _advance(self, request: _Request) -> None:
        replica = self._replica
        if self._done(request.change):
            self._answer(request, "")
        elif replica.now >= request.deadline:
            reason = "not done in time; it goes on if the replica can be reached"
            self._answer(request, reason)
        else:
            self._propose(request.change)

    def _done(self, change: MembershipChange) -> bool:
        consensus = self._replica.consensus
        if consensus.memberships.current_index > consensus.commit_index:
            return False
        member = find_member(consensus.membership, change.replica)
        if change.action == ACTION_REMOVE:
            return member is None
        return member is not None and member.voter

    def _propose(self, change: MembershipChange) -> None:
        consensus = self._replica.consensus
        member = find_member(consensus.membership, change.replica)
        if change.action == ACTION_REMOVE:
            if member is not None:
                removed = without_member(consensus.membership, change.replica)
                consensus.propose_membership(removed)
                consensus.flush(self._replica.now)
            return
        if member is not None:
            return
        known = self._replica.peers.identity_of(change.replica)
        if known is None:
            return
        learner = ReplicaMember(change.replica, change.address, known.identity, False)
        consensus.propose_membership(with_member(consensus.membership, learner))
        consensus.flush(self._replica.now)

    def _promote_caught_up(self) -> None:
        consensus = self._replica.consensus
        leadership = consensus.leadership
        if leadership is None:
            return
        for member in consensus.membership.members:
            lag = consensus.log.last_index - leadership.match_index(member.name)
            if not member.voter and lag <= CAUGHT_UP_ENTRIES:
                voter = msgspec.structs.replace(member, voter=True)
                consensus.propose_membership(with_member(consensus.membership, voter))
                consensus.flush(self._replica.now)
                return

    def _answer(self, request: _Request, problem: str) -> None:
        self._requests.remove(request)
        self._replica.send(request.link, MembershipAnswered(problem))
