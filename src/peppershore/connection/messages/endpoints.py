"""Messages about back ends that are there: nodes to relays, relays to relays and nodes."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message

NEVER_CONFIRMED_MILLISECONDS = 2**31 - 1
"""In place of the age of a relay's confirmation: there was none yet."""

WARMING_NOT_TOLD = -1
"""In place of a back end's warming: it does not say."""


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """One back end, as its own node reports it.

    Ordered by (incarnation, sequence) of its owner: a higher pair replaces a
    lower one whatever link it came on.  ``state``: "warming", "ready",
    "leaving", "gone".  ``address`` is the back end ("IP:port");
    ``owner_address`` its node's internal listener.  ``warming_milliseconds`` is for
    how much longer it was slow when it began to be ready.  ``version`` is that of its
    software, "" untold; ``born`` is when its life began (Unix milliseconds, 0 untold).
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
    """A node reports its back end's state to its relay."""

    endpoint: Endpoint


class EndpointsChanged(Message, frozen=True, tag=41):
    """Endpoints that changed, to nodes that may call them and between relays.

    ``complete``: the list replaces all that the receiver knew of ``services``
    (empty: of every service).
    """

    endpoints: tuple[Endpoint, ...]
    complete: bool = False
    services: tuple[str, ...] = ()


class EndpointsPacked(Message, frozen=True, tag=47):
    """``EndpointsChanged`` as nodes are told of it, packed by ``endpoint_packing``."""

    packed: bytes


class RelayHello(Message, frozen=True, tag=42):
    """First message between two relays, and its answer."""

    cluster: str
    relay: str
    incarnation: int
    zone: str = ""


class EndpointDigest(Message, frozen=True, tag=43):
    """Anti-entropy: digest of the endpoints the sender vouches for.

    ``total`` is that of all; ``buckets``, into which nodes fall by name, come where the
    receiver asked for them or the link is new.  ``hears`` names the relays the sender
    has heard within the lease; None: as it said before.
    ``confirmed_age_milliseconds`` says how long ago a quorum confirmed the sender's
    version; the default stands for never.
    """

    total: int
    buckets: tuple[int, ...] = ()
    hears: tuple[str, ...] | None = None
    confirmed_age_milliseconds: int = NEVER_CONFIRMED_MILLISECONDS


class EndpointDigestWanted(Message, frozen=True, tag=48):
    """Anti-entropy: the total differs; send the digest with its buckets."""


class EndpointBucketsWanted(Message, frozen=True, tag=44):
    """Anti-entropy: send the endpoints in these buckets."""

    buckets: tuple[int, ...]


class LeaseRenewed(Message, frozen=True, tag=45):
    """A relay vouches for its live sessions' endpoints in ``buckets``.

    Nodes of those buckets that are not named are no longer vouched for.
    """

    relay: str
    nodes_alive: tuple[str, ...]
    buckets: tuple[int, ...] = ()


class EndpointsHeld(Message, frozen=True, tag=46):
    """A node's digest of the endpoints it holds; the relay sends them if it differs."""

    digest: int
