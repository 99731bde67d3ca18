"""Handshake (hello messages) between replicas, and the bootstrap of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peppershore.connection.messages.consensus import ReplicaHello
from peppershore.connection.messages.session import Refused
from peppershore.process.commands import CloseLink
from peppershore.process.consensus import notices
from peppershore.process.consensus.core import FIRST_INDEX
from peppershore.process.consensus.founding import Founding
from peppershore.process.consensus.membership import (
    find_member,
    first_membership,
    group_id_of,
)
from peppershore.process.consensus.peers import identity_in
from peppershore.process.events import LinkId
from peppershore.process.settings import PeerReplica

if TYPE_CHECKING:
    from peppershore.process.consensus.replica import ReplicaCore


class Greeting:
    """Sends hellos to other replicas, validates theirs, and founds the group."""

    def __init__(self, replica: ReplicaCore) -> None:
        """Send hellos for ``replica``."""
        self._replica = replica
        seeds = tuple(PeerReplica(name=seed, address=seed) for seed in replica.first_seeds)
        self._founding = Founding(replica.settings.replicas or seeds, replica.name)

    def greet(self, link: LinkId) -> None:
        """Send this replica's hello on a link."""
        replica = self._replica
        consensus = replica.consensus
        hello = ReplicaHello(
            replica.settings.cluster,
            replica.name,
            consensus.identity,
            consensus.group_id,
            not_leading=consensus.leadership is None,
            founding=consensus.founding,
        )
        replica.send(link, hello)

    def greet_again(self) -> None:
        """Send the hello again on all links to replicas, e.g. as the group id changed."""
        for link in self._replica.peers.all_links():
            self.greet(link)

    def handle_hello(self, link: LinkId, hello: ReplicaHello) -> None:
        """Handle a hello; close the link if its sender is no replica of this group."""
        replica = self._replica
        problem = self._problem(link, hello)
        if problem:
            replica.report(notices.PeerRefused(replica.name, hello.replica, problem))
            replica.send(link, Refused(problem))
            replica.command(CloseLink(link, problem))
            replica.peers.closed(link)
            return
        first = replica.peers.identity_on(link) is None
        replica.peers.greeted(link, hello)
        if first and not replica.peers.is_outgoing(link):
            self.greet(link)
        replica.joining.record_contact(hello.replica)
        peer = identity_in(hello)
        replica.joining.describe_group_to_non_member(link, peer)
        member = find_member(replica.consensus.membership, hello.replica)
        if member is not None and not peer.is_store_of(member, replica.consensus.group_id):
            replica.report(notices.OtherStoreSeen(replica.name, hello.replica))
        if hello.not_leading:
            replica.note_not_leading(hello)
        if first and replica.consensus.leadership is not None:
            replica.consensus.leadership.peer_link_changed(hello.replica)

    def take_seat(self) -> None:
        """Take this store's seat in the first membership of a group of hubs.

        Do nothing if the store was made after the cluster's very first start, or if this
        hub is none of the first seeds.
        """
        replica = self._replica
        consensus = replica.consensus
        membership = first_membership(replica.first_seeds)
        if find_member(membership, replica.name) is None:
            return
        consensus.founding = group_id_of(membership)
        if consensus.group_id == 0:
            consensus.found(membership, replica.now)
            replica.report(notices.GroupFounded(replica.name, consensus.group_id))

    def report_awaited_seeds(self) -> None:
        """Report which first seeds are missing while no leader founded the group."""
        replica = self._replica
        consensus = replica.consensus
        if consensus.founding == 0 or consensus.leader:
            return
        progress = self._founding.progress(replica.peers)
        is_unfounded = consensus.log.last_index == FIRST_INDEX
        if is_unfounded and progress.missing and self._founding.should_report(progress):
            replica.report(notices.FoundingAwaited(replica.name, progress.missing, ()))

    def found_if_possible(self) -> None:
        """Found the group once every first member is connected and blank."""
        replica = self._replica
        consensus = replica.consensus
        progress = self._founding.progress(replica.peers)
        if progress.ready:
            membership = self._founding.membership(consensus.identity, replica.peers)
            consensus.found(membership, replica.now)
            replica.report(notices.GroupFounded(replica.name, consensus.group_id))
            self.greet_again()
        elif self._founding.should_report(progress):
            replica.report(
                notices.FoundingAwaited(
                    replica.name, progress.missing, progress.already_in_group
                )
            )

    def _problem(self, link: LinkId, hello: ReplicaHello) -> str:
        replica = self._replica
        if hello.cluster != replica.settings.cluster:
            return "other-cluster"
        if hello.replica == replica.name:
            return "own-name"
        expected = replica.peers.expected_name(link)
        if expected is not None and expected != hello.replica:
            return "other-replica"
        groups = (replica.consensus.group_id, hello.group_id)
        if 0 not in groups and groups[0] != groups[1]:
            return "other-group"
        return "" if replica.may_be_replica(link, hello.replica) else "certificate"
