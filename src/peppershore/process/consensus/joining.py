"""How a replica finds its group from a few seeds, and how the leader keeps the group.

A process knows addresses that may lag, be down or lead to others.  It greets them;
whoever belongs to a group tells a stranger of its members; the stranger greets
those too, and so reaches the leader, which takes it in.  In a group that keeps
itself, a replica's name is the address of its links.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import GroupDescribed, Membership
from peppershore.process.consensus import notices
from peppershore.process.consensus.membership import find_member
from peppershore.process.consensus.upkeep import (
    GroupView,
    PresentReplica,
    next_membership,
)
from peppershore.process.events import Event, LinkId

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore

LEADERLESS_SECONDS = 1.0
"""Without a leader for so long, a replica looks for its group at the seeds again."""

GREET_AGAIN_SECONDS = 0.5
"""How often a replica without a leader greets whom it reaches."""

CAUGHT_UP_ENTRIES = 3
"""A learner at most so far behind the log's end may become a voter."""


class SeedsChanged(Event, frozen=True):
    """The settings name other seeds now."""

    seeds: tuple[str, ...]


class Joining:
    """The part of one replica in a group that keeps its own membership."""

    def __init__(self, replica: ReplicaCore) -> None:
        """Begin with the seeds of the settings."""
        self._replica = replica
        self._seeds: tuple[str, ...] = replica.settings.seeds
        self._told: dict[str, str] = {}
        self._heard: dict[str, float] = {}
        self._leads_since = 0.0
        self._leaderless_since = 0.0
        self._greeted_at = 0.0

    @property
    def keeps_itself(self) -> bool:
        """Whether this group changes its membership without a person."""
        return self._replica.settings.wanted_voters > 0

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings name other seeds now."""
        self._seeds = seeds

    def leadership_gained(self) -> None:
        """This replica leads from now on."""
        self._leads_since = self._replica.now

    def heard(self, name: str) -> None:
        """A peer sent a message."""
        self._heard[name] = self._replica.now

    def wanted(self) -> dict[str, str]:
        """Give the strangers to keep links to, while this replica has no leader."""
        replica = self._replica
        if not self.keeps_itself:
            return {}
        if replica.consensus.leader:
            self._leaderless_since = replica.now
            return {}
        without = replica.now - self._leaderless_since
        if replica.consensus.group_id != 0 and without < LEADERLESS_SECONDS:
            return {}
        return {seed: seed for seed in self._seeds} | self._told

    def greeted(self, link: LinkId, name: str, identity: int) -> None:
        """Tell a replica that is no member who is."""
        replica = self._replica
        if not self.keeps_itself or replica.consensus.group_id == 0:
            return
        member = find_member(replica.consensus.membership, name)
        if member is None or member.identity != identity:
            membership = replica.consensus.membership
            replica.send(link, GroupDescribed(membership.members))

    def take_description(self, message: GroupDescribed) -> None:
        """Look for the leader among these members too."""
        members = Membership(message.members).members
        self._told = {member.name: member.address for member in members}
        self._replica.want_peers()

    def tick(self) -> None:
        """As leader, bring the membership one step nearer to what it should be.

        Without a leader, say hello again: a leader takes in whom it heard lately.
        """
        replica = self._replica
        consensus = replica.consensus
        if self.keeps_itself and not consensus.leader:
            self._greet_again()
        if not self.keeps_itself or not consensus.ready_to_propose or replica.stopping:
            return
        if consensus.memberships.current_index > consensus.commit_index:
            return
        changed = next_membership(self._view())
        if changed is None:
            return
        replica.report(notices.MembershipProposed(replica.name, changed.members))
        consensus.propose_membership(changed)
        consensus.flush(replica.now)

    def _greet_again(self) -> None:
        replica = self._replica
        if replica.now - self._greeted_at < GREET_AGAIN_SECONDS:
            return
        self._greeted_at = replica.now
        replica.greet_all()

    def _view(self) -> GroupView:
        replica = self._replica
        present = {
            known.name: PresentReplica(
                name=known.name,
                address=known.name,
                identity=known.identity,
                heard_seconds=replica.now - self._heard.get(known.name, 0.0),
                caught_up=self._is_caught_up(known.name),
            )
            for known in replica.peers.greeted_peers()
        }
        return GroupView(
            leader=replica.name,
            membership=replica.consensus.membership,
            present=present,
            wanted_voters=replica.settings.wanted_voters,
            led_seconds=replica.now - self._leads_since,
        )

    def _is_caught_up(self, name: str) -> bool:
        consensus = self._replica.consensus
        leadership = consensus.leadership
        if leadership is None:
            return False
        lag = consensus.log.last_index - leadership.match_index(name)
        return lag <= CAUGHT_UP_ENTRIES
