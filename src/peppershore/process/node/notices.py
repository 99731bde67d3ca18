"""Events that a node reports to logs and metrics."""

from __future__ import annotations

from typing import ClassVar

from peppershore.process.commands import Notice
from peppershore.version.model import Digest, Version


class RelayChosen(Notice, frozen=True):
    """The node now receives its configuration from this relay."""

    relay: str


class RelayLeft(Notice, frozen=True):
    """The node no longer uses this relay."""

    relay: str
    reason: str


class RelayUnavailable(Notice, frozen=True):
    """A relay could not be used; the node tries another one after this wait."""

    relay: str
    reason: str
    wait_milliseconds: int


class BackEndViewChanged(Notice, frozen=True):
    """The state of the local back end changed by a report, or as its reports ceased."""

    instance: str
    state: str
    slots: int


class BackEndReportNotUsed(Notice, frozen=True):
    """A back-end report was invalid, or not used; ``count`` is their number so far."""

    level: ClassVar[str] = "warning"
    reason: str
    count: int


class BackEndsKnown(Notice, frozen=True):
    """Calls of a service now go to the back ends next to these nodes."""

    service: str
    ready: tuple[str, ...]


class NodePaused(Notice, frozen=True):
    """The process was suspended for this long; the node reconnects to the relays."""

    level: ClassVar[str] = "warning"
    milliseconds: int


class VersionApplied(Notice, frozen=True):
    """The node now uses this version, whose content has this digest."""

    version: Version
    resources: int
    digest: Digest = 0


class VersionRefused(Notice, frozen=True):
    """The node refused this version and continues to use the previous one."""

    version: Version
    reason: str


class VersionRestored(Notice, frozen=True):
    """The node started with this version from its disk."""

    version: Version


class FloorNotPersisted(Notice, frozen=True):
    """A new version could not be written to disk and is not used yet; to be retried."""

    level: ClassVar[str] = "error"
    version: Version
    reason: str


class OwnEndpointAnnounced(Notice, frozen=True):
    """The node sent the state of its local back end to its relay."""

    state: str
    sequence: int


class NodeStopping(Notice, frozen=True):
    """A planned stop has begun."""

    has_backend: bool
