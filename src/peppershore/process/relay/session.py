"""Session of a node at a relay."""

from __future__ import annotations

from dataclasses import dataclass

from peppershore.connection.messages.endpoints import Endpoint
from peppershore.process.events import LinkId
from peppershore.process.relay.node_clock import NodeClock
from peppershore.version.model import Digest, Scope, Version


@dataclass(slots=True)
class NodeSession:
    """What a relay knows about one connected node.

    ``version`` is in effect at the node and ``digest`` is that of its configuration, as the
    node last reported. ``digest`` is 0 after a refused update, so that the full state is
    sent next. ``floor`` is the highest version that the node ever held. Times are monotonic
    seconds of the relay.
    """

    link: LinkId
    node: str
    incarnation: int
    scope: Scope
    version: Version
    digest: Digest
    floor: Version
    hello_at: float
    last_heard: float
    clock: NodeClock | None
    """Last reading of the node's clock; None while it can't be trusted."""
    needs_confirmation: bool
    """Whether to send only a version confirmed after ``hello_at``.

    True for a node without a configuration (``version`` and ``floor`` are 0), or after it
    refused an update as unconfirmed; ``hello_at`` is then the time of that refusal."""
    outstanding_version: Version = 0
    """Version of the unanswered update; 0 if there is none."""
    current_reported: Version = 0
    """Version in the last ``Current`` message sent to the node; 0 if none was sent."""
    behind_since: Version = 0
    """First version whose change the node lacks; 0 if it lacks none."""
    answered: bool = False
    """Whether the hello was answered with ``Current`` or ``UpdateOffered``."""
    endpoint: Endpoint | None = None
    """Endpoint that the node last announced for its back end."""
    services_sent: frozenset[str] | None = None
    """Services whose endpoints were sent to the node; None if not known."""
    is_leaving: bool = False
    """Whether the node reported a planned stop of its back end."""
    heard_since_resume: bool = True
    """Whether a message arrived from the node since this relay was last suspended."""

    @property
    def holds_nothing(self) -> bool:
        """Whether the node has no configuration at all."""
        return self.version == 0

    def confirmed_at(self, relay_time: float | None) -> int | None:
        """Convert relay seconds to milliseconds of the node's clock; None if unknown."""
        return None if self.clock is None else self.clock.at(relay_time)

    @property
    def lowest_acceptable(self) -> Version:
        """Lowest version that may be sent to the node."""
        return max(self.version, self.floor)
