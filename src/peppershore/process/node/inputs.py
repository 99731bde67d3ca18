"""Events that only a node core receives."""

from __future__ import annotations

from peppershore.connection.messages.quotas import QuotaAsked
from peppershore.connection.messages.rollouts import RouteEvidence
from peppershore.process.events import Event
from peppershore.process.node.back_end_reports import START_UNKNOWN, BackEndReport
from peppershore.process.settings import PeerRelay
from peppershore.request.quarantine import Suspect


class BackendStateChanged(Event, frozen=True):
    """The data plane saw the local back end change state ("warming", "ready", "gone")."""

    state: str


class BackendDrained(Event, frozen=True):
    """The calls in flight have finished, or the time limit of the drain has passed."""


class BackEndReported(Event, frozen=True):
    """The local back end sent a heartbeat."""

    report: BackEndReport


class BackEndLeft(Event, frozen=True):
    """An incarnation of the local back end reported that it is terminating."""

    instance: str
    born: int = START_UNKNOWN


class BackEndReportRefused(Event, frozen=True):
    """A report to the node's back-end interface was invalid."""

    reason: str


class BackEndNotThere(Event, frozen=True):
    """Nothing answers at the local back end's address, or another incarnation does.

    ``life`` is the name of the incarnation that was expected there. ``is_replaced``:
    another one answered.
    """

    life: str
    is_replaced: bool = False


class BackEndEnded(Event, frozen=True):
    """An incarnation of the local back end crashed while these requests ran there.

    ``life`` is its name.
    """

    life: str
    under: tuple[Suspect, ...]


class SuspectEndedWell(Event, frozen=True):
    """The local back end answered a request that is suspected of crashing back ends.

    Other incarnations crashed while they ran it. ``key`` identifies it.
    """

    key: bytes


class EvidenceGathered(Event, frozen=True):
    """Call statistics of the local back end since the start of a roll-out.

    ``began_milliseconds`` is that start, in Unix milliseconds.
    """

    began_milliseconds: int
    routes: tuple[RouteEvidence, ...]


class QuotaWanted(Event, frozen=True):
    """Calls of tenants wait for quota grants; ``ask`` is the request to the relay."""

    ask: QuotaAsked


class NodeSeedsChanged(Event, frozen=True):
    """The settings changed; these are the relays that they name now."""

    relays: tuple[PeerRelay, ...]
