"""Bootstrap of a group, only while every replica of the first membership is blank.

For groups whose membership operators change; the first election founds a group of hubs.
A replica that lost its disk finds peers that already belong to a group, or does not
reach all of them, and so never founds a second group under the same name.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.consensus import Membership, ReplicaMember
from peppershore.process.consensus.peers import PeerLinks
from peppershore.process.settings import PeerReplica

BLANK_GROUP = 0


class FoundingProgress(msgspec.Struct, frozen=True):
    """Whether the group can be founded, and which replicas prevent it.

    ``missing`` replicas are not connected; those in ``already_in_group`` show that the
    group exists already.
    """

    ready: bool
    missing: tuple[str, ...]
    already_in_group: tuple[str, ...]


class Founding:
    """Decides on one blank replica whether it may found the group.

    Only the replica whose name sorts first founds the group; the others wait.
    """

    def __init__(self, replicas: tuple[PeerReplica, ...], own_name: str) -> None:
        """Set the replicas of the first membership, as the settings name them."""
        self._replicas = tuple(sorted(replicas, key=lambda replica: replica.name))
        self._own_name = own_name
        self._reported: FoundingProgress | None = None

    def progress(self, peers: PeerLinks) -> FoundingProgress:
        """Return which replicas are missing or in a group, and whether to found now."""
        missing: list[str] = []
        in_group: list[str] = []
        for replica in self._replicas:
            if replica.name == self._own_name:
                continue
            identity = peers.identity_of(replica.name)
            if identity is None:
                missing.append(replica.name)
            elif identity.group_id != BLANK_GROUP:
                in_group.append(replica.name)
        founder = bool(self._replicas) and self._replicas[0].name == self._own_name
        ready = founder and not missing and not in_group
        return FoundingProgress(ready, tuple(missing), tuple(in_group))

    def membership(self, own_identity: int, peers: PeerLinks) -> Membership:
        """Return the first membership, with the store identities of all replicas.

        All peers must have sent their hello.
        """
        members: list[ReplicaMember] = []
        for replica in self._replicas:
            identity = own_identity
            if replica.name != self._own_name:
                known = peers.identity_of(replica.name)
                assert known is not None
                identity = known.identity
            members.append(ReplicaMember(replica.name, replica.address, identity))
        return Membership(tuple(members))

    def should_report(self, progress: FoundingProgress) -> bool:
        """Return whether the progress differs from the last reported one; store it."""
        if progress == self._reported:
            return False
        self._reported = progress
        return True
