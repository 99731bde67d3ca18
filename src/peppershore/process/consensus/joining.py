"""Discovery of a group through seed addresses, and its automatic membership changes.

A seed address, or seed, is the address of a replica where a joining one looks for the
group.

The seed addresses in a replica's settings may be outdated, down or in use by other
replicas. A joining replica sends its hello to them. A member answers a non-member with
the list of members; the joining replica then sends its hello to those too and so
reaches the leader, which adds it. In a group that manages its own membership, the name
of a replica is the address of its links.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import GroupDescribed, Membership
from peppershore.process.consensus import notices
from peppershore.process.consensus.membership import find_member
from peppershore.process.consensus.membership_maintenance import (
    ConnectedReplica,
    GroupView,
    next_membership,
)
from peppershore.process.consensus.peers import PeerIdentity
from peppershore.process.events import Event, LinkId

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore

SEED_SEARCH_DELAY_SECONDS = 1.0
"""Time without a leader after which a member of a group contacts the seeds again."""

GREETING_INTERVAL_SECONDS = 0.5
"""Interval between hellos on all links while a replica has no leader."""

CAUGHT_UP_ENTRIES = 3
"""Largest lag, in entries behind the log's end, at which a learner may become a voter."""


class SeedsChanged(Event, frozen=True):
    """The reloaded settings name other seed addresses."""

    seeds: tuple[str, ...]


class Joining:
    """Finds the group and, on the leader, changes its membership automatically."""

    def __init__(self, replica: ReplicaCore) -> None:
        """Start with the seed addresses in the settings of ``replica``."""
        self._replica = replica
        self._seeds: tuple[str, ...] = replica.settings.seeds
        self._described_members: dict[str, str] = {}
        self._last_contact: dict[str, float] = {}
        self._leads_since = 0.0
        self._leaderless_since = 0.0
        self._last_greeting_at = 0.0

    @property
    def manages_membership(self) -> bool:
        """Whether this group manages its membership without an operator."""
        return self._replica.settings.wanted_voters > 0

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses by those of reloaded settings."""
        self._seeds = seeds

    def leadership_gained(self) -> None:
        """Record the time at which this replica became leader."""
        self._leads_since = self._replica.now

    def record_contact(self, name: str) -> None:
        """Record the time at which a message of this peer arrived."""
        self._last_contact[name] = self._replica.now

    def temporary_peers(self) -> dict[str, str]:
        """Return peers besides the members to keep links to, as addresses by name.

        These are the seeds and the members that another replica described. The result
        is empty while a leader is known, and for a replica that belongs to a group
        during the first ``SEED_SEARCH_DELAY_SECONDS`` without a leader. It is always
        empty for a group whose membership operators change.
        """
        replica = self._replica
        if not self.manages_membership:
            return {}
        if replica.consensus.leader:
            self._leaderless_since = replica.now
            return {}
        leaderless_seconds = replica.now - self._leaderless_since
        if (
            replica.consensus.group_id != 0
            and leaderless_seconds < SEED_SEARCH_DELAY_SECONDS
        ):
            return {}
        return {seed: seed for seed in self._seeds} | self._described_members

    def describe_group_to_non_member(self, link: LinkId, peer: PeerIdentity) -> None:
        """Send the list of members to a replica that is no member, or has a new store."""
        replica = self._replica
        if not self.manages_membership or replica.consensus.group_id == 0:
            return
        member = find_member(replica.consensus.membership, peer.name)
        if member is None or not peer.is_store_of(member, replica.consensus.group_id):
            membership = replica.consensus.membership
            replica.send(link, GroupDescribed(membership.members))

    def handle_group_described(self, message: GroupDescribed) -> None:
        """Store these members of a group; open links to them if no leader is known yet."""
        members = Membership(message.members).members
        self._described_members = {member.name: member.address for member in members}
        self._replica.update_peer_links()

    def tick(self) -> None:
        """As leader, propose the next membership change that is due.

        Without a leader, send hellos again, as a leader only adds replicas from which
        it received a message recently.
        """
        replica = self._replica
        consensus = replica.consensus
        if self.manages_membership and not consensus.leader:
            self._greet_again()
        if (
            not self.manages_membership
            or not consensus.ready_to_propose
            or replica.stopping
        ):
            return
        if consensus.memberships.current_index > consensus.commit_index:
            return
        changed = next_membership(self._group_view())
        if changed is None:
            return
        replica.report(notices.MembershipProposed(replica.name, changed.members))
        consensus.propose_membership(changed)
        consensus.flush(replica.now)

    def _greet_again(self) -> None:
        replica = self._replica
        if replica.now - self._last_greeting_at < GREETING_INTERVAL_SECONDS:
            return
        self._last_greeting_at = replica.now
        replica.greet_all()

    def _group_view(self) -> GroupView:
        replica = self._replica
        present = {
            known.name: ConnectedReplica(
                name=known.name,
                address=known.name,
                identity=known.identity,
                seconds_since_contact=replica.now - self._last_contact.get(known.name, 0.0),
                caught_up=self._is_caught_up(known.name),
                is_first=known.founding == replica.consensus.group_id,
            )
            for known in replica.peers.greeted_peers()
        }
        return GroupView(
            leader=replica.name,
            membership=replica.consensus.membership,
            present=present,
            wanted_voters=replica.settings.wanted_voters,
            leadership_seconds=replica.now - self._leads_since,
            leader_identity=replica.consensus.identity,
        )

    def _is_caught_up(self, name: str) -> bool:
        consensus = self._replica.consensus
        leadership = consensus.leadership
        if leadership is None:
            return False
        lag = consensus.log.last_index - leadership.match_index(name)
        return lag <= CAUGHT_UP_ENTRIES
