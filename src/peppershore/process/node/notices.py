"""What a node reports to logs and metrics."""

from __future__ import annotations

from typing import ClassVar

from peppershore.process.commands import Notice
from peppershore.version.model import Digest, Version


class RelayChosen(Notice, frozen=True):
    """The node takes its configuration from this relay now."""

    relay: str


class RelayLeft(Notice, frozen=True):
    """The node no longer uses this relay."""

    relay: str
    reason: str


class RelayUnavailable(Notice, frozen=True):
    """A relay could not be used; another is tried after a wait."""

    relay: str
    reason: str
    wait_milliseconds: int


class BackEndViewChanged(Notice, frozen=True):
    """The back end beside the node told something new of itself, or fell silent."""

    instance: str
    state: str
    slots: int


class BackEndReportNotUsed(Notice, frozen=True):
    """What came as a word of the back end can't be read; ``count`` since the start."""

    level: ClassVar[str] = "warning"
    reason: str
    count: int


class BackEndsKnown(Notice, frozen=True):
    """From now on calls of a service go to the back ends beside these nodes."""

    service: str
    ready: tuple[str, ...]


class NodePaused(Notice, frozen=True):
    """The process stood still for so long; it begins anew with the relays."""

    level: ClassVar[str] = "warning"
    milliseconds: int


class VersionApplied(Notice, frozen=True):
    """The node holds and uses this version, whose content has this digest."""

    version: Version
    resources: int
    digest: Digest = 0


class VersionRefused(Notice, frozen=True):
    """The node kept what it had."""

    version: Version
    reason: str


class VersionRestored(Notice, frozen=True):
    """The node started with the version its disk held."""

    version: Version


class FloorNotPersisted(Notice, frozen=True):
    """The disk refused a new version, so it is not used; it is tried again."""

    level: ClassVar[str] = "error"
    version: Version
    reason: str


class OwnEndpointAnnounced(Notice, frozen=True):
    """The node told its relay of its back end's state."""

    state: str
    sequence: int


class NodeStopping(Notice, frozen=True):
    """A planned stop began."""

    has_backend: bool
