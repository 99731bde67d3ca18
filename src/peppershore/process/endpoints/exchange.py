"""Synchronization of the endpoint tables of all relays.

Each relay advertises the endpoints of its own sessions, and only those, to all other
relays. It sends changes at once. Every ``DIGEST_SECONDS`` it sends a digest, which renews
the lease of all endpoints it advertises and reveals missed changes. The digest is a
single number; if that differs, the relays compare one number per bucket. Endpoints that
no relay advertises are hidden when their lease ends, unless this relay itself is cut off.
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
from peppershore.process.endpoints.advertised import AdvertisedNodes
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
from peppershore.process.events import LinkId
from peppershore.process.link_numbers import LinkNumbers
from peppershore.process.randomness import Randomness
from peppershore.process.settings import PeerRelay, RelaySettings

PEER_TIMER = "exchange.tick"
PEER_CONNECT_TIMER = "exchange.connect"

DIGEST_SECONDS = 2.0
HEARD_REPORT_SECONDS = 8.0
"""The list of relays heard is sent when it changes, and again after this time."""
LEASE_SECONDS = 8.0
"""How long an endpoint stays visible without being advertised by any relay."""
STEADY_AGE_SECONDS = 1.5
"""A relay counts as steadily confirmed while its confirmation is no older than this."""
RESUME_GRACE_SECONDS = 4.0
"""Minimum lease time of endpoints that remains when this relay resumes after a
suspension."""
BACKOFF_BASE_SECONDS = 0.2
BACKOFF_CEILING_SECONDS = 1.0


@dataclass(slots=True)
class Peer:
    """Another relay and the endpoints it advertises, as far as this relay knows."""

    name: str
    address: str
    zone: str = ""
    link: LinkId | None = None
    is_open: bool = False
    advertised: AdvertisedNodes = field(default_factory=AdvertisedNodes)
    lease_until: float = 0.0
    hears: frozenset[str] = frozenset()
    reported_heard: tuple[str, ...] | None = None
    """Relays last reported as heard on this link; None if none were reported yet."""
    reported_heard_at: float = 0.0
    confirmed_at: float = -math.inf
    """When a quorum confirmed the peer's version, on this relay's clock."""
    steady_since: float = math.inf
    """Time since which every digest of the peer reported a recent confirmation."""
    failures: int = 0
    retry_at: float = 0.0


class EndpointExchange:
    """Maintains a relay's endpoint table and its links to the other relays."""

    def __init__(self, settings: RelaySettings, numbers: LinkNumbers) -> None:
        """Start with an empty table; ``start`` connects to the other relays.

        ``numbers`` provides the ids of the links that are opened.
        """
        self.table = EndpointTable()
        self.local_nodes = AdvertisedNodes()
        self.confirmed_at: float | None = None
        """When a quorum confirmed this relay's version; sent to the other relays."""
        self.changed: dict[str, Endpoint] = {}
        """Changed endpoints not yet sent to this relay's nodes, by the endpoint's node."""
        self._settings = settings
        self._numbers = numbers
        self._randomness = Randomness(0)
        self._incarnation = 0
        self._started_at = 0.0
        self._unadvertised: dict[str, float] = {}
        self._peers = {
            relay.name: Peer(relay.name, relay.address, relay.zone)
            for relay in settings.relays
            if relay.name != settings.relay
        }
        self._by_link: dict[LinkId, Peer] = {}

    def start(self, randomness: Randomness, incarnation: int, now: float) -> list[Command]:
        """Connect to the other relays and start the periodic tick."""
        self._randomness = randomness
        self._incarnation = incarnation
        self._started_at = now
        return [*self._connect_missing(now), SetTimer(PEER_TIMER, DIGEST_SECONDS)]

    def use_relays(self, relays: tuple[PeerRelay, ...], now: float) -> list[Command]:
        """Replace the set of relays with which endpoints are exchanged.

        Endpoints that only a removed relay advertised expire with their lease.
        """
        wanted = {each.name: each for each in relays if each.name != self._settings.relay}
        out: list[Command] = []
        for name in [name for name in self._peers if name not in wanted]:
            peer = self._peers.pop(name)
            for node in peer.advertised.nodes:
                self._note_unadvertised(node, now)
            if peer.link is not None:
                self._by_link.pop(peer.link, None)
                out.append(CloseLink(peer.link, "no longer a relay"))
        for name, relay in wanted.items():
            if name not in self._peers:
                self._peers[name] = Peer(name, relay.address, relay.zone)
        return [*out, *self._connect_missing(now)]

    def listed(self) -> tuple[RelayListed, ...]:
        """Return the other relays, for the list that is sent to nodes."""
        return tuple(
            RelayListed(peer.name, peer.zone, peer.address) for peer in self._peers.values()
        )

    def owns(self, link: LinkId) -> bool:
        """Return whether a link belongs to another relay."""
        return link in self._by_link

    @property
    def open_links(self) -> tuple[LinkId, ...]:
        """Links to other relays on which a hello was received."""
        return tuple(
            peer.link
            for peer in self._peers.values()
            if peer.is_open and peer.link is not None
        )

    def is_settled(self, now: float) -> bool:
        """Return whether the table can be assumed to be complete.

        It is complete one lease time after the start or the last suspension: by then all
        live nodes had time to register at some relay, and every reachable relay had time
        to send its endpoints.
        """
        return now - self._started_at >= LEASE_SECONDS

    def heard(self, now: float) -> tuple[str, ...]:
        """Return the names of this relay and of all relays with a valid lease."""
        others = (peer.name for peer in self._peers.values() if now <= peer.lease_until)
        return tuple(sorted((self._settings.relay, *others)))

    def confirmed_elsewhere(self) -> float:
        """Return when a quorum last confirmed the version of another relay.

        Only relays that have been steadily confirmed since before this relay's last
        confirmation count. After an outage of all relays, the first one to recover
        does not show that the others are cut off. Return ``-inf`` if none counts.
        """
        if self.confirmed_at is None:
            return -math.inf
        steady = (
            peer.confirmed_at
            for peer in self._peers.values()
            if peer.steady_since <= self.confirmed_at
        )
        return max(steady, default=-math.inf)

    # --- sessions of this relay ------------------------------------------------

    def announced(self, endpoint: Endpoint, now: float) -> list[Command]:
        """Handle the state that a node of this relay announced for its back end."""
        if not self.table.merge(endpoint, now):
            return self._announced_again(endpoint)
        self.changed[endpoint.node] = endpoint
        self._unadvertised.pop(endpoint.node, None)
        if endpoint.state == STATE_GONE:
            self.local_nodes.remove(endpoint.node)
        else:
            self.local_nodes.add(endpoint.node, order_of(endpoint))
        return self._to_peers(EndpointsChanged((endpoint,)))

    def newer_than(self, endpoint: Endpoint) -> Endpoint | None:
        """Return the known state if it is newer than ``endpoint``, else None."""
        known = self.table.get(endpoint.node)
        if known is None or order_of(known) <= order_of(endpoint):
            return None
        return known

    def session_lost(self, node: str, now: float) -> None:
        """Stop advertising a node whose session ended."""
        if self.local_nodes.remove(node):
            self._note_unadvertised(node, now)

    def resumed(self, nodes: Iterable[str], suspension_seconds: float, now: float) -> None:
        """Resume after a suspension: stop advertising these nodes until they send again.

        The table counts as incomplete until the other relays had time to correct it.
        The suspension counts as elapsed lease time, but at least
        ``RESUME_GRACE_SECONDS`` of the lease remain, so that nodes can send a heartbeat.
        """
        self._started_at = now
        missed = min(suspension_seconds, LEASE_SECONDS - RESUME_GRACE_SECONDS)
        for node in nodes:
            if self.local_nodes.remove(node) and not self._is_advertised(node, now):
                self._unadvertised.setdefault(node, now - missed)

    # --- the other relays ------------------------------------------------------

    def opened(self, link: LinkId) -> list[Command]:
        """Send a hello on a newly opened link."""
        settings = self._settings
        hello = RelayHello(
            settings.cluster, settings.relay, self._incarnation, settings.zone
        )
        return [SendMessage(link, hello)]

    def lost(self, link: LinkId, reason: str, now: float) -> list[Command]:
        """Handle a closed link; reconnect after a backoff."""
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
        """Open the links whose backoff is over and set a timer for the next one."""
        out = self._connect_missing(now)
        wait = self._next_retry_seconds(now)
        return [*out, SetTimer(PEER_CONNECT_TIMER, wait)] if wait else out

    def handle_hello(self, link: LinkId, hello: RelayHello, now: float) -> list[Command]:
        """Handle another relay's hello; answer it if that relay opened the link."""
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
        peer.reported_heard = None
        return [
            *replies,
            Report(RelayPeerConnected(peer.name)),
            SendMessage(link, self._digest(peer, now, with_buckets=True)),
        ]

    def received(self, link: LinkId, message: Message, now: float) -> list[Command]:
        """Handle a message from another relay."""
        peer = self._by_link[link]
        match message:
            case RelayHello():
                return self.handle_hello(link, message, now)
            case EndpointsChanged():
                self._merge_endpoints(peer, message, now)
            case EndpointDigest():
                return self._compare(peer, message, now)
            case EndpointDigestWanted():
                digest = self._digest(peer, now, with_buckets=True)
                return [SendMessage(link, digest)]
            case EndpointBucketsWanted():
                return self._send_buckets(link, message.buckets)
            case LeaseRenewed():
                self._drop_unlisted(peer, message, now)
            case _:
                return [CloseLink(link, "unexpected message")]
        return []

    def tick(self, now: float, is_confirmed: bool) -> list[Command]:
        """Send digests, expire endpoints and tombstones, and open missing links.

        Endpoints expire only if ``is_confirmed``: otherwise this relay may be cut off.
        """
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
        self.local_nodes.add(endpoint.node, order_of(endpoint))
        self._reveal_advertised(endpoint.node)
        return []

    def _reveal_advertised(self, node: str) -> None:
        self._unadvertised.pop(node, None)
        revealed = self.table.reveal(node)
        if revealed is not None:
            self.changed[node] = revealed

    def _note_unadvertised(self, node: str, now: float) -> None:
        if not self._is_advertised(node, now):
            self._unadvertised.setdefault(node, now)

    def _is_advertised(self, node: str, now: float) -> bool:
        if node in self.local_nodes:
            return True
        return any(
            node in peer.advertised and self._is_reachable(peer, now)
            for peer in self._peers.values()
        )

    def _is_reachable(self, peer: Peer, now: float) -> bool:
        """Return whether this relay hears the peer, directly or through another relay.

        That is, the lease of the peer is valid, or a relay with a valid lease reported
        that it hears the peer. The endpoints of such a peer do not expire.
        """
        if now <= peer.lease_until:
            return True
        return any(
            now <= other.lease_until and peer.name in other.hears
            for other in self._peers.values()
        )

    def _digest(self, peer: Peer, now: float, with_buckets: bool = False) -> EndpointDigest:
        return EndpointDigest(
            self.local_nodes.total,
            self.local_nodes.buckets if with_buckets else (),
            self._heard_if_due(peer, now),
            self._confirmed_age_milliseconds(now),
        )

    def _confirmed_age_milliseconds(self, now: float) -> int:
        if self.confirmed_at is None:
            return NEVER_CONFIRMED_MILLISECONDS
        return math.ceil((now - self.confirmed_at) * 1_000)

    def _heard_if_due(self, peer: Peer, now: float) -> tuple[str, ...] | None:
        """Return the relays heard if they are due to be sent to the peer, else None."""
        heard = tuple(each.name for each in self._peers.values() if now <= each.lease_until)
        is_known = (
            heard == peer.reported_heard
            and now - peer.reported_heard_at < HEARD_REPORT_SECONDS
        )
        if is_known:
            return None
        peer.reported_heard = heard
        peer.reported_heard_at = now
        return heard

    def _to_peers(self, message: Message) -> list[Command]:
        return [SendMessage(link, message) for link in self.open_links]

    def _next_retry_seconds(self, now: float) -> float:
        """Return the seconds until the next link from this relay is due, or 0 if none.

        Of two relays, the one whose name sorts first opens the link.
        """
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

    def _merge_endpoints(self, peer: Peer, message: EndpointsChanged, now: float) -> None:
        for endpoint in message.endpoints:
            if self.table.merge(endpoint, now):
                self.changed[endpoint.node] = endpoint
            if endpoint.state == STATE_GONE:
                peer.advertised.remove(endpoint.node)
                continue
            peer.advertised.add(endpoint.node, order_of(endpoint))
            known = self.table.get(endpoint.node)
            if known is not None and order_of(known) == order_of(endpoint):
                self._reveal_advertised(endpoint.node)

    def _compare(self, peer: Peer, message: EndpointDigest, now: float) -> list[Command]:
        if message.hears is not None:
            peer.hears = frozenset(message.hears)
        age = message.confirmed_age_milliseconds / 1_000
        peer.confirmed_at = now - age
        if age > STEADY_AGE_SECONDS:
            peer.steady_since = math.inf
        else:
            peer.steady_since = min(peer.steady_since, peer.confirmed_at)
        if peer.advertised.total == message.total:
            peer.lease_until = now + LEASE_SECONDS
            return []
        assert peer.link is not None
        if not message.buckets:
            return [SendMessage(peer.link, EndpointDigestWanted())]
        differing = peer.advertised.differing_buckets(message.buckets)
        return [SendMessage(peer.link, EndpointBucketsWanted(differing))]

    def _send_buckets(self, link: LinkId, buckets: tuple[int, ...]) -> list[Command]:
        nodes = self.local_nodes.in_buckets(buckets)
        known = (self.table.get(node) for node in nodes)
        endpoints = tuple(endpoint for endpoint in known if endpoint is not None)
        return [
            SendMessage(link, EndpointsChanged(endpoints)),
            SendMessage(link, LeaseRenewed(self._settings.relay, nodes, buckets)),
        ]

    def _drop_unlisted(self, peer: Peer, message: LeaseRenewed, now: float) -> None:
        peer.lease_until = now + LEASE_SECONDS
        named = frozenset(message.nodes_alive)
        for node in peer.advertised.in_buckets(message.buckets):
            if node not in named:
                peer.advertised.remove(node)
                self._note_unadvertised(node, now)

    def _expire(self, now: float) -> list[Command]:
        out: list[Command] = []
        for peer in self._peers.values():
            if len(peer.advertised) and not self._is_reachable(peer, now):
                out.extend(self._expire_peer(peer, now))
        for node, since in list(self._unadvertised.items()):
            if now - since >= LEASE_SECONDS:
                del self._unadvertised[node]
                self._hide(node, now)
        return out

    def _expire_peer(self, peer: Peer, now: float) -> list[Command]:
        nodes = peer.advertised.nodes
        for node in nodes:
            peer.advertised.remove(node)
        hidden = sum(self._hide(node, now) for node in nodes)
        return [Report(EndpointsExpired(peer.name, hidden))]

    def _hide(self, node: str, now: float) -> bool:
        if self._is_advertised(node, now):
            return False
        hidden = self.table.hide(node, now)
        if hidden is None:
            return False
        self.changed[node] = hidden
        return True
