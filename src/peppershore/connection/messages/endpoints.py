"""Messages about the existing back ends (endpoints).

Nodes send them to relays, relays to each other and to nodes.
"""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message

NEVER_CONFIRMED_MILLISECONDS = 2**31 - 1
"""Age of a relay's confirmation that stands for "never confirmed"."""

WARMING_NOT_TOLD = -1
"""Value of ``Endpoint.warming_milliseconds`` if the back end does not report it."""


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """One back end, as reported by its local node (its owner).

    Reports are ordered by (``incarnation``, ``sequence``) of the owner: a higher pair
    replaces a lower one, whichever link it arrives on. ``state`` is "warming", "ready",
    "leaving" or "gone". ``address`` is the back end's address ("IP:port") and
    ``owner_address`` that of its node's internal listener. ``warming_milliseconds`` is
    how long the back end was still slow after it became ready. ``version`` is the version
    of its software ("" if not reported); ``born`` is the start of its incarnation (Unix
    time in milliseconds, 0 if not reported).
    """

    node: str
    service: str
    zone: str
    incarnation: int
    sequence: int
    state: str
    address: str
    owner_address: str
    slots: int
    connections: int
    warming_milliseconds: int = WARMING_NOT_TOLD
    version: str = ""
    born: int = 0


class EndpointAnnounced(Message, frozen=True, tag=40):
    """A node's report of its back end's state to its relay."""

    endpoint: Endpoint


class EndpointsChanged(Message, frozen=True, tag=41):
    """Changed endpoints, sent to nodes that may call them and between relays.

    ``complete``: the list replaces all endpoints of ``services`` that the receiver knows
    (empty: of all services).
    """

    endpoints: tuple[Endpoint, ...]
    complete: bool = False
    services: tuple[str, ...] = ()


class EndpointsPacked(Message, frozen=True, tag=47):
    """``EndpointsChanged`` as sent to nodes, compressed by ``endpoint_packing``."""

    packed: bytes


class RelayHello(Message, frozen=True, tag=42):
    """First message between two relays, and the reply to it."""

    cluster: str
    relay: str
    incarnation: int
    zone: str = ""


class EndpointDigest(Message, frozen=True, tag=43):
    """Anti-entropy: digest of the endpoints whose liveness the sender confirms.

    ``total`` is the digest of all of them. ``buckets`` are the digests of groups of nodes,
    formed by node name; they are sent if the receiver requested them or the link is new.
    ``hears`` names the relays that the sender received messages from within the lease;
    None means unchanged. ``confirmed_age_milliseconds`` is the time since a quorum
    confirmed the sender's version; the default stands for never.
    """

    total: int
    buckets: tuple[int, ...] = ()
    hears: tuple[str, ...] | None = None
    confirmed_age_milliseconds: int = NEVER_CONFIRMED_MILLISECONDS


class EndpointDigestWanted(Message, frozen=True, tag=48):
    """Anti-entropy: request for the digest with its buckets, because the total differs."""


class EndpointBucketsWanted(Message, frozen=True, tag=44):
    """Anti-entropy: request for the endpoints of nodes in these buckets.

    Buckets are groups of nodes, as in ``EndpointDigest``.
    """

    buckets: tuple[int, ...]


class LeaseRenewed(Message, frozen=True, tag=45):
    """A relay's confirmation that endpoints in ``buckets`` with a live session are alive.

    Buckets are groups of nodes, as in ``EndpointDigest``.

    It covers ``nodes_alive``; the confirmation of other nodes of these buckets ends.
    """

    relay: str
    nodes_alive: tuple[str, ...]
    buckets: tuple[int, ...] = ()


class EndpointsHeld(Message, frozen=True, tag=46):
    """Digest of the endpoints that a node holds, or should hold according to its relay.

    A node reports its own digest; if the relay's differs, the relay sends all endpoints.
    A relay sends the digest that the node should have; if the node's differs, the node
    reports its own.
    """

    digest: int
