"""How relays keep one another's endpoint tables alike.

Every relay vouches for the endpoints of its own sessions, and only for those,
to all other relays.  A change is sent at once; a digest, sent with every
heartbeat, renews the lease of all the sender's endpoints and finds what was missed:
one number for all, then, where that differs, one for each bucket.  Endpoints nobody
vouches for are hidden after a lease, unless it is this relay that is cut off.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from peppershore.connection.messages.base import Message
from peppershore.connection.messages.endpoints import (
    NEVER_CONFIRMED_MILLISECONDS,
    Endpoint,
    EndpointBucketsWanted,
    EndpointDigest,
    EndpointDigestWanted,
    EndpointsChanged,
    LeaseRenewed,
    RelayHello,
)
from peppershore.connection.messages.node import RelayListed
from peppershore.process.commands import (
    CloseLink,
    Command,
    OpenLink,
    Report,
    SendMessage,
    SetTimer,
)
from peppershore.process.endpoints.notices import (
    EndpointsExpired,
    RelayPeerConnected,
    RelayPeerLost,
)
from peppershore.process.endpoints.table import (
    STATE_GONE,
    EndpointTable,
    order_of,
)
from peppershore.process.endpoints.vouched import VouchedNodes
from peppershore.process.events import LinkId
from peppershore.process.link_numbers import LinkNumbers
from peppershore.process.randomness import Randomness
from peppershore.process.settings import PeerRelay, RelaySettings

PEER_TIMER = "exchange.tick"
PEER_CONNECT_TIMER = "exchange.connect"

DIGEST_SECONDS = 2.0
HEARS_SECONDS = 8.0
"""Which relays are heard is told when it changes, and again after so long."""
LEASE_SECONDS = 8.0
"""How long endpoints stay shown without anybody vouching for them."""
STEADY_AGE_SECONDS = 1.5
"""A relay confirmed no longer ago than this is confirmed without a break."""
RESUME_GRACE_SECONDS = 4.0
"""What is left of the lease, at least, when this relay goes on after a pause."""
BACKOFF_BASE_SECONDS = 0.2
BACKOFF_CEILING_SECONDS = 1.0


@dataclass(slots=True)
class Peer:
    """Another relay and what it vouches for, as far as this one knows."""

    name: str
    address: str
    zone: str = ""
    link: LinkId | None = None
    is_open: bool = False
    view: VouchedNodes = field(default_factory=VouchedNodes)
    lease_until: float = 0.0
    hears: frozenset[str] = frozenset()
    told_heard: tuple[str, ...] | None = None
    """The relays that this one said it hears, on this link; None: nothing yet."""
    told_heard_at: float = 0.0
    confirmed_at: float = -math.inf
    """When a quorum confirmed its version, by this relay's clock."""
    steady_since: float = math.inf
    """Since when each of its digests told of a recent confirmation."""
    failures: int = 0
    retry_at: float = 0.0


