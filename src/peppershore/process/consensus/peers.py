"""Links to the other replicas of the group, and the identities they announced."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.consensus import ReplicaHello, ReplicaMember
from peppershore.process.commands import CloseLink, Command, OpenLink, SendMessage
from peppershore.process.consensus.membership import is_store_of
from peppershore.process.events import LinkId
from peppershore.process.link_numbers import LinkNumbers

RECONNECT_SECONDS = 0.25


class _Outgoing:
    """The link this replica opens to one peer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.link: LinkId | None = None
        self.greeted = False
        self.next_attempt = 0.0


class PeerIdentity(msgspec.Struct, frozen=True):
    """The replica at the other end of a link, according to its hello."""

    name: str
    identity: int
    group_id: int
    founding: int = 0

    def is_store_of(self, member: ReplicaMember, group_id: int) -> bool:
        """Return whether its store is that of this member of the group."""
        is_first = group_id != 0 and self.founding == group_id
        return is_store_of(member, self.identity, is_first)


def identity_in(hello: ReplicaHello) -> PeerIdentity:
    """Return the identity that a hello announces."""
    return PeerIdentity(hello.replica, hello.identity, hello.group_id, hello.founding)


class PeerLinks:
    """Links to other replicas: one opened to each target peer, and those they opened.

    Links to the target peers are opened again when they close.
    """

    def __init__(self, numbers: LinkNumbers) -> None:
        """Start without target peers; ``numbers`` supplies the ids of new links."""
        self._numbers = numbers
        self._outgoing: dict[str, _Outgoing] = {}
        self._names: dict[LinkId, str] = {}
        self._greeted: dict[LinkId, PeerIdentity] = {}
        self._accepted: dict[str, LinkId] = {}

    def set_targets(self, addresses: dict[str, str]) -> list[Command]:
        """Set the peers to keep links to, as addresses by name; close other links."""
        commands: list[Command] = []
        for name in [name for name in self._outgoing if name not in addresses]:
            commands += self._drop(name, "no longer a member")
        for name, address in addresses.items():
            known = self._outgoing.get(name)
            if known is not None and known.address != address:
                commands += self._drop(name, "address changed")
            if name not in self._outgoing:
                self._outgoing[name] = _Outgoing(address)
        return commands

    def connect(self, now: float) -> list[Command]:
        """Open the missing links whose reconnect interval has passed."""
        commands: list[Command] = []
        for name, outgoing in self._outgoing.items():
            if outgoing.link is None and now >= outgoing.next_attempt:
                outgoing.link = self._numbers.take()
                outgoing.next_attempt = now + RECONNECT_SECONDS
                self._names[outgoing.link] = name
                commands.append(OpenLink(outgoing.link, outgoing.address))
        return commands

    def is_outgoing(self, link: LinkId) -> bool:
        """Return whether this replica opened the link."""
        return link in self._names

    def closed(self, link: LinkId) -> str | None:
        """Remove a closed link; return the name of the replica at its other end.

        Return None for a client, and for an accepted link without a hello so far.
        """
        known = self._greeted.pop(link, None)
        name = self._names.pop(link, None)
        if name is not None:
            outgoing = self._outgoing.get(name)
            if outgoing is not None and outgoing.link == link:
                outgoing.link = None
                outgoing.greeted = False
            return name
        if known is None:
            return None
        if self._accepted.get(known.name) == link:
            del self._accepted[known.name]
        return known.name

    def greeted(self, link: LinkId, hello: ReplicaHello) -> None:
        """Record the identity that the peer on this link announced."""
        self._greeted[link] = identity_in(hello)
        name = self._names.get(link)
        if name is None:
            self._accepted[hello.replica] = link
        else:
            self._outgoing[name].greeted = True

    def expected_name(self, link: LinkId) -> str | None:
        """Return the name of the peer that a link was opened to.

        Return None for a link that the remote end opened.
        """
        return self._names.get(link)

    def identity_on(self, link: LinkId) -> PeerIdentity | None:
        """Return who sent a hello on this link; None if nobody did, as for a client."""
        return self._greeted.get(link)

    def identity_of(self, name: str) -> PeerIdentity | None:
        """Return who sent a hello on the link opened to that peer; None if nobody did."""
        outgoing = self._outgoing.get(name)
        if outgoing is None or outgoing.link is None or not outgoing.greeted:
            return None
        return self._greeted.get(outgoing.link)

    def greeted_peers(self) -> tuple[PeerIdentity, ...]:
        """Return who sent a hello on any open link; per name, the newest link counts."""
        newest = {known.name: known for _, known in sorted(self._greeted.items())}
        return tuple(newest.values())

    def send(self, name: str, message: Message) -> list[Command]:
        """Return the command to send on a link to the peer; empty without such a link."""
        link = self.link_to(name)
        return [] if link is None else [SendMessage(link, message)]

    def link_to(self, name: str) -> LinkId | None:
        """Return the link on which that peer sent its hello; None without one."""
        outgoing = self._outgoing.get(name)
        if outgoing is not None and outgoing.greeted:
            return outgoing.link
        return self._accepted.get(name)

    def all_links(self) -> tuple[LinkId, ...]:
        """Return every link on which a peer sent its hello."""
        return tuple(self._greeted)

    def _drop(self, name: str, reason: str) -> list[Command]:
        outgoing = self._outgoing.pop(name)
        if outgoing.link is None:
            return []
        self._names.pop(outgoing.link, None)
        self._greeted.pop(outgoing.link, None)
        return [CloseLink(outgoing.link, reason)]
