"""How a group begins: only when every replica of the first membership is blank.

A replica that lost its disk finds peers that belong to a group already (or
doesn't find them all) and so never begins a second group under the same name.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.consensus import Membership, ReplicaMember
from peppershore.process.consensus.peers import PeerLinks
from peppershore.process.settings import PeerReplica

BLANK_GROUP = 0


class FoundingProgress(msgspec.Struct, frozen=True):
    """Who is still needed, and who shows that the group exists already."""

    ready: bool
    missing: tuple[str, ...]
    already_in_group: tuple[str, ...]


class Founding:
    """Watches over the beginning of a group, on one blank replica.

    The replica whose name sorts first begins the group; the others wait for it.
    """

    def __init__(self, replicas: tuple[PeerReplica, ...], own_name: str) -> None:
        """Take the first membership from the settings."""
        self._replicas = tuple(sorted(replicas, key=lambda replica: replica.name))
        self._own_name = own_name
        self._reported: FoundingProgress | None = None

    def progress(self, peers: PeerLinks) -> FoundingProgress:
        """Whether all others are reached and blank."""
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
        """The founding membership, with the identities the peers gave."""
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
        """Whether this progress differs from the one reported last."""
        if progress == self._reported:
            return False
        self._reported = progress
        return True
