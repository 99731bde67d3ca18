"""Messages between a relay and its nodes: configuration updates and confirmations."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.model import Digest, Scope, Version


class NodeHello(Message, frozen=True, tag=20):
    """First message of a node: its identity and the configuration it holds.

    ``floor`` is the highest version that the node ever held, read from its disk;
    ``digest`` 0 means that it holds none. ``sent_at_milliseconds`` is the node's own
    monotonic time: the relay expresses the times of confirmations by that clock, so that
    time spent on the network path does not make a configuration appear fresher.
    """

    cluster: str
    node: str
    incarnation: int
    scope: Scope
    version: Version
    digest: Digest
    floor: Version
    sent_at_milliseconds: int


class Current(Message, frozen=True, tag=21):
    """A configuration with this digest is current up to ``version``: no update is needed.

    The digest is included because this message can arrive concurrently with an update
    from another relay. A quorum confirmed the version no earlier than at
    ``confirmed_at_milliseconds`` of the node's own clock; None for never.
    """

    version: Version
    confirmed_at_milliseconds: int | None
    digest: Digest


class UpdateOffered(Message, frozen=True, tag=22):
    """New configuration for the node's service and zone, compressed by ``update_packing``.

    A quorum confirmed the version no earlier than at ``confirmed_at_milliseconds`` of
    the node's own clock; None for never.
    """

    packed_update: bytes
    confirmed_at_milliseconds: int | None


class UpdateApplied(Message, frozen=True, tag=23):
    """A node's confirmation to its relay that it holds and uses ``version``."""

    version: Version
    digest: Digest


class UpdateRefused(Message, frozen=True, tag=24):
    """The node rejected an update and kept its configuration; the relay replies with the
    complete configuration."""

    version: Version
    reason: str


class Freshness(Message, frozen=True, tag=25):
    """Heartbeat of a relay: the version up to which the node is current, and since when.

    ``confirmed_at_milliseconds``, by the node's own clock, does not advance while the
    relay is cut off from the quorum. A configuration with this ``digest`` is current up to
    ``version``; the digest is 0 while the relay has an update for the node or does not
    know what the node holds.
    """

    version: Version
    confirmed_at_milliseconds: int | None
    digest: Digest


class NodeAlive(Message, frozen=True, tag=26):
    """Heartbeat of a node in reply to ``Freshness``: the version that it uses.

    ``sent_at_milliseconds`` is the node's own monotonic time, as in ``NodeHello``.
    """

    version: Version
    sent_at_milliseconds: int


class RelayListed(msgspec.Struct, frozen=True, array_like=True):
    """A relay that nodes may connect to; ``zone`` is empty while unknown."""

    name: str
    zone: str
    address: str


class RelaysListed(Message, frozen=True, tag=27):
    """All relays known to the sending relay, itself included, for its nodes."""

    relays: tuple[RelayListed, ...]