class EndpointExchange:
    """The endpoint table of a relay and its links to the other relays."""

    def __init__(self, settings: RelaySettings, numbers: LinkNumbers) -> None:
        """Know nothing yet; ``start`` begins to connect."""
        self.table = EndpointTable()
        self.own = VouchedNodes()
        self.confirmed_at: float | None = None
        """When a quorum confirmed this relay's version; the other relays are told."""
        self.changed: dict[str, Endpoint] = {}
        """What the nodes of this relay have yet to be told, by node."""
        self._settings = settings
        self._numbers = numbers
        self._randomness = Randomness(0)
        self._incarnation = 0
        self._started_at = 0.0
        self._unvouched: dict[str, float] = {}
        self._peers = {
            relay.name: Peer(relay.name, relay.address, relay.zone)
            for relay in settings.relays
            if relay.name != settings.relay
        }
        self._by_link: dict[LinkId, Peer] = {}

    def start(self, randomness: Randomness, incarnation: int, now: float) -> list[Command]:
        """Begin to connect to the other relays."""
        self._randomness = randomness
        self._incarnation = incarnation
        self._started_at = now
        return [*self._connect_missing(now), SetTimer(PEER_TIMER, DIGEST_SECONDS)]

    def use_relays(self, relays: tuple[PeerRelay, ...], now: float) -> list[Command]:
        """Exchange endpoints with exactly these relays from now on.

        What a relay that is gone vouched for runs out with its lease.
        """
        wanted = {each.name: each for each in relays if each.name != self._settings.relay}
        out: list[Command] = []
        for name in [name for name in self._peers if name not in wanted]:
            peer = self._peers.pop(name)
            for node in peer.view.nodes:
                self._note_unvouched(node, now)
            if peer.link is not None:
                self._by_link.pop(peer.link, None)
                out.append(CloseLink(peer.link, "no longer a relay"))
        for name, relay in wanted.items():
            if name not in self._peers:
                self._peers[name] = Peer(name, relay.address, relay.zone)
        return [*out, *self._connect_missing(now)]

    def listed(self) -> tuple[RelayListed, ...]:
        """Give the other relays for nodes to choose from."""
        return tuple(
            RelayListed(peer.name, peer.zone, peer.address) for peer in self._peers.values()
        )

    def owns(self, link: LinkId) -> bool:
        """Tell whether a link belongs to another relay."""
        return link in self._by_link

    @property
    def open_links(self) -> tuple[LinkId, ...]:
        """The links to the other relays that have greeted."""
        return tuple(
            peer.link
            for peer in self._peers.values()
            if peer.is_open and peer.link is not None
        )

    def is_settled(self, now: float) -> bool:
        """Tell whether the table can be taken for complete.

        All live nodes had a lease's time to register somewhere, and every relay
        that is heard has its endpoints here.
        """
        return now - self._started_at >= LEASE_SECONDS

    def heard(self, now: float) -> tuple[str, ...]:
        """Name this relay and those heard within the lease."""
        others = (peer.name for peer in self._peers.values() if now <= peer.lease_until)
        return tuple(sorted((self._settings.relay, *others)))

    def confirmed_elsewhere(self) -> float:
        """Tell when a quorum last confirmed the version of another relay.

        Counts only relays confirmed steadily since before this one last was: after
        an outage of all, the first to be back proves nothing about the others.
        """
        if self.confirmed_at is None:
            return -math.inf
        steady = (
            peer.confirmed_at
            for peer in self._peers.values()
            if peer.steady_since <= self.confirmed_at
        )
        return max(steady, default=-math.inf)

    # --- this relay's own sessions ---------------------------------------------

    def announced(self, endpoint: Endpoint, now: float) -> list[Command]:
        """Take what a node of this relay says of its back end."""
        if not self.table.merge(endpoint, now):
            return self._announced_again(endpoint)
        self.changed[endpoint.node] = endpoint
        self._unvouched.pop(endpoint.node, None)
        if endpoint.state == STATE_GONE:
            self.own.remove(endpoint.node)
        else:
            self.own.add(endpoint.node, order_of(endpoint))
        return self._to_peers(EndpointsChanged((endpoint,)))

    def newer_than(self, endpoint: Endpoint) -> Endpoint | None:
        """Give the known state if it is newer than what a node announces."""
        known = self.table.get(endpoint.node)
        if known is None or order_of(known) <= order_of(endpoint):
            return None
        return known

    def session_lost(self, node: str, now: float) -> None:
        """Vouch no longer for a node whose session ended."""
        if self.own.remove(node):
            self._note_unvouched(node, now)

    def resumed(self, nodes: Iterable[str], pause_seconds: float, now: float) -> None:
        """Go on after a pause: vouch for none of these nodes until it is heard.

        The table is not complete until the other relays had time to correct it.
        Nodes get time for a heartbeat, then what was missed counts as lease time.
        """
        self._started_at = now
        missed = min(pause_seconds, LEASE_SECONDS - RESUME_GRACE_SECONDS)
        for node in nodes:
            if self.own.remove(node) and not self._is_vouched(node, now):
                self._unvouched.setdefault(node, now - missed)

    # --- the other relays ------------------------------------------------------

    def opened(self, link: LinkId) -> list[Command]:
        """Greet the relay at the other end of a link opened from here."""
        settings = self._settings
        hello = RelayHello(
            settings.cluster, settings.relay, self._incarnation, settings.zone
        )
        return [SendMessage(link, hello)]

    def lost(self, link: LinkId, reason: str, now: float) -> list[Command]:
        """Forget a link; try again after a wait."""
        peer = self._by_link.pop(link)
        if peer.link != link:
            return []
        was_open = peer.is_open
        peer.link = None
        peer.is_open = False
        peer.retry_at = now + self._randomness.backoff_seconds(
            peer.failures, BACKOFF_BASE_SECONDS, BACKOFF_CEILING_SECONDS
        )
        peer.failures += 1
        again = SetTimer(PEER_CONNECT_TIMER, self._next_retry_seconds(now))
        return [Report(RelayPeerLost(peer.name, reason)), again] if was_open else [again]

    def connect_again(self, now: float) -> list[Command]:
        """Open the links whose wait is over; plan those that still wait."""
        out = self._connect_missing(now)
        wait = self._next_retry_seconds(now)
        return [*out, SetTimer(PEER_CONNECT_TIMER, wait)] if wait else out

    def greeted(self, link: LinkId, hello: RelayHello, now: float) -> list[Command]:
        """Take another relay's greeting; answer it if it opened the link."""
        peer = self._peers.get(hello.relay)
        if peer is None or hello.cluster != self._settings.cluster:
            return [CloseLink(link, "unknown relay")]
        replies: list[Command] = []
        if link not in self._by_link:
            replies.extend(self.opened(link))
            replies.extend(self._replace_link(peer, link))
        peer.is_open = True
        peer.failures = 0
        peer.zone = hello.zone or peer.zone
        peer.told_heard = None
        return [
            *replies,
            Report(RelayPeerConnected(peer.name)),
            SendMessage(link, self._digest(peer, now, with_buckets=True)),
        ]

    def received(self, link: LinkId, message: Message, now: float) -> list[Command]:
        """Take a message of another relay."""
        peer = self._by_link[link]
        match message:
            case RelayHello():
                return self.greeted(link, message, now)
            case EndpointsChanged():
                self._take_endpoints(peer, message, now)
            case EndpointDigest():
                return self._compare(peer, message, now)
            case EndpointDigestWanted():
                digest = self._digest(peer, now, with_buckets=True)
                return [SendMessage(link, digest)]
            case EndpointBucketsWanted():
                return self._send_buckets(link, message.buckets)
            case LeaseRenewed():
                self._drop_unnamed(peer, message, now)
            case _:
                return [CloseLink(link, "unexpected message")]
        return []

    def tick(self, now: float, is_confirmed: bool) -> list[Command]:
        """Send the digest, expire what is due, connect again."""
        out: list[Command] = [
            SendMessage(peer.link, self._digest(peer, now))
            for peer in self._peers.values()
            if peer.is_open and peer.link is not None
        ]
        if is_confirmed:
            out.extend(self._expire(now))
        self.table.drop_old_tombstones(now)
        out.extend(self._connect_missing(now))
        out.append(SetTimer(PEER_TIMER, DIGEST_SECONDS))
        return out

    # --- internals -------------------------------------------------------------

    def _announced_again(self, endpoint: Endpoint) -> list[Command]:
        known = self.table.get(endpoint.node)
        if known is None or order_of(known) != order_of(endpoint):
            return []
        if known.state == STATE_GONE:
            return []
        self.own.add(endpoint.node, order_of(endpoint))
        self._vouched_again(endpoint.node)
        return []

    def _vouched_again(self, node: str) -> None:
        self._unvouched.pop(node, None)
        revealed = self.table.reveal(node)
        if revealed is not None:
            self.changed[node] = revealed

    def _note_unvouched(self, node: str, now: float) -> None:
        if not self._is_vouched(node, now):
            self._unvouched.setdefault(node, now)

    def _is_vouched(self, node: str, now: float) -> bool:
        if node in self.own:
            return True
        return any(
            node in peer.view and self._is_held(peer, now) for peer in self._peers.values()
        )

    def _is_held(self, peer: Peer, now: float) -> bool:
        """Tell whether a peer's endpoints are kept: heard here or by others."""
        if now <= peer.lease_until:
            return True
        return any(
            now <= other.lease_until and peer.name in other.hears
            for other in self._peers.values()
        )

    def _digest(self, peer: Peer, now: float, with_buckets: bool = False) -> EndpointDigest:
        return EndpointDigest(
            self.own.total,
            self.own.buckets if with_buckets else (),
            self._news_of_heard(peer, now),
            self._confirmed_age_milliseconds(now),
        )

    def _confirmed_age_milliseconds(self, now: float) -> int:
        if self.confirmed_at is None:
            return NEVER_CONFIRMED_MILLISECONDS
        return math.ceil((now - self.confirmed_at) * 1_000)

    def _news_of_heard(self, peer: Peer, now: float) -> tuple[str, ...] | None:
        """Give the relays heard where the peer should be told of them."""
        heard = tuple(each.name for each in self._peers.values() if now <= each.lease_until)
        is_known = heard == peer.told_heard and now - peer.told_heard_at < HEARS_SECONDS
        if is_known:
            return None
        peer.told_heard = heard
        peer.told_heard_at = now
        return heard

    def _to_peers(self, message: Message) -> list[Command]:
        return [SendMessage(link, message) for link in self.open_links]

    def _next_retry_seconds(self, now: float) -> float:
        """Give the wait until the next link is due that is opened from here, or 0."""
        waits = (
            peer.retry_at - now
            for peer in self._peers.values()
            if self._settings.relay < peer.name and peer.link is None
        )
        return max(0.0, min(waits, default=0.0))

    def _connect_missing(self, now: float) -> list[Command]:
        out: list[Command] = []
        for peer in self._peers.values():
            dials = self._settings.relay < peer.name
            if not dials or peer.link is not None or now < peer.retry_at:
                continue
            peer.link = self._numbers.take()
            self._by_link[peer.link] = peer
            out.append(OpenLink(peer.link, peer.address))
        return out

    def _replace_link(self, peer: Peer, link: LinkId) -> list[Command]:
        old = peer.link
        peer.link = link
        self._by_link[link] = peer
        if old is None:
            return []
        self._by_link.pop(old, None)
        return [CloseLink(old, "replaced")]

    def _take_endpoints(self, peer: Peer, message: EndpointsChanged, now: float) -> None:
        for endpoint in message.endpoints:
            if self.table.merge(endpoint, now):
                self.changed[endpoint.node] = endpoint
            if endpoint.state == STATE_GONE:
                peer.view.remove(endpoint.node)
                continue
            peer.view.add(endpoint.node, order_of(endpoint))
            known = self.table.get(endpoint.node)
            if known is not None and order_of(known) == order_of(endpoint):
                self._vouched_again(endpoint.node)

    def _compare(self, peer: Peer, message: EndpointDigest, now: float) -> list[Command]:
        if message.hears is not None:
            peer.hears = frozenset(message.hears)
        age = message.confirmed_age_milliseconds / 1_000
        peer.confirmed_at = now - age
        if age > STEADY_AGE_SECONDS:
            peer.steady_since = math.inf
        else:
            peer.steady_since = min(peer.steady_since, peer.confirmed_at)
        if peer.view.total == message.total:
            peer.lease_until = now + LEASE_SECONDS
            return []
        assert peer.link is not None
        if not message.buckets:
            return [SendMessage(peer.link, EndpointDigestWanted())]
        differing = peer.view.differing_buckets(message.buckets)
        return [SendMessage(peer.link, EndpointBucketsWanted(differing))]

    def _send_buckets(self, link: LinkId, buckets: tuple[int, ...]) -> list[Command]:
        nodes = self.own.in_buckets(buckets)
        known = (self.table.get(node) for node in nodes)
        endpoints = tuple(endpoint for endpoint in known if endpoint is not None)
        return [
            SendMessage(link, EndpointsChanged(endpoints)),
            SendMessage(link, LeaseRenewed(self._settings.relay, nodes, buckets)),
        ]

    def _drop_unnamed(self, peer: Peer, message: LeaseRenewed, now: float) -> None:
        peer.lease_until = now + LEASE_SECONDS
        named = frozenset(message.nodes_alive)
        for node in peer.view.in_buckets(message.buckets):
            if node not in named:
                peer.view.remove(node)
                self._note_unvouched(node, now)

    def _expire(self, now: float) -> list[Command]:
        out: list[Command] = []
        for peer in self._peers.values():
            if len(peer.view) and not self._is_held(peer, now):
                out.extend(self._expire_peer(peer, now))
        for node, since in list(self._unvouched.items()):
            if now - since >= LEASE_SECONDS:
                del self._unvouched[node]
                self._hide(node, now)
        return out

    def _expire_peer(self, peer: Peer, now: float) -> list[Command]:
        nodes = peer.view.nodes
        for node in nodes:
            peer.view.remove(node)
        hidden = sum(self._hide(node, now) for node in nodes)
        return [Report(EndpointsExpired(peer.name, hidden))]

    def _hide(self, node: str, now: float) -> bool:
        if self._is_vouched(node, now):
            return False
        hidden = self.table.hide(node, now)
        if hidden is None:
            return False
        self.changed[node] = hidden
        return True
