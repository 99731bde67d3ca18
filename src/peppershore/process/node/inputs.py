"""Events that only a node has."""

from __future__ import annotations

from peppershore.connection.messages.quotas import QuotaAsked
from peppershore.connection.messages.rollouts import RouteEvidence
from peppershore.process.events import Event
from peppershore.process.node.back_end_reports import BORN_NOT_TOLD, BackEndReport
from peppershore.process.settings import PeerRelay
from peppershore.request.quarantine import Suspect


class BackendStateChanged(Event, frozen=True):
    """The data plane sees its back end in another state ("warming", "ready", "gone")."""

    state: str


class BackendDrained(Event, frozen=True):
    """The work in flight is finished, or its bound has passed."""


class BackEndReported(Event, frozen=True):
    """The back end sent a heartbeat."""

    report: BackEndReport


class BackEndLeft(Event, frozen=True):
    """That life of the back end says that it ends."""

    instance: str
    born: int = BORN_NOT_TOLD


class BackEndReportRefused(Event, frozen=True):
    """What came as a word of the back end is none that can be used."""

    reason: str


class BackEndNotThere(Event, frozen=True):
    """Nothing answers at the back end's address, or another life of it does."""

    life: str


class BackEndEnded(Event, frozen=True):
    """The process of that life ended without a word, and these requests ran there."""

    life: str
    under: tuple[Suspect, ...]


class SuspectEndedWell(Event, frozen=True):
    """The back end answered a request under which others had ended."""

    key: bytes


class EvidenceGathered(Event, frozen=True):
    """What the back end showed since the roll-out of that moment began."""

    began_milliseconds: int
    routes: tuple[RouteEvidence, ...]


class QuotaWanted(Event, frozen=True):
    """Calls of tenants wait for grants."""

    ask: QuotaAsked


class NodeSeedsChanged(Event, frozen=True):
    """The settings name other relays to begin with."""

    relays: tuple[PeerRelay, ...]
