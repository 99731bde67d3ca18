"""Messages between a relay and its nodes: configuration and its confirmation."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.model import Digest, Scope, Version


class NodeHello(Message, frozen=True, tag=20):
    """A node's first message: who it is and what it holds.

    ``floor`` is the highest version it ever held, from its disk; ``digest`` 0
    means it holds nothing.  ``sent_at_milliseconds`` is the node's own monotonic time:
    the relay tells confirmations by that clock, so that no way counts as fresh.
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
    """What has this digest is right up to ``version``: nothing to send.

    It names the digest because it can cross an update from another relay.
    ``confirmed_at_milliseconds``: a quorum confirmed that no earlier than at this time
    of the node's own clock; None for never.
    """

    version: Version
    confirmed_at_milliseconds: int | None
    digest: Digest


class UpdateOffered(Message, frozen=True, tag=22):
    """New state for the node's scope, packed by ``update_packing``.

    A quorum confirmed the version no earlier than at ``confirmed_at_milliseconds`` of
    the node's own clock; None for never.
    """

    packed_update: bytes
    confirmed_at_milliseconds: int | None


class UpdateApplied(Message, frozen=True, tag=23):
    """The node holds and uses ``version``."""

    version: Version
    digest: Digest


class UpdateRefused(Message, frozen=True, tag=24):
    """The node kept what it had; the relay answers with full state."""

    version: Version
    reason: str


class Freshness(Message, frozen=True, tag=25):
    """Heartbeat of a relay: highest version this node has, in effect, and since when.

    ``confirmed_at_milliseconds``, by the node's own clock, stands still while the relay
    is cut off from the quorum.  What has this digest is right up to the version; 0 while
    the relay has more for the node or does not know what it holds.
    """

    version: Version
    confirmed_at_milliseconds: int | None
    digest: Digest


class NodeAlive(Message, frozen=True, tag=26):
    """Heartbeat of a node, in answer to ``Freshness``: the version in effect.

    ``sent_at_milliseconds`` is its own monotonic time, as in its hello.
    """

    version: Version
    sent_at_milliseconds: int


class RelayListed(msgspec.Struct, frozen=True, array_like=True):
    """A relay that nodes may use; ``zone`` is empty while it is not known."""

    name: str
    zone: str
    address: str


class RelaysListed(Message, frozen=True, tag=27):
    """A relay tells its nodes which relays there are, itself included."""

    relays: tuple[RelayListed, ...]
