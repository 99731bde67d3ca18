"""Messages between a relay and the control replica that it follows."""

from __future__ import annotations

import msgspec

from peppershore.connection.messages.base import Message
from peppershore.version.model import Edit, Tree, Version


class FollowRequest(Message, frozen=True, tag=50):
    """A relay asks for all committed edits after ``after_version``."""

    cluster: str
    relay: str
    zone: str
    after_version: Version


class TreeState(Message, frozen=True, tag=51):
    """The whole tree, for a relay that is too far behind the log."""

    tree: Tree


class CommittedEdit(msgspec.Struct, frozen=True, array_like=True):
    """One accepted edit and its version."""

    version: Version
    edit: Edit


class EditsCommitted(Message, frozen=True, tag=52):
    """Accepted edits in log order, without gaps in effect."""

    edits: tuple[CommittedEdit, ...]


class ConfirmRequest(Message, frozen=True, tag=53):
    """Ask which version a quorum confirms now (a read index)."""

    nonce: int


class ConfirmReply(Message, frozen=True, tag=54):
    """A quorum confirmed ``version`` after the request with this nonce was received."""

    nonce: int
    version: Version


class LaggingNode(msgspec.Struct, frozen=True, array_like=True):
    """A node that does not yet hold all of its scope, and why."""

    node: str
    service: str
    zone: str
    version: Version
    reason: str


class ProgressReported(Message, frozen=True, tag=55):
    """A relay's progress: every session holds all changes up to ``in_force``.

    ``lagging`` is a bounded sample; ``control_bytes`` counts what the relay
    sent to nodes since it started; ``nodes_by_service`` is not included here.

    ``incarnation`` names this life of the relay, without order; ``number`` counts
    its reports.  ``settled``: every node that the relay had in a former life, or
    before a pause, came back somewhere or counts as gone.  ``relays`` are this one
    and those it hears.  ``silent`` are nodes that left without a word and lack a
    change, the furthest behind first: a bounded sample, for rotations of secrets.
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
