"""Messages between a relay and the control replica that it follows."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.model import Edit, Tree, Version


class FollowRequest(Message, frozen=True, tag=50):
    """Request of a relay for all committed edits after ``after_version``."""

    cluster: str
    relay: str
    zone: str
    after_version: Version


class TreeState(Message, frozen=True, tag=51):
    """The complete tree, in place of edits, for a relay that is too far behind."""

    tree: Tree


class CommittedEdit(msgspec.Struct, frozen=True, array_like=True):
    """One accepted edit and its version."""

    version: Version
    edit: Edit


class EditsCommitted(Message, frozen=True, tag=52):
    """Accepted edits in log order; no edit with an effect is missing between them."""

    edits: tuple[CommittedEdit, ...]


class ConfirmRequest(Message, frozen=True, tag=53):
    """Request for the version that a quorum now confirms (a read index)."""

    nonce: int


class ConfirmReply(Message, frozen=True, tag=54):
    """A quorum confirmed ``version`` after the request with this nonce was received."""

    nonce: int
    version: Version


class LaggingNode(msgspec.Struct, frozen=True, array_like=True):
    """A node that lacks the complete state of its service and zone, and the reason."""

    node: str
    service: str
    zone: str
    version: Version
    reason: str


class ProgressReported(Message, frozen=True, tag=55):
    """A relay's progress: all nodes connected to it hold all changes up to ``in_force``.

    ``lagging`` is a bounded sample. ``control_bytes`` is the number of bytes that the
    relay sent to nodes since it started. ``nodes_by_service`` is not included here.

    ``incarnation`` identifies the relay's process; incarnations have no order. ``number``
    counts its reports. ``settled``: every node that was connected to the relay in a former
    incarnation, or before a suspension, has reconnected to some relay or counts as gone.
    ``relays`` are this relay and those it receives messages from. ``silent`` is a bounded
    sample of nodes that disconnected without notice and lack a change, the furthest
    behind first; it is used for rotations of secrets.
    """

    relay: str
    zone: str
    version: Version
    in_force: Version
    nodes: int
    lagging: tuple[LaggingNode, ...]
    control_bytes: int
    incarnation: int = 0
    settled: bool = True
    relays: tuple[str, ...] = ()
    number: int = 0
    silent: tuple[LaggingNode, ...] = ()
